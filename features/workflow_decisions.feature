Feature: Decisions about workflows under the worst load
  Each scenario replays the load pattern that a decision responds to, without any I/O.

  Scenario Outline: A submission is rejected once the accepted work no longer fits its objective
    # Load: a burst of five times the mean demand of a pool. A workflow that misses its objective is
    # worth only a fraction.
    Given a pool of 100 cores with <ready> core-seconds of ready and <total> of accepted work
    When a workflow with a chain of 1 s, 8 core-seconds and an objective of 2.2 s is submitted after <age> s
    Then it is <verdict>

    Examples:
      | ready | total | age | verdict                           |
      | 0     | 0     | 0   | admitted                          |
      | 50    | 100   | 0   | admitted                          |
      | 150   | 200   | 0   | rejected with a retry after 1 s   |
      | 50    | 1000  | 0   | rejected with a retry after 7 s   |
      | 0     | 0     | 3   | admitted                          |
      | 60    | 150   | 2   | rejected with a retry after 1 s   |

  Scenario: Machines that may come count after the time in which they come
    Given a pool of 20 cores with 60 core-seconds of ready and 60 of accepted work
    And 200 more cores are arriving
    When a workflow with a chain of 3 s, 8 core-seconds and an objective of 7 s is submitted after 0 s
    Then it is admitted

  Scenario: Work that is due later does not turn away what is due sooner
    # Guards against short jobs that are rejected while workers are free, because long jobs were
    # accepted before.
    Given a pool of 100 cores with 0 core-seconds of ready and 260 of accepted work
    And 40 core-seconds of it are due sooner, and the mean objective is 3 s
    When a workflow with a chain of 0.4 s, 8 core-seconds and an objective of 1.2 s is submitted after 0 s
    Then it is admitted

  Scenario: A task that fits no worker is rejected and not kept
    Given a pool of 100 cores with 0 core-seconds of ready and 0 of accepted work
    When a workflow that fits no worker is submitted
    Then it is rejected with a retry after 30 s

  Scenario: Rejected callers are spread
    # Callers that all retry at the same time form the next burst.
    Given a pool of 100 cores with 50 core-seconds of ready and 1000 of accepted work
    When 100 workflows with an objective of 2.2 s are rejected
    Then their retry delays are spread over at least 0.5 s

  Scenario: Work that can still be on time goes first, long-running work before it
    Given steps of 1 s that are due after these seconds
      | name    | due  | long_running | best_effort |
      | late    | 0.5  | no           | no          |
      | urgent  | 1.2  | no           | no          |
      | relaxed | 5.0  | no           | no          |
      | serving | 9.0  | yes          | no          |
      | filler  | 0.1  | no           | yes         |
    Then they are placed in the order serving, urgent, relaxed, late, filler

  Scenario: Tasks are packed, so that other workers can leave the pool
    Given 3 workers of 16 cores of which the second runs 10 cores
    When a task of 4 cores is placed
    Then it is on w1

  Scenario: A worker that fails everything is left alone and eats no further attempts
    Given 2 workers of 16 cores of which the second runs 10 cores
    When 2 tasks in a row have failed on w1
    And a task of 4 cores is placed
    Then it is on w0

  Scenario: A task that failed goes to another worker while there is one
    Given 2 workers of 16 cores of which the second runs 10 cores
    When a task of 4 cores that failed on w1 is placed
    Then it is on w0

  Scenario: At most so many tasks of a step are on one worker
    Given 2 workers of 16 cores of which the second runs 10 cores
    When 4 tasks of 1 core with at most 2 on one worker are placed
    Then 2 are on each worker

  Scenario Outline: Best-effort tasks give way before the serving task misses its target
    Given a serving task with a target of 100 ms whose tail latency is <latency> ms
    When best-effort tasks beside it use <before> percent
    Then they may use <after> percent

    Examples:
      | latency | before | after |
      | 40      | 50     | 60    |
      | 70      | 50     | 50    |
      | 80      | 50     | 25    |
      | 96      | 50     | 0     |

  Scenario: A pool that is short gets what another would give back first, then standby machines
    # A machine that goes through the standby pool takes two moves, and each move costs as much as
    # three seconds in a pool.
    Given pools booking with 4, office with 4 and spare with 2 machines
    When booking needs 6 and office needs 1 and keeps 3
    Then the moves are 1 from office to booking, 1 from spare to booking

  Scenario: A pool gives machines that it merely keeps to one that needs them
    # Guards against pools that keep machines for past peaks and never give them to the pool whose
    # turn it is.
    Given pools booking with 4, office with 6 and spare with 0 machines
    When booking needs 6 and office needs 2 and keeps 6
    Then the moves are 2 from office to booking

  Scenario: A quiet pool returns idle machines, a few at a time, and keeps busy ones
    Given pools booking with 8, office with 2 and spare with 0 machines
    When booking needs 2 and office needs 2
    Then the moves are 2 from booking to spare

  Scenario: A pool returns no more machines while the moves of its surplus are pending
    # Guards against a pool that is emptied while moves are held up: each look counted the same
    # surplus anew and cordoned two more idle workers for it.
    Given pools booking with 8, office with 2 and spare with 0 machines
    And 4 moves from booking to spare that are not yet carried out
    When booking needs 4 and office needs 2
    Then no machine is moved
    And 0 of the moves are cancelled

  Scenario: A pool asks for no more machines while those that it lacks are on their way
    # Guards against other pools that give a machine at each look for one that is short by two.
    Given pools booking with 8, office with 2 and spare with 0 machines
    And 2 moves from booking to office that are not yet carried out
    When booking needs 4 and keeps 6 and office needs 4
    Then no machine is moved
    And 0 of the moves are cancelled

  Scenario: A pool that needs a machine again keeps it, if its move is not yet carried out
    # Guards against tasks that are due and wait while the workers with room are cordoned for a move.
    Given pools booking with 8, office with 2 and spare with 0 machines
    And 6 moves from booking to spare that are not yet carried out
    When booking needs 5 and office needs 2
    Then no machine is moved
    And 3 of the moves are cancelled

  Scenario: Machines to which an order may yet be carried out are replaced while their pool needs them
    # Guards against a pool that is kept at the size that it needs while part of its workers is
    # cordoned for seconds, so that a due task finds no room.
    Given pools booking with 8, office with 2 and spare with 4 machines
    And 3 machines of booking to which an order may yet be carried out
    When booking needs 8 and office needs 2
    Then the moves are 3 from spare to booking

  Scenario Outline: A pool needs the workers that its long-running tasks have to be spread over
    # Guards against a pool that is sized by cores while memory or a limit of a step keeps a task from
    # each of its workers (incident 020).
    Given workers of 16 cores, 64000 MB and 2 accelerators
    When their pool has long-running tasks of <tasks>
    Then they need <workers> workers
    And the pool needs <machines> machines

    Examples:
      | tasks                                                                    | workers | machines |
      | 5 of 1.3 cores, one a worker                                             | 5       | 6        |
      | 4 of 3 cores and 40000 MB                                                | 4       | 5        |
      | 3 of 1 core and 2 accelerators                                           | 3       | 4        |
      | 5 of 1.3 cores, two a worker                                             | 3       | 4        |
      | 12 of 1 core                                                             | 1       | 2        |
      | 20 of 4 cores                                                            | 5       | 6        |
      | 5 of 1 core, one a worker; 3 of 12 cores                                 | 5       | 6        |
      | 5 of 8 cores, one a worker; 3 of 12 cores                                | 8       | 9        |
      | 2 of 1 core and 70000 MB                                                 | 0       | 2        |

  Scenario: A machine that is withdrawn from a pool is replaced while long-running tasks need its place
    # Guards against tasks that are stopped for upkeep, or leave with their worker, without another place.
    Given pools booking with 6, office with 2 and spare with 4 machines
    And 2 machines of booking whose workers take no further tasks
    When booking needs 6, 5 of them for long-running tasks, and office needs 2
    Then the moves are 1 from spare to booking

  Scenario: A machine that is withdrawn is not replaced while the others have places
    Given pools booking with 6, office with 2 and spare with 4 machines
    And 1 machines of booking whose workers take no further tasks
    When booking needs 6, 5 of them for long-running tasks, and office needs 2
    Then no machine is moved

  Scenario: Demand that rises is met before it is a backlog
    Given a pool that needed 16 cores
    When within 1 s 48 cores are offered of which 28 run and nothing waits yet
    Then it needs at least 4 machines of 16 cores

  Scenario: A backlog does not ask for more machines than can do it in time
    # Guards against a pool that requests machines for all waiting and rejected tasks at once, three
    # times as many as it can use: pools requested 179 of 180 machines, and too few were left for the
    # pool whose turn came next.
    Given a pool with tasks running on 100 cores and tasks of 1 s waiting for 300 cores
    Then it needs at most 300 cores

  Scenario: Upkeep takes the quietest machines, and not more than the wave allows
    Given 8 machines due for upkeep of which 3 run tasks, at most 3 down at once
    When 1 of them is down already
    Then 2 machines without tasks are chosen

  Scenario: A machine with tasks waits for them, until the wave is late
    Given 8 machines due for upkeep of which 3 run tasks, at most 3 down at once
    Then upkeep of a machine with tasks may not begin after 1 s
    And upkeep of a machine with tasks may begin after 15 s
    But upkeep of a machine with long-running tasks may not begin after 19 s

  Scenario: A straggler does not spoil the expected run time
    Given a queue whose tasks took 1 s, 20 times
    When one task takes 60 s
    Then the next is expected to take at most 1.2 s

  Scenario Outline: Declared estimates are believed as far as they were right
    # Run times of the jobs of one queue differ several-fold: a large job with an accurate estimate
    # must not be planned like a small one, and an inaccurate estimate must not determine the plan.
    Given estimates that are off by a factor of <noise>
    And a queue whose tasks take 2 times their estimates of 500, 1000, 2000 ms, 40 times
    Then a task with an estimate of 4000 ms is expected to take <least> to <most> s

    Examples:
      | noise | least | most |
      | 1.05  | 7     | 9    |
      | 4     | 2     | 6.5  |

  Scenario: A step takes as long as its slowest task
    # Guards against admission by the mean run time of the tasks: it allowed less time than the
    # objective gives and rejected work that could have ended on time.
    Given a queue whose steps have 7 tasks that took 1 s and one that took 3 s
    Then a chain of 2 steps is expected to take 5 to 7 s

  Scenario: Pools that have had their turn keep few machines, the others keep theirs
    # Idle machines in every pool cost more than the work that they speed up is worth.
    Given pools booking, office, crew and stock whose demand takes turns of 8 s at 800 of 3000 cores
    When the forecast has observed the turns for 18 s
    Then a turn is recorded for booking, office and crew, not for stock
    When the forecast has observed the turns for 35 s
    Then a turn is recorded for booking, not for office, crew and stock

  Scenario: The last pool of a round gets its machines ahead of its turn
    # At least half of the peak of 800 cores has to be available when the turn starts at 24 s.
    Given pools booking, office, crew and stock whose demand takes turns of 8 s at 800 of 3000 cores
    When the forecast has observed the turns for 20 s
    Then at 22.0 s stock is predicted to need at least 400 cores
    And at 19.0 s no demand is predicted for stock

  Scenario: A turn that does not come is not waited for
    Given pools booking, office, crew and stock whose demand takes turns of 8 s at 800 of 3000 cores
    When the forecast has observed the turns for 20 s
    And no pool has demand for 7 s
    Then no demand is predicted for any pool

  Scenario: A single large job in a quiet pool is no turn
    Given pools booking, office, crew and stock whose demand takes turns of 8 s at 800 of 3000 cores
    When a job of 200 cores is offered to each quiet pool every second for 20 s
    Then a turn is recorded for booking, office and crew, not for stock

  Scenario Outline: Partitions belong to the larger entry hosts while there are some
    # Load: the owner of the queue whose turn it is starts hundreds of tasks per second. When that
    # owner ran on an entry host of half a core, its jobs took 11 s instead of 2 s.
    Given an entry host of <cores> cores that <is> a member
    And others of <owners> cores own partitions, one of which has had no owner for <unowned> s
    Then it <does> a member

    Examples:
      | cores | is     | owners        | unowned | does    |
      | 2.15  | is not | 2.15          | 0       | becomes |
      | 1.07  | is not | 2.15, 2.15    | 0       | becomes |
      | 0.52  | is not | 2.15, 2.15    | 0       | is not  |
      | 0.52  | is     | 2.15, 2.15    | 0       | is not  |
      | 0.52  | is     | 2.15, 0.52    | 0       | is      |
      | 0.52  | is     | 0.52, 0.52    | 0       | is      |
      | 0.52  | is not | 2.15          | 0.5     | is not  |
      | 0.52  | is not | 2.15          | 1.0     | becomes |
      | 0.12  | is not | 0.52          | 1.0     | is not  |
      | 0.12  | is not | 0.52          | 1.5     | becomes |

  Scenario: A few large jobs at once do not ask for all machines
    # Guards against an offered load that counts all work submitted within 1.5 s as if it had to be
    # done in that time: a pool requested 120 machines and used 50.
    Given a quiet pool
    When 3 workflows of 400 core-seconds with a chain of 5 s are submitted
    Then its offered load is 240 cores
    When 6 s have passed
    Then its offered load is 0 cores
