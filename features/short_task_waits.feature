Feature: A short task that is due and not at work is reported with what it waits for
  Without these lines, a task that stands still looks the same whatever its cause (incident 019).

  Scenario: A task that no plan looks at is logged as waiting beside room
    Given 2 workers of 12 cores, and an owner that opens no step
    When 2 tasks of 6 cores are submitted and 9 s pass
    Then the log tells of each step 3 times that its first task waits, not open, with 2 workers free
    And the metrics show a task that has waited for 8 s or more without a shortage

  Scenario: An order that nobody sends is logged with its state
    Given 2 workers of 12 cores, and an owner that loses each start order before it is sent
    When 1 task of 6 cores is submitted and 3 s pass
    Then the log tells that the task is ordered, and that its order is sending and was not sent
    And the metrics show a task that has waited for 2 s or more without a shortage

  Scenario: A task that only cordoned workers could take is logged
    Given 2 workers of 12 cores
    When 1 task of 6 cores is submitted, both are cordoned and 3 s pass
    Then the log tells that the task waits while 2 workers are cordoned
    And the metrics show a task that has waited for 2 s or more without a shortage

  Scenario: Tasks that wait for room are summarized
    Given 2 workers of 12 cores
    When 40 tasks of 12 cores that take 6 s are submitted and 5 s pass
    Then no task is logged by itself, and the log tells 1 time that 38 tasks wait while 2 workers have no room
    And the metrics show a task that has waited for 4 s or more, and none without a shortage

  Scenario: A task that has started after a wait is no longer counted
    Given 2 workers of 12 cores
    When 1 task of 6 cores is submitted, both are cordoned for 4 s and 8 s pass
    Then the log tells that the task waits no more
    And the metrics show no task that waits

  Scenario: A worker that is ready and does not answer is logged
    Given 2 workers of 12 cores
    When the first worker does not answer for 6 s
    Then the log tells that 1 of 2 workers is unused because it is unresponsive
    And the metrics show 1 unused worker
