Feature: Room for large short tasks that wait among small ones
  Each scenario replays a load pattern on the planner of a partition in virtual time, without a network.

  Scenario: A large task starts where it can start first, before less urgent small ones
    # Guards against small tasks that take each gap of a worker, so that no large task ever fits.
    Given 1 worker of 16 cores with runs of 4 cores that end after 0.3, 0.6, 0.9 and 5.0 s
    And a waiting task of 12 cores, due in 4 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 2 s
    When the pool runs for 2 s
    Then the large task has started after at most 1.1 s
    And no small task has started before it

  Scenario: Small tasks that end before the reserved start use the gaps
    # Guards against gaps that stay idle until the large task starts.
    Given 1 worker of 16 cores with runs of 4 cores that end after 0.3, 0.6, 2.0 and 5.0 s
    And a waiting task of 12 cores, due in 8 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 0.5 s
    When the pool runs for 4 s
    Then the large task has started after at most 2.2 s
    And at least 4 small tasks have started before it

  Scenario: Small tasks that fit beside the large one need not end before it
    # Guards against workers that are kept as a whole for one task.
    Given 1 worker of 16 cores with a run of 8 cores that ends after 1.0 s
    And a waiting task of 12 cores, due in 8 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 9 s
    When the pool runs for 3 s
    Then the large task has started after at most 1.2 s
    And 1 small task has started before it

  Scenario: The reservation is on the worker whose runs end first, and moves if that leaves
    # Guards against a reservation on a worker that is gone, which would keep no room at all.
    Given 2 workers of 16 cores with runs of 16 cores that end after 1.0 and 2.0 s
    And a waiting task of 12 cores, due in 8 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 9 s
    When the pool runs for 0.2 s
    Then room is reserved on w0
    When w0 becomes unusable
    And the pool runs for 0.2 s
    Then room is reserved on w1

  Scenario: Urgent work does not wait for a reservation of less urgent work
    # Guards against an inversion of priorities.
    Given 1 worker of 16 cores with runs of 4 cores that end after 0.3, 0.9, 0.9 and 5.0 s
    And a waiting task of 12 cores, due in 4 s, that runs for 2 s
    And an urgent waiting task of 4 cores, due in 30 s, that runs for 9 s
    When the pool runs for 2 s
    Then the urgent task has started after at most 0.4 s

  Scenario: Late urgent work does not wait for an overdue task of less urgent work
    # Guards against the outcome for a task of low priority that is taken for one of high priority.
    Given 1 worker of 16 cores with runs of 4 cores that end after 0.3, 5.0, 5.0 and 5.0 s
    And a waiting task of 12 cores, due in -20 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 2 s
    And an urgent waiting task of 4 cores, due in -1 s, that runs for 2 s
    When the pool runs for 1 s
    Then the urgent task has started after at most 0.4 s
    And room is reserved on w0

  Scenario: Small tasks alone cause no reservation
    # Guards against a change for pools whose tasks are all alike.
    Given 1 worker of 16 cores with a run of 14 cores that ends after 1.0 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 1 s
    When the pool runs for 0.2 s
    Then no room is reserved

  Scenario: A task that cannot be on time holds back none that can
    # Guards against two late jobs instead of one.
    Given 1 worker of 16 cores with runs of 4 cores that end after 0.3, 2.0, 2.0 and 5.0 s
    And a waiting task of 12 cores, due in 2.5 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 9 s
    When the pool runs for 0.4 s
    Then no room is reserved
    And at least 1 small task has started

  Scenario: In overload no room is reserved for a task that is not overdue
    # Guards against idle processors while more jobs become late by each of them.
    Given 1 worker of 16 cores with runs of 4 cores that end after 0.3, 2.0, 2.0 and 5.0 s
    And a waiting task of 12 cores with an allowance of 0.6 s, due in 8 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 9 s
    When the pool runs for 0.4 s
    Then no room is reserved
    And at least 1 small task has started

  Scenario: A reservation that is not met is given up, and tried again later
    # Guards against a worker that is kept idle for a run whose estimate is wrong.
    Given 1 worker of 16 cores with a run of 8 cores that is estimated at 1.0 s and never ends
    And a waiting task of 12 cores, due in 60 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 90 s, that run for 9 s
    When the pool runs for 1.5 s
    Then room is reserved on w0
    And no small task has started beyond the spare room of 4 cores
    When the pool runs for 1.0 s
    Then no room is reserved
    And at least 2 small tasks have started

  Scenario Outline: Estimates of <estimate> keep neither large nor small tasks from starting
    # Guards against starvation through estimates that tell nothing.
    Given 2 workers of 16 cores with runs of 4 cores, estimated at <milliseconds> ms, that end after 0.5, 1.0, 1.5 and 2.0 s
    And a waiting task of 12 cores, estimated at <milliseconds> ms, due in 4 s, that runs for 2 s
    And 200 waiting tasks of 4 cores, estimated at <milliseconds> ms, due in 30 s, that run for 1 s
    When the pool runs for 20 s
    Then the large task has started after at most 18 s
    And at least 50 small tasks have started

    Examples:
      | estimate | milliseconds |
      | 0        | 0            |
      | 1 ms     | 1            |
      | 1 s      | 1000         |
      | 10 days  | 864000000    |

  Scenario: A step wider than the fleet holds back nothing
    # Guards against room that is kept for a task that never fits.
    Given 2 workers of 16 cores with runs of 8 cores that end after 1.0 and 1.0 s
    And a waiting task of 40 cores, due in 4 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 2 s
    When the pool runs for 0.2 s
    Then no room is reserved
    And at least 4 small tasks have started

  Scenario: A job of 10,000 tasks starves neither a large task nor urgent ones
    # Guards against a late large task that waits until all other work is done. It may wait for 10 s
    # after its latest start, for 3 s until the reserved room is free, and twice for that if the
    # first reservation is not met.
    Given 4 workers of 16 cores
    And 10000 waiting tasks of 4 cores, due in 9000 s, that run for 0.8 to 1.4 s
    When the pool runs for 1 s
    And a large task of 12 cores is submitted, due in 3 s, that runs for 2 s
    And an urgent task of 4 cores is submitted, due in 3 s, that runs for 1 s
    And the pool runs for 20 s
    Then the urgent task has started within 1.0 s of its submission
    And the large task has started within 17.1 s of its submission

  Scenario: Workers with claims of long-running tasks are not reserved
    # Guards against short tasks that delay a long-running task which has been displaced.
    Given 2 workers of 16 cores with runs of 16 cores that end after 1.0 and 2.0 s
    And room of 4 cores on w0 is claimed for a long-running task
    And a waiting task of 12 cores, due in 8 s, that runs for 2 s
    And 20 waiting tasks of 4 cores, due in 30 s, that run for 9 s
    When the pool runs for 0.2 s
    Then room is reserved on w1

  Scenario: The log tells for whom room is reserved
    # Guards against a task that waits although it fits, without any reason in the log.
    Given 1 worker of 16 cores with a run of 6 cores that ends after 1.0 s
    And a waiting task of 12 cores, due in 8 s, that runs for 2 s
    And 5 waiting tasks of 6 cores, due in 30 s, that run for 9 s
    And 1 waiting task of 4 cores, due in 60 s, that runs for 9 s
    When the pool runs for 0.2 s
    Then the description of a waiting task of 6 cores names the large task and w0
    And w0 is shown as kept for a large task to the tasks of 6 cores, which is no unexplained wait

  Scenario Outline: Fragmentation is the share of free processors that a large task cannot use
    Given workers of 64 cores and 128 GB with <free> free cores and <memory> GB of free memory
    Then their fragmentation for tasks of 13 cores and 25 GB is <share>

    Examples:
      | free       | memory       | share |
      | 64, 64     | 128, 128     | 0.19  |
      | 12, 12, 12 | 99, 99, 99   | 1.00  |
      | 26, 26     | 99, 30       | 0.25  |
      | 26         | 5            | 1.00  |
      | 0, 0       | 60, 60       | 0.00  |

  Scenario: Fragmentation is published for each service
    Given 2 workers of 16 cores with runs of 8 cores that end after 1.0 and 1.0 s
    And a waiting task of 12 cores, due in 8 s, that runs for 2 s
    Then the metric of fragmentation of the service is 1.0
    And it is 0.0 once the partition is no longer owned
