Feature: An owner that hands over in order says how long the leases of its workers last
  An owner renews leases for up to 5 s after its last contact to the store, so a later owner that
  cannot reach a worker waits that long and one lease more. After an orderly handover it knows better.

  # Guards against a long-running task that waited 9.4 s for the leases of a worker that had left in
  # order while its owner changed (rule LOST on day scale-2 of ugnsrent-slots-large).

  Scenario: The next owner waits for what is left of the leases
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its last report is 3 s old, it hands over in order and the next owner takes over
    Then the next owner waits at least 1.2 s and at most 1.8 s more for the leases

  Scenario: A worker that is no longer listed is waited for as long
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its last report is 3 s old, it hands over in order and the worker leaves the list
    Then the next owner waits at least 1.2 s and at most 1.8 s more for the leases

  Scenario: A start order before the handover counts
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its last report is 3 s old, it sends a start order and hands over in order
    Then the next owner waits at least 1.6 s and at most 2.2 s more for the leases

  Scenario: A late order that may give the next life of a worker a lease is waited for
    Given an owner whose start order of run 1 got no response
    When a report shows that the worker was born again
    And it hands over in order and the next owner takes over
    Then the next owner waits at least 15 s and at most 21 s more for the leases

  Scenario: Such a lease is waited for after an owner that is killed, too
    Given an owner whose start order of run 1 got no response
    When a report to its call shows that the worker was born again
    And the worker falls silent and the next owner takes over after 0 s
    Then the next owner waits at least 15 s and at most 21 s more for the leases

  # Guards against two runs of one task: the next owner renews the leases after it has read how long
  # they last, and is lost.

  Scenario: An owner that renews the leases after the handover takes the record back first
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its last report is 3 s old, it hands over in order and the next owner takes over
    And the next owner reads a report, renews the lease and is killed
    Then the next owner waits at least 9 s and at most 11 s more for the leases

  Scenario: An owner that has not heard from a worker since its takeover adds nothing
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When the worker falls silent and the next owner takes over after 3 s
    And it hands over in order and the next owner takes over
    Then the next owner waits at least 6 s and at most 8 s more for the leases

  Scenario: An owner that is killed leaves the longest wait
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its last report is 3 s old, it is killed and the next owner takes over
    Then the next owner waits at least 9 s and at most 11 s more for the leases

  Scenario: A long-running task whose worker leaves while its owner changes
    When workers leave around an orderly handover in 20 ways with seed 3
    Then each long-running task runs again within 6 s and no task ran twice

  Scenario: Handovers, kills and workers that cannot be reached in any order
    When owners hand over and are killed around faults of the links in 60 ways with seed 7
    Then no task ran twice

  # Guards against two runs of one task: an owner that has renewed leases without writing a record was
  # not noticed by the one that got the partition back.

  Scenario: An owner that wakes with the partition knows that another one has renewed the leases
    When an owner freezes, another one renews the leases, and the first one gets the partition back
    Then no task ran twice
