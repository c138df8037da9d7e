Feature: Workers whose capacity shrinks and grows while they run
  A worker tells its capacity in its entry. One that does not refuse what exceeds it has only the
  owner to keep it (rule LIMIT).

  Scenario: A worker that has shrunk gets no task beyond its room
    Given an owner that has started run 1 of a job of 6 cores on a worker of 16 cores
    When its entry tells 8 cores
    Then a task of 2 cores fits, one of 3 cores does not
    When its entry tells 4 cores
    Then no task fits
    When its entry tells 16 cores
    Then a task of 10 cores fits, one of 11 cores does not

  Scenario: An order on its way to a worker that shrinks is not sent
    # Between the placement and the order lie the record and, at times, a report of the worker.
    Given an owner whose worker reported 2 s ago and has no tasks
    When a start order is due and the worker shrinks to 1 core before it reports
    Then no start order was sent and the task waits

  Scenario: A worker that grows again before an order is sent gets it
    Given an owner whose worker reported 2 s ago and has no tasks
    When a start order is due and the worker shrinks to 4 cores before it reports
    Then the start order was sent

  Scenario: A worker whose entry is old gets no tasks until it has written it again
    # Its capacity may have shrunk since; the store or its path there may have been away.
    Given an owner that has started run 1 of a job of 6 cores on a worker of 16 cores
    When its entry is too old to rely on
    Then no task fits
    When its entry is recent again
    Then a task of 10 cores fits, one of 11 cores does not

  Scenario Outline: How old an entry may be depends on the worker and on the store
    Given a service whose workers <guard> and an entry that was <read>
    When <seconds> s pass without another entry
    Then its capacity is <use>

    Examples:
      | guard            | read                          | seconds | use      |
      | start everything | written while it was followed | 2.9     | used     |
      | start everything | written while it was followed | 3.1     | not used |
      | refuse overload  | written while it was followed | 30      | used     |
      | start everything | found at the first read       | 2.9     | used     |
      | start everything | found after an outage         | 0.1     | not used |
      | refuse overload  | found after an outage         | 0.1     | used     |

  Scenario Outline: What is moved off a worker that has shrunk
    Given a worker with a serving, a plain and a best-effort long-running task of 4 cores and 8 GB
    When its capacity shrinks to <cores> cores and <memory> GB
    Then these tasks are moved, in this order: <order>

    Examples:
      | cores | memory | order                        |
      | 8     | 24     | none                         |
      | 7     | 24     | plain, serving               |
      | 8     | 23     | best-effort, plain, serving  |

  Scenario: A long-running task on a worker that has shrunk moves where it fits, within its limits
    Given an owner with two workers, on one of which two long-running tasks of 4 cores run
    When that worker shrinks to 5 cores
    Then one of the two tasks is stopped
    When that worker shrinks to 5 cores
    Then one of the two tasks is stopped

  Scenario: Several workers that have shrunk do not stop tasks for the same room
    # Each of them would stop a task for it, and all but one of these would stay without a worker.
    Given 3 workers of 12 cores, each with two long-running tasks of 5 cores, and one with 5 cores free
    When the three shrink to 7 cores
    Then at most one of the tasks is not at work at any time in 10 s
    And all of them are at work then, one of them on the worker with free room

  Scenario Outline: A job that is too large for workers that have shrunk may come back soon
    # They grow again, and the pool may get another one within seconds; 30 s would be too late.
    Given an owner whose only worker of 16 cores has shrunk to 8 cores
    When a job with a task of <cores> cores is submitted
    Then it is <outcome> with a Retry-After of <least> to <most> s

    Examples:
      | cores | outcome  | least | most |
      | 10    | rejected | 2     | 4    |
      | 20    | rejected | 30    | 30   |

  Scenario: A pool whose workers have shrunk needs more machines
    Given a pool of 4 machines of 16 cores with work for 40 cores
    Then it needs 4 machines
    When its workers tell 8 cores each
    Then it needs 6 machines

  # Guards against a worker whose failures can no longer be counted.
  Scenario: A worker fails two thousand times
    Given a worker with 2000 consecutive failures
    Then it is suspected for no longer than the maximum
