Feature: Claims of displaced tasks while plans follow one another
  The planner, the claims, the evacuation of workers and the stops of short runs act together on one
  pool of stand-in workers, in steps of 0.1 s. A stopped run ends 0.3 s later.

  Scenario: A place that was secured in another rack is used although the step prefers one rack
    # Guards against a task that is stopped for a place which it may not use afterwards.
    Given a pool with workers w0 and w1 in rack a and w2 in rack b, of 4 cores each
    And a same-rack job of 2 tasks of 4 cores runs on w0 and w1
    When w0 leaves in 10 s
    Then task 0 starts on w2 within 6 s after its end
    And no short run is stopped

  Scenario: A worker that refuses a task keeps no claim of it
    # Guards against a claim whose room seems to be free, so that no room is made on other workers.
    Given a pool with 4 workers of 4 cores
    And w0 refuses long-running tasks
    And short tasks of 1 core fill w1, w2 and w3
    When a job of 1 task of 4 cores is displaced
    Then task 0 starts on one of w1, w2 and w3 within 6 s after its end
    And at most 4 short runs are stopped

  Scenario: Room is made only on workers for which a task has a ticket
    # Guards against stops on the worker that loses the least, where the task may not start.
    Given a pool with 2 workers of 4 cores
    And short tasks of 1 core fill w1
    And 2 s later, short tasks of 1 core fill w0
    When a job of 1 task of 4 cores that has a ticket for w1 is displaced
    Then task 0 starts on w1 within 6 s after its end
    And at most 4 short runs are stopped

  Scenario: A gang that fits as a whole on no workers neither claims room nor stops short runs
    # Guards against room that is kept for some of its members for as long as the gang waits.
    Given a pool with 2 workers of 4 cores
    And short tasks of 1 core fill w0 and w1
    When a gang of 3 tasks of 4 cores is displaced
    And plans go on for 30 s
    Then there is no claim
    And no short run is stopped

  Scenario: A gang uses the secured room of one member and the claimed room of another on one worker
    # Guards against claims that count twice while the other members are placed.
    Given a pool with w0 of 8 cores and w1 of 4 cores
    And short tasks of 1 core fill w1
    And a gang of 2 tasks of 4 cores has secured room for task 0 on w0 and claimed room for task 1 there
    When the gang is displaced
    Then all its tasks start on w0 within 6 s after their end
    And no short run is stopped

  Scenario: The members of a gang keep their claims over plans that cannot start all of them
    # Guards against waits and claims that begin anew with each plan.
    Given a pool with 2 workers of 4 cores
    And short tasks of 1 core fill w1
    When a gang of 2 tasks of 4 cores is displaced
    And plans go on for 2 s
    Then each task has had a claim for 1.9 s, on one worker
    And all its tasks start within 6 s after their end

  Scenario: The secured room of a gang's member stays secured over plans that cannot start all
    # Guards against another displaced task that takes the place for which the gang was stopped.
    Given a pool with 3 workers of 4 cores
    And short tasks of 1 core fill w1 and w2
    And a gang of 2 tasks of 4 cores has secured room for task 0 on w0
    When the gang is displaced
    And another job of 1 task of 4 cores is displaced
    Then all its tasks start within 6 s after their end
    And task 0 starts on w0 within 6 s after its end

  Scenario: Secured room that a worker has lost by shrinking is not used, but found elsewhere
    # Guards against more runs than a worker has room for, and against a task that waits for it.
    Given a pool with 2 workers of 12 cores
    And 4 short tasks of 1 core run on w0
    And short tasks of 1 core fill w1
    And a job of 1 task of 5 cores has secured room on w0
    When w0 shrinks to 8 cores
    And the job is displaced
    Then task 0 starts within 6 s after its end
    And no worker has more runs than it has room for

  Scenario: A claim does not exceed the limit of tasks per worker
    # Guards against a claim that is older than a stray run of the same step on its worker.
    Given a pool with 2 workers of 12 cores
    And short tasks of 1 core fill w1
    And a job of 2 tasks of 2 cores, at most 1 per worker, has claimed room for task 0 on w0
    When a stray run of task 1 is found on w0
    And task 0 is displaced
    Then task 0 starts on w1 within 6 s after its end

  Scenario: A claim on a worker whose link was replaced is made again on the new one
    # Guards against a claim on a capacity that no placement looks at any more, also of a task whose
    # step is not planned for now.
    Given a pool with 1 worker of 12 cores
    And a job of 1 task of 2 cores has secured room on w0
    When the link to w0 is replaced
    And plans go on for 0.1 s
    Then the former capacity of w0 holds no claim
    When the job is displaced
    Then task 0 starts on w0 within 6 s after its end

  Scenario Outline: The claim of a task on a cordoned worker stays where room comes free for it
    # Guards against claims that follow each new estimate and give up the room that has come free.
    # The bound is 6 s until short runs are stopped, and the time of two stops.
    Given a pool with 8 workers of 12 cores
    And a job of 1 task of 10 cores runs on w0
    And short tasks of 2 cores and about <length> s fill the other workers again and again, seed <seed>
    When w0 is cordoned
    Then its claim stays on one worker until short runs are stopped for it
    And task 0 starts elsewhere within 7 s after the cordon

    Examples:
      | length | seed |
      | 4      | 0    |
      | 4      | 1    |
      | 12     | 2    |
      | 12     | 3    |

  Scenario: A plan makes a bounded number of claims, and further plans make the others
    # Guards against a plan that looks at all workers for each of hundreds of waiting tasks.
    Given a pool with 30 workers of 4 cores
    And short tasks of 1 core fill all workers
    When a job of 60 tasks of 1 core is displaced
    Then the next 4 plans make claims for 16, 32, 48 and 60 tasks

  Scenario: The amounts that a worker keeps for claims agree with the claims
    # Guards against sums that drift apart from the claims and keep room for nobody.
    When a worker goes through 20000 random claims, reservations and ends with seed 1
    Then its sums agree with its claims and runs after each of them
