Feature: A host belongs to one pool at any moment

  Scenario: A move waits for an entry host that is paused
    # Guards against a host that joins its new pool while a paused process may still send it work
    # of the old pool.
    Given three entry hosts with a settled view
    When an entry host that does not hold the claim fleet is paused
    And an operator moves w1 to office
    And 20 s pass on all entry hosts
    Then w1 is still draining and serves no pool
    When the paused entry host resumes
    And 5 s pass on all entry hosts
    Then w1 serves office and no entry host sends it other work

  Scenario: A move whose answers are lost is finished once
    # Guards against a drain or return that is carried out twice, and against a move that never
    # completes.
    Given three entry hosts with a settled view
    When half of the answers of the platform are lost
    And an operator moves w1 to office
    And 30 s pass on all entry hosts
    Then w1 serves office and no entry host sends it other work

  Scenario: Another entry host finishes a move whose controller crashed
    # Guards against a host that stays drained when the process that moved it ends.
    Given three entry hosts with a settled view
    When an operator moves w1 to office
    And the holder of the claim fleet crashes
    And 10 s pass on all entry hosts
    And the crashed entry host starts again
    And 10 s pass on all entry hosts
    Then w1 serves office and no entry host sends it other work

  Scenario: A move goes on once the host list no longer shows a crashed entry host
    # Guards against a move that waits forever for a host that was replaced under another name.
    Given three entry hosts with a settled view
    When an operator moves w1 to office
    And the holder of the claim fleet crashes
    And the host list no longer shows the crashed entry host
    And 60 s pass on all entry hosts
    Then w1 serves office and no entry host sends it other work
