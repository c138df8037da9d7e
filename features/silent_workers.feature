Feature: Workers that only fall silent for a while
  A worker that does not answer may be cut off and go on. Its runs start elsewhere once its leases are
  over, and nothing else follows from its silence.

  Scenario: A task whose workers fall silent one after the other is not given up
    # Guards against a job that is shown as failed although no worker ended under its task: each time,
    # the worker was only cut off for longer than its lease, and answered again as the same start.
    Given a long-running task on one of 4 workers
    When the worker that runs it falls silent for 8 s, 7 times in a row, just after it has started it
    Then its job is running, and no loss of a worker is held against the task
