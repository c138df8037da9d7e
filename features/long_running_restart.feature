Feature: A long-running task that lost its worker runs again
  An owner, a store and workers run in virtual time; the workers start whatever they are told.

  Scenario: A long-running task is not kept waiting for a worker that is full of its siblings
    # Guards against a task that waits for ever on a worker reserved for it which gets no room
    # (rule LOST on ugnsrent-slots-grown).
    Given workers of 12 cores, one full of tasks of a long-running job and one with its other tasks
    When the worker with the other tasks is gone for good, and there are idle workers
    Then all tasks of the job run again within 6 s after their leases are over
    And no owner broke a promise

  Scenario Outline: Precautions that follow each other keep no long-running task down
    # Each limit alone is short; one after the other, they kept a task down without end.
    Given 4 workers of 12 cores and a waiting long-running task of 6 cores
    When for 30 s each worker is <precaution>, one after the other begins anew before it ends
    Then the task is placed within 2.5 s

    Examples:
      | precaution                                  |
      | suspected after failures                    |
      | reserved for the suspected tasks of others  |
      | suspected and reserved in turn              |

  Scenario Outline: Short tasks that take each room that comes free keep no long-running task down
    # Guards against starvation of a task that needs more room than a short task leaves.
    Given <workers> workers of 12 cores, and short tasks of <cores> cores at five times their capacity
    When a long-running task of <size> cores waits
    Then it runs within 9 s
    And at most 1 worker at a time is kept for it

    Examples:
      | workers | cores | size |
      | 4       | 1     | 11   |
      | 4       | 2     | 12   |
      | 3       | 3     | 7    |

  Scenario: A worker kept for a task is given up when another one has room
    Given 2 workers of 12 cores that are full of short tasks, of 20 s and of 6 s
    When a long-running task of 8 cores waits
    Then it runs within 9 s
    And short tasks start again on the other worker

  Scenario: A worker that restarts again and again does not prolong the wait for an unanswered start
    # Each restart began the 13 s anew within which the order may still be carried out.
    Given an owner whose start order to a worker got no answer, as its stop orders get none
    When the worker restarts 4, 8 and 12 s after the order, and reports 14 s after it
    Then the task is waiting for another worker

  Scenario: An unanswered start is waited for until it can no longer be carried out
    Given an owner whose start order to a worker got no answer, as its stop orders get none
    When the worker restarts 4, 8 and 12 s after the order, and reports 12.5 s after it
    Then the task is still taken to be on its worker

  Scenario: An unanswered start is not waited for once the restarted worker has refused it
    Given an owner whose start order to a worker got no answer
    When the worker restarts 4, 8 and 12 s after the order, and reports 12.5 s after it
    Then the task is waiting for another worker
