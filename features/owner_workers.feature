Feature: What an owner knows of its workers
  Workers may start whatever they are told, so the owner alone keeps their capacity, their leases
  and the number of runs of each task.

  # Capacity: a run holds its room until its end is listed (rule LIMIT on day trouble-1 of
  # snrc-atlas, seed 357923516444: tasks were started beside runs of a job cancelled just before).

  Scenario: A run of a cancelled job that the owner finds on a worker keeps its room until it ends
    Given an owner whose worker of 16 cores lists run 1 of a cancelled job of 10 cores
    Then a stop of run 1 was sent
    And a task of 6 cores fits, one of 7 cores does not
    When the worker lists nothing more
    Then a task of 16 cores fits

  Scenario: A worker with a run of unknown size gets no tasks until it has ended
    Given an owner whose worker of 16 cores lists run 1 of an unknown job
    Then a stop of run 1 was sent
    And no task fits
    When the worker lists nothing more
    Then a task of 16 cores fits

  Scenario: The end of an earlier run does not release the room of the present one
    Given an owner that has started run 5 of a job of 10 cores on a worker of 16 cores
    When the worker lists run 5 and the end of run 4
    Then a task of 6 cores fits, one of 7 cores does not

  Scenario: An earlier run beside the present one is stopped and holds its own room
    Given an owner that has started run 5 of a job of 6 cores on a worker of 16 cores
    When the worker lists runs 4 and 5
    Then a stop of run 4 was sent
    And a task of 4 cores fits, one of 5 cores does not
    When the worker lists run 5 and the end of run 4
    Then a task of 10 cores fits, one of 11 cores does not

  Scenario: A worker gets no tasks before its runs are known
    Given an owner with a worker that has not reported
    Then no task fits

  Scenario: A worker that is born again with another size gets no tasks until its entry tells the size
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When a report shows that the worker was born again
    Then no task fits
    When its entry tells the new birth and 4 cores
    Then a task of 2 cores fits, one of 5 cores does not

  Scenario: A worker that has not reported lately is asked before it is sent an order
    Given an owner whose worker reported 2 s ago and has no tasks
    When a start order is due and the worker reports the same birth
    Then the start order was sent

  Scenario: A worker that has started again since its last report is sent no order
    # It may be smaller than the owner knows, and would accept the order all the same.
    Given an owner whose worker reported 2 s ago and has no tasks
    When a start order is due and the worker reports another birth
    Then no start order was sent and the task waits

  # Leases (rule TWICE on day trouble-1 of snrc-atlas-grown: a start order that got no answer ran for
  # the 1.5 s of its validity, and the task was started elsewhere after 1.1 s).

  Scenario: A start order renews the lease of its worker
    Given an owner whose worker reported 3.9 s ago and has no tasks
    When the response to a start order is lost
    Then after 1.2 s without contact the lease is not taken to be over
    And after 2.0 s without contact it is

  # Guards against a task that runs twice: the next life of the worker takes a start order by the
  # former clock, and is cut off before it has reported (rule TWICE, issue 54).
  Scenario: A start order that the next life of a worker answers gives the longest lease
    Given an owner whose worker reported 1 s ago and has no tasks
    When a start order is answered by a worker whose clock shows 400 ms
    Then after 6.3 s without contact the lease is not taken to be over
    And after 6.5 s without contact it is

  Scenario: A start order that the same life answers gives the lease that it names
    Given an owner whose worker reported 1 s ago and has no tasks
    When a start order is answered by a worker whose clock shows 50980 ms
    Then after 2.0 s without contact the lease is not taken to be over
    And after 4.5 s without contact it is

  # Guards against a lease by the clock of a former life, given by a process that was paused: the
  # worker may have restarted since it sent the report.
  Scenario: A report is read long after it was sent
    Given an owner whose worker reported 0 s ago and has no tasks
    When the next report is read 4 s after it was asked for
    Then the request after it renews no lease
    When the next report is read 0.1 s after it was asked for
    Then the request after it renews the lease

  # The clock of a worker that has just started does not tell whether it has started once more.
  Scenario: A young worker answers a start order, and reports
    Given an owner whose worker reported 1 s ago, 300 ms after its start
    When a start order is answered by a worker whose clock shows 1200 ms
    And the same life of the worker reports, and its clock shows 1400 ms
    Then after 5.0 s without contact the lease is not taken to be over
    And after 5.6 s without contact it is

  Scenario: A lease that an earlier owner renewed just before the takeover is waited for
    Given an owner whose membership is not current and whose worker has reported once
    Then after 3.9 s without contact the lease is not taken to be over
    And after 4.5 s without contact it is

  Scenario: A late order gives the next life of a worker a lease of the longest kind
    # Times of the previous life's clock are far ahead on the new one.
    Given an owner whose start order of run 1 got no response
    When a report shows that the worker was born again
    Then after 15 s without contact the lease is not taken to be over
    And after 21 s without contact it is

  Scenario Outline: The wait for a silent worker does not follow the time of day
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When the worker falls silent and the next owner takes over after 3 s
    And the time of day jumps by <jump> s
    Then the next owner waits at least 6 s and at most 8 s more for the leases

    Examples:
      | jump |
      | 9    |
      | -9   |
      | 3600 |

  Scenario: A record of an earlier version does not shorten the wait
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When the next owner reads since when the worker has been silent as a time of day
    Then the next owner waits at least 9 s and at most 11 s more for the leases

  Scenario Outline: A cordon does not follow the time of day
    Given an owner with a worker that was cordoned for 6 s
    When the next owner takes over and the time of day jumps by <jump> s
    Then the worker stays cordoned for 5.5 s and is free after 6.5 s

    Examples:
      | jump |
      | 9    |
      | -9   |

  # Workers that cannot be reached.

  Scenario: A worker whose address refuses connections keeps its runs
    # Guards against runs that are given up although their worker goes on: a path that is cut may
    # refuse connections (rule TWICE on day hunt-152b-3 of snrc-atlas).
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When a call to the worker is refused
    Then run 1 is not taken to be missing

  Scenario: An unanswered order to a worker whose address refuses connections is kept
    Given an owner whose start order of run 1 got no response
    When a call to the worker is refused
    Then run 1 is not taken to be missing

  Scenario: A worker that only falls silent keeps its runs
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When a call to the worker gets no response
    Then run 1 is not taken to be missing

  Scenario: A later owner asks a worker that is no longer listed
    # Without its address, the owner would wait for the leases even if another worker has it.
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When the worker leaves the list and the next owner takes over
    And another worker answers at its address
    Then run 1 is taken to be missing

  Scenario: An incarnation that has ended is not asked again while it is still listed
    # Guards against ten calls a second to an address that another incarnation has.
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When another worker answers at its address
    And the list of workers is read again
    Then the owner has no link to it
    When its entry tells the new birth and 4 cores
    Then the owner has a link to it

  Scenario: A later owner adopts what runs on a worker that is no longer listed
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When the worker leaves the list and the next owner takes over
    And the worker lists run 1
    Then run 1 is not taken to be missing
    And no task was ordered anew

  Scenario: An order under an earlier epoch that is refused does not cost the partition
    Given an owner whose worker reported 1 s ago and has no tasks
    When its epoch rises while a start order is refused for its fencing token
    Then the owner keeps the partition

  Scenario: A renewal under an earlier epoch that is refused does not cost the partition
    Given an owner whose worker reported 1 s ago and has no tasks
    When its epoch rises while a renewal is refused for its fencing token
    Then the owner keeps the partition

  Scenario: A renewal under the present epoch that is refused costs the partition
    Given an owner whose worker reported 1 s ago and has no tasks
    When a renewal is refused for its fencing token
    Then the owner has lost the partition
