Feature: A long-running task that is not at work is reported
  Whoever is on call has to see which task waits, since when, and for what.

  Scenario: A task without room is logged with what keeps each worker from starting it
    Given 2 workers of 12 cores that are full of long-running tasks
    When a long-running task of 6 cores is submitted and 13 s pass
    Then the log tells 3 times, after 3 s or more, that it is waiting since 2 workers have no room
    And the metrics show 1 task that is not at work, for 12 s or more

  Scenario: A task whose worker does not answer is logged with the state of its run
    Given 2 workers of 12 cores that are full of long-running tasks
    When the first worker refuses connections for 5 s
    Then the log tells that its tasks are ordered on a worker that is unresponsive
    And the metrics show 2 tasks that are not at work, for 2.5 s or more

  Scenario: A task that is at work again is no longer counted
    Given 2 workers of 12 cores that are full of long-running tasks
    When a long-running task of 6 cores waits for 5 s until one of the others is cancelled
    Then the log tells that it waits no more
    And the metrics show no task that is not at work

  Scenario: The beginning of a line tells what a task waits for
    # Guards against records of which only the first 200 characters of each line are kept.
    Given 2 workers of 12 cores that are full of long-running tasks
    When a long-running task of 6 cores is submitted and 4 s pass
    Then the first 200 characters of its line name the task, the time and the obstacle of each worker
