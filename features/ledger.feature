Feature: A ledger that has seen another process's records writes nothing more
  An owner may keep its partition across two changes of the group that it learns of at once, for
  example after a freeze. Its state then predates the records of the owner in between.

  Scenario: A record that is marked when the partition comes back is refused
    # Guards against records of a former owner under the newest epoch, over those of its successor.
    Given a ledger that has written "first" and another one that has written "cancelled" since
    When the first one takes the partition over again and has "stale" to write
    Then its write is refused
    And the store holds "cancelled"

  Scenario: A batch that waits while the partition comes back is refused
    Given a ledger that has written "first" and another one that has written "cancelled" since
    When the first one has "stale" to write while it takes the partition over again
    Then its write is refused
    And the store holds "cancelled"

  Scenario: A ledger whose partition nobody else had goes on under the new epoch
    Given a ledger that has written "first"
    When it takes the partition over again and has "second" to write
    Then its write is accepted
    And the store holds "second"

  Scenario: A lost ledger takes over no more
    Given a ledger that has written "first" and another one that has written "cancelled" since
    When the first one takes the partition over again and has "stale" to write
    Then taking over once more is refused

  Scenario: An owner knows at once that its partition has been elsewhere
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its partition comes back after another owner has written to it
    And the worker lists the end of run 1
    Then the owner has given up the partition and records nothing more
