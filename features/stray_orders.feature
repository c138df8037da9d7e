Feature: Ordered runs that nothing tracks
  An ordered task that has lost its order would never be started again (rule LOST).

  Scenario Outline: A run without an order is taken as possibly running
    Given an owner that lost track of run 1 of a job on its worker
    When <seconds> s pass and the worker reports <report>
    Then the lost task is <state>

    # An order that was sent just before may be on its way for 1.5 s.
    Examples:
      | seconds | report                      | state               |
      | 2.0     | nothing                     | ordered, untracked  |
      | 4.5     | nothing                     | ordered, tracked    |
      | 4.5     | nothing, 2 s later          | waiting             |
      | 4.5     | the run, 2 s later          | ordered, tracked    |

  Scenario: A run on a worker without a link waits for the leases
    Given an owner that lost track of run 1 of a job on its worker, and the link to it
    When 4.5 s pass without a report
    Then the lost task waits for the leases of its worker

  Scenario: A start order whose call ended without an outcome counts as unanswered
    Given an owner whose call with run 1 of a job ended without an outcome
    When 4.5 s pass and the worker reports nothing, 2 s later
    Then the lost task is waiting

  Scenario: An order that has not been sent yet is left alone
    Given an owner whose order of run 1 of a job waits for its record
    When 4.5 s pass and the worker reports nothing, 2 s later
    Then the lost task is ordered, tracked
