Feature: Processes that read the same log agree

  Scenario: Of two configurations based on the same version, the first one wins
    # Guards against accepting a configuration that reverts or overwrites a change its author had
    # not read.
    Given a stream with the members umea-1, umea-2
    When umea-1 publishes a configuration based on version 0
    Then the record is accepted
    When umea-2 publishes a configuration based on version 0
    Then the record is rejected
    And version 1 is in force
    And a second process that folds the same records has the same digest

  Scenario: An append that was repeated after a lost answer has no second effect
    # Guards against a repeated append that takes effect twice.
    Given a stream with the members umea-1, umea-2
    When umea-1 publishes a configuration based on version 0
    And the last record is appended again
    Then the record is rejected
    And version 1 is in force

  Scenario: A holder that lost its claim cannot renew it
    # Guards against two holders of one claim after a pause.
    Given a stream with the members umea-1, umea-2
    When umea-1 takes the claim fleet
    And umea-2 takes the claim fleet
    And umea-1 renews the claim fleet under its own fence
    Then the record is rejected
    And umea-2 holds the claim fleet

  Scenario: A join that was delayed in the network does not end a later process
    # Guards against a terminated process that becomes a member again.
    Given a stream with the members umea-1, umea-2
    When umea-1 joins again
    And a join of umea-1 with its first incarnation arrives late
    Then the record is rejected

  Scenario: A process that has ended changes nothing
    # Guards against an entry host that was replaced while it was paused and then resumes.
    Given a stream with the members umea-1, umea-2
    When umea-1 joins again
    And the first process of umea-1 publishes a configuration
    Then the record is rejected

  Scenario: A former holder of the claim cannot move a host
    # Guards against two processes that move the same host.
    Given a stream with the members umea-1, umea-2
    And a host w1 of the pool booking
    When umea-1 takes the claim fleet
    And umea-2 takes the claim fleet
    And umea-1 starts the move of w1 to office under its own fence
    Then the record is rejected
    When umea-2 starts the move of w1 to office under its own fence
    Then the record is accepted

  Scenario: A key is granted to one request only
    # Guards against two grants of one key, appended by two former owners.
    Given a stream with the members umea-1, umea-2
    When umea-1 grants the key k1 to the request r1
    Then the record is accepted
    When umea-2 grants the key k1 to the request r2
    Then the record is rejected

  Scenario: A claim is valid from the sending of a renewal, not from reading it back
    # Guards against two holders at once when the log answers slowly.
    Given a stream with the members umea-1, umea-2
    And umea-1 competes for the claim fleet with a lifetime of 6 s and a margin of 1 s
    When its record is appended and read back after 4 s
    Then it holds the claim
    When the clock advances by 1.1 s
    Then it does not hold the claim

  Scenario: A claim is taken over only after it stood unchanged for its lifetime
    # Guards against a takeover while the holder is still within its lifetime.
    Given a stream with the members umea-1, umea-2
    And umea-1 takes the claim fleet
    And umea-2 competes for the claim fleet with a lifetime of 6 s and a margin of 1 s
    When the clock advances by 5.9 s
    Then it has nothing to append
    When the clock advances by 0.2 s
    Then it appends a record that takes the claim

  Scenario: A late duplicate of a pause does not pause maintenance again
    # Guards against a repeated append whose precondition has become true again.
    Given a stream with the members umea-1, umea-2
    When umea-1 pauses maintenance
    And umea-2 resumes maintenance
    And the append of umea-1 arrives a second time
    Then the record is rejected
    And maintenance is not paused
