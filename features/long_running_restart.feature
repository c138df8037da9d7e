Feature: A long-running task that lost its worker runs again
  An owner, a store and workers run in virtual time; the workers start whatever they are told.

  Scenario: A long-running task is not kept waiting for a worker that is full of its siblings
    # Guards against a task that waits for ever on a worker reserved for it which gets no room
    # (rule LOST on ugnsrent-slots-grown).
    Given workers of 12 cores, one full of tasks of a long-running job and one with its other tasks
    When the worker with the other tasks is gone for good, and there are idle workers
    Then all tasks of the job run again within 6 s after their leases are over
    And no owner broke a promise
