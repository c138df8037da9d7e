Feature: Start orders that are not sent, or fail in a way that nobody expects
  A start order waits for its record, for a recent report of the worker and for a connection. What
  happens meanwhile decides whether it is sent at all.

  # Guards against a run that starts after its job was cancelled: the stop overtook the start, and
  # only the worker's refusal of the later start kept it from running.

  Scenario: A job is cancelled while its start order waits for a report of the worker
    Given an owner whose worker reported 2 s ago and has no tasks
    When the job is cancelled while its start order waits for a report
    Then neither a start nor a stop was sent
    And the worker has its whole room

  Scenario: A job is cancelled while its start order waits for a connection
    Given an owner whose start orders wait for a connection
    When the job is cancelled while its start order waits for the connection
    Then no start was sent
    And the worker has its whole room

  Scenario: A worker is cordoned while a start order for it waits for a report
    Given an owner whose worker reported 2 s ago and has no tasks
    When the worker is cordoned while a start order of a long-running task waits for a report
    Then neither a start nor a stop was sent
    And the task waits to be placed elsewhere

  # Guards against orders that stay in state "sending" for ever with their room and their task,
  # since nobody sees an exception of work that is started and not awaited.

  Scenario: An unexpected error while a start order is sent
    Given an owner whose worker reported 1 s ago and has no tasks
    When sending a start order ends in an unexpected error
    Then the error is counted
    And it is not known whether the run started
    When the worker reports after the order has expired and lists nothing
    Then the task waits to be placed elsewhere
    And the worker has its whole room

  Scenario: An unexpected error while several start orders are handed to their links
    Given an owner whose worker reported 1 s ago and has no tasks
    When handing over start orders ends in an unexpected error
    Then the error is counted
    When the worker reports after the order has expired and lists nothing
    Then the task waits to be placed elsewhere
    And the worker has its whole room

  Scenario: An unexpected error while tasks are placed
    Given an owner whose worker reported 1 s ago and has no tasks
    When placing tasks ends in an unexpected error after an order was created
    And the worker reports after the order has expired and lists nothing
    Then the task waits to be placed elsewhere
    And the worker has its whole room
