Feature: A request with an idempotency key runs at most once while the log is down

  Scenario: Requests with a key go on being served during an outage of the log
    # Guards against refusing every keyed request (such as a confirmation) for the whole outage.
    Given three entry hosts with a settled view
    When the log goes down
    And a request with a key arrives at an entry host that does not own it
    And the caller repeats the request through every entry host
    Then the request ran once

  Scenario: The owner of a key crashes after it granted the key during an outage
    # Guards against a grant stored only at its owner: without a copy elsewhere, the request would
    # run twice after the crash.
    Given three entry hosts with a settled view
    When the log goes down
    And a request with a key arrives at an entry host that does not own it
    And the log comes back
    And the owner crashes and starts again
    And the caller repeats the request through every entry host
    Then the request ran once

  Scenario: The holders of copies lose the log while a new owner joins
    # Guards against a view that settles before the grants of an outage are in the log, and against
    # an owner that grants before its view has settled.
    Given three entry hosts with a settled view
    When the log goes down
    And a request with a key arrives at an entry host that does not own it
    And the other entry hosts lose their connection to the log
    And the log comes back
    And the owner crashes and starts again
    And the caller repeats the request through every entry host
    And all connections are restored
    And the caller repeats the request through every entry host
    Then the request ran once

  Scenario: Every holder of a grant crashes during an outage
    # Guards against a second execution after all records of the first one are lost.
    Given three entry hosts with a settled view
    When the log goes down
    And a request with a key arrives at an entry host that does not own it
    And all entry hosts crash and start again
    And the log comes back
    And the caller repeats the request through every entry host
    Then the request ran once

  Scenario: An owner without the log and without any peer grants nothing
    # Guards against a grant that a single crash would lose.
    Given three entry hosts with a settled view
    When the log goes down
    And the other entry hosts are cut off from the log and all peers
    And the caller repeats the request through every entry host
    Then the request did not run
