Feature: Something acts next on each task whose turn has come and that is not at work
  A task that nothing drives waits without end and looks like one that waits for room (incident 023).

  Scenario Outline: A task that is not at work has a named driver
    Given an owner with a task in the state: <state>
    Then the task is driven by "<driver>" for "<reason>", which acts within <seconds> s
    And no task counts as undriven

    # Bounds: the interval of plans; one append; a former owner's 5 s and one lease of 4.4 s; 10 s for
    # an order that is not sent; 3 s for a call; 13 s for a late order; 3 s between two reports.
    Examples:
      | state                             | driver            | reason                  | seconds |
      | step is open                      | planner           |                         | 0.25    |
      | step is open, store stalled       | planner           | store does not answer   | 0.4     |
      | record of the step refused        | ledger            | refused record          | 5       |
      | record of the job not written     | acceptance        | record                  | 1       |
      | step closed                       | closed step       | leases of former owners | 13.5    |
      | worker not listed                 | orphan            | lease                   | 13.5    |
      | worker of the copy not listed     | copy: orphan      | lease                   | 13.5    |
      | order not sent                    | start order       | not sent                | 10      |
      | order being sent                  | start order       | being sent              | 3       |
      | order unanswered                  | report            | unanswered order        | 16      |
      | run of a former owner             | report            | former run              | 4.5     |
      | worker unresponsive               | lease             | worker unresponsive     | 16.5    |
      | run is stopping                   | stop              | run is stopping         | 3.5     |
      | copy being sent, first run lost   | copy: start order | being sent              | 3       |

  Scenario Outline: A task that nothing drives is found, counted and logged once
    Given an owner with a task in the state: <state>
    When the owner looks 3 times
    Then the task counts as undriven by "none" for "<reason>"
    And the log tells of it 1 time, with the state <logged>

    Examples:
      | state                     | reason             | logged  |
      | step was not opened       | step is not open   | waiting |
      | order was removed         | run is not tracked | ordered |
      | orphan was removed        | run is not tracked | ordered |
      | order on a closed link    | run is not tracked | ordered |

  # Guards against a driver that is named and never acts.
  Scenario Outline: A driver that lets its time pass counts as none
    Given an owner with a task in the state: <state>
    When the owner looks <early> times
    Then no task counts as undriven
    When the owner looks <more> times
    Then the task counts as undriven by "<driver>" for "<reason>"

    Examples:
      | state                         | early | more | driver      | reason                  |
      | step is open                  | 2     | 3    | planner     |                         |
      | order not sent                | 11    | 3    | start order | not sent                |
      | order being sent              | 4     | 3    | start order | being sent              |
      | order unanswered              | 16    | 4    | report      | unanswered order        |
      | record of the job not written | 2     | 3    | acceptance  | record                  |
      | step closed                   | 11    | 6    | closed step | leases of former owners |

  # Guards against a false alarm: the last plan is as old as the stall, and the next one follows.
  Scenario: After a stall of the store, the planner has its time again
    Given an owner with a task in the state: step is open, store stalled
    When the owner looks 5 times
    And the store answers again
    And the owner looks 2 times
    Then no task counts as undriven
    When the owner looks 2 times
    Then the task counts as undriven by "planner" for ""

  Scenario: A driver that acts again and again is not overdue
    Given an owner with a task in the state: step is open
    When the owner plans and looks 10 times
    Then no task counts as undriven

  Scenario: A step that no plan looks at any more is found in a running owner
    Given a running owner whose task waits for room
    When its open step is removed and 3 s pass
    Then the watch of the play finds the task once

  Scenario: An order that has gone is found in a running owner
    Given a running owner whose task is at work
    When its order is removed and 2 s pass
    Then the watch of the play finds the task once

  Scenario: The log tells of what a wait was made up
    Given a running owner whose workers are all cordoned for 4 s
    When a task is submitted and 8 s pass
    Then the last line of its wait adds up 2 s to 5 s for "planner: cordoned"

  # Guards against sums that begin anew with each placement, which made long waits look short.
  Scenario: A placement that leads to no start does not end the wait
    Given a running owner whose workers refuse all starts for 6 s
    When a task is submitted and 12 s pass
    Then the last line of its wait tells of 4 s or more in all
    And the task was ordered several times meanwhile
