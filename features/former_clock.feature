Feature: A worker that restarts under its identifier takes calls that were meant for its former life
  Its clock begins anew, so a lease until a time of the former clock becomes the longest lease that
  there is. The owner that starts a task elsewhere has to count that one.

  # Guards against a task that runs twice (rule TWICE, review case 10 and a record of the users): the
  # lease on the restarted worker lasts longer than its owner has counted.
  Scenario Outline: An idle worker restarts, begins a task, and is cut off <gap> s after the start
    When an idle worker restarts for <downtime> s, a task is submitted <delay> s later, starts there and <change> <gap> s before the cut
    Then no task has run twice

    Examples: the owner stays
      | downtime | delay | gap | change                    |
      | 0.6      | 0.3   | 0.1 | nothing happens           |
      | 0.6      | 0.3   | 0.5 | nothing happens           |
      | 0.6      | 0.3   | 1.0 | nothing happens           |
      | 0.6      | 1.5   | 0.5 | nothing happens           |
      | 0.1      | 0.0   | 0.5 | nothing happens           |
      | 0.1      | 0.0   | 0.0 | nothing happens           |

    Examples: the owner changes
      | downtime | delay | gap | change                    |
      | 0.6      | 0.3   | 0.5 | the partition is handed over |
      | 0.6      | 0.3   | 1.0 | the partition is handed over |
      | 0.6      | 0.3   | 0.5 | the owner is killed       |
      | 0.6      | 0.3   | 0.5 | the partition is taken over |
      | 0.6      | 0.3   | 0.1 | the partition is taken over |

  # Guards against the same by a start order that is sent by the former clock: the worker has reported
  # a moment before it ended, and the order reaches its next life before the restart is known.
  Scenario Outline: A start order by the former clock begins a task in the next life
    When a worker reports, restarts for 0.3 s, gets a start order at once and is cut off <gap> s later, after <change>
    Then no task has run twice

    Examples:
      | gap | change                       |
      | 0.1 | nothing                      |
      | 0.5 | nothing                      |
      | 1.0 | nothing                      |
      | 0.5 | the partition is handed over |
      | 0.5 | the owner is killed          |
      | 0.5 | the partition is taken over  |
      | 0.1 | the partition is taken over  |

  # Guards against the same by an order that the next life refuses: it takes the lease of the order.
  Scenario: A start order by the former clock is refused for lack of room, and a later one is not
    When a worker reports, restarts for 0.3 s, refuses a start order, takes the next one and is cut off
    Then no task has run twice

  # Guards against a crash that is held against a task which the next life of the worker runs.
  Scenario: A task that began in the next life did not crash the former one
    When a worker reports, restarts for 0.3 s, gets a start order at once and reports again
    Then the loss of the worker is not held against the task

  # Guards against leases by the clock of a former life that no task needs.
  Scenario: A worker without tasks is polled at long intervals
    When an idle worker restarts between two polls
    Then its next life gets no lease that is longer than 4.1 s

  Scenario: Seeded plays of workers that restart and are cut off
    When workers restart, begin tasks and are cut off in 60 plays
    Then no task has run twice in any play
