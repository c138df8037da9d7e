Feature: A pool has a worker to spare for its long-running tasks
  An owner, the holder of the fleet, workers and the machines that run them, in virtual time. A job has
  five tasks, of which each worker may have one.

  # Guards against a task that waits without end, since no worker of its pool may take it and the size of
  # the pool is computed from cores alone (incident 020).
  Scenario Outline: A task whose worker ends has another worker in time
    Given a pool of 6 machines, and 8 on standby
    When a job has a task on each worker and <reason>
    Then each of its tasks ran again within 6 s
    And no order to a machine has ended a task
    And no owner broke a promise in the pool

    Examples: Departures
      | reason |
      | a worker leaves on notice |
      | workers leave on notice one after the other |
      | two workers leave on notice at once |
      | a worker is gone for good |
      | a worker leaves on notice while the machines service does not answer |
      | a worker leaves on notice while no order to a machine is answered |
      | a worker leaves on notice while the fleet has no holder |
      | a worker leaves on notice under tasks that need most of its memory |

  # Guards against tasks that are stopped for upkeep without another place.
  Scenario Outline: Upkeep begins only once the tasks of a machine have another place
    Given a pool of 6 machines, and 8 on standby
    When a job has a task on each worker and <reason>
    Then each of its tasks ran again within 1 s
    And the upkeep of all machines has begun in time
    And no order to a machine has ended a task
    And no owner broke a promise in the pool

    Examples: Waves
      | reason |
      | its machines are taken through upkeep, two at once |
      | its upkeep begins before a machine that left has been replaced, which takes 6 s |

  Scenario: Upkeep beside workers that leave
    Given a pool of 6 machines, and 8 on standby
    When a job has a task on each worker and its machines are taken through upkeep while every third of its workers leaves
    Then each of its tasks ran again within 6 s
    And the upkeep of all machines has begun in time
    And no order to a machine has ended a task

  Scenario: A pool grows for a job that is wider than it is
    Given a pool of 4 machines, and 8 on standby
    When a job has a task on each worker and it is wider than its pool when it is submitted
    Then each of its tasks ran again within 6 s
    And the pool has at most 12 machines at the end

  # Guards against chains of waits that no scenario above has: departures, losses, upkeep, machine orders
  # without an answer, lost holders and owners, links and stores that fail, in series and at once.
  Scenario: Seeded plays of pools leave no long-running task away
    When 15 plays of pools from seed 1 on end with 20 s of calm
    Then no task of the plays was away in calm, and none was ended by an order
