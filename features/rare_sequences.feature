Feature: Rare sequences of faults start no task twice and keep none down
  A worker that starts again under its identifier has a new clock and knows nothing of before, so the
  expiry of a call that was sent to its former incarnation does not limit it. Such a call may be
  carried out up to 12 s after it was sent. Long waits and damaged records are played here as well.

  Scenario: An owner is killed after a worker with an unanswered start order restarted and fell silent
    # Guards against two runs of one task: the record of the silence tells the next owner to wait for
    # one lease, although the owner that wrote it would have waited for the late order.
    Given workers of 12 cores that have been up for 30 s
    When a start order is held up for 12 s, its worker restarts, gets no stop order, falls silent, and the owner is killed
    Then no owner started a task twice

  Scenario: The same owner waits for the late order if it goes on
    Given workers of 12 cores that have been up for 30 s
    When a start order is held up for 12 s, its worker restarts, gets no stop order, falls silent, and the owner goes on
    Then no owner started a task twice

  Scenario: A renewal that was sent before the restart extends the lease of the next incarnation
    # Guards against two runs of one task: the lease lasts for the worker's maximum, not for the time
    # that the owner asked for.
    Given workers of 12 cores that have been up for 30 s
    When a renewal is held up for 12 s, its worker restarts, runs a task, and is cut off after it
    Then no owner started a task twice

  Scenario: A worker kept for a long-running task does not keep it waiting for a long short task
    # Guards against a wait for one run while another worker would be drained within 2 s: the worker
    # is chosen by the cores that have to come free, not by when they do, and is never given up.
    Given 2 workers of 12 cores, one with a task of 6 cores that takes 60 s
    When a long-running task of 12 cores waits beside small tasks at five times their capacity
    Then the long-running task runs within 9 s

  Scenario: The line on a long-running task that waits is logged by an owner that logs too much
    # Guards against an alert that is lost when it is needed: the limit of 50 lines a second drops it
    # on a busy owner, and the next line follows when the wait has doubled.
    Given a log that has written its 50 lines of this second
    When the line on a long-running task that is not at work follows
    Then the log writes it

  Scenario: The record of a step by a later version of the program does not start its tasks twice
    # Guards against two runs of each task after a version is rolled back: a row with a field more
    # cannot be read, and the tasks count as never started.
    Given a long-running job of 3 tasks, and the record of its step with one field more in each row
    When its owner is killed and the next one takes over
    Then no owner started a task twice

  Scenario: A damaged record of a step does not start its tasks beside their runs
    # The tasks count as never started, so the step waits until no earlier run can be left.
    Given a long-running job of 3 tasks, and the record of its step without its end
    When its owner is killed and the next one reads the damaged record
    Then no task runs twice

  Scenario: A job on a silent worker of the embedded mode is queued again although the claim changes
    # Guards against a wait that each holder of the claim begins anew: the silence of a worker is
    # counted from the start of its monitoring, and is not recorded.
    Given a repeatable job of the embedded mode on a worker that has fallen silent
    When the holder loses the claim for 2.5 s every 22 s, and 200 s pass
    Then the job is queued again
