Feature: Which runs get a copy
  The late-task rule: copy what is expected to end last, if its job ends well earlier by the copy.

  Scenario Outline: One run of a step of 8 tasks of 1 s
    # Guards against copies that gain nothing, and against late runs without one.
    Given a step whose other <others>
    And a run of <age> s with <progress>
    Then the run <outcome>

    Examples:
      | others            | age | progress                       | outcome                    |
      | tasks are done    | 1.2 | 15 percent, told just now      | is copied after its progress |
      | tasks are done    | 1.2 | 90 percent, told just now      | is not copied              |
      | tasks are done    | 0.1 | 1 percent, told just now       | is not copied              |
      | tasks are done    | 1.2 | no progress                    | is not copied              |
      | tasks are done    | 2.5 | no progress                    | is copied after its age    |
      | tasks are done    | 1.9 | a silent worker                | is copied after its silence |
      | tasks are done    | 1.2 | 15 percent, while it is stopped | is not copied             |
      | tasks are done    | 1.2 | 15 percent and a copy          | is not copied              |
      | runs take 7 s more | 1.2 | 15 percent, told just now     | is not copied              |
      | runs take 1 s more | 1.2 | 15 percent, told just now     | is copied after its progress |
      | tasks are done    | 1.2 | 41 percent, told just now      | is not copied              |

  Scenario: Two runs of a step are late
    # Only both copies together make the step end earlier.
    Given a step with 2 late runs
    Then 2 runs are copied

  Scenario: Two steps on which a third one waits have a late run each
    Given a job with a late run in each of 2 steps before a third one
    Then 2 runs are copied

  Scenario: A step beside it takes longer anyway
    Given a job with a late run in one step, while another one takes 30 s
    Then 0 runs are copied

  Scenario Outline: The pool limits copies
    Given 20 steps with a late run of 4 cores each in a pool of <cores> cores, of which <used> run copies
    And tasks that wait: <waiting>
    Then <count> runs are copied

    Examples:
      | cores | used | waiting | count |
      | 960   | 0    | no      | 12    |
      | 960   | 40   | no      | 2     |
      | 960   | 48   | no      | 0     |
      | 60    | 0    | no      | 0     |
      | 960   | 0    | yes     | 0     |

  Scenario: A queue whose copies are lost
    # Guards against cores that are spent on tasks which are late wherever they run.
    Given 20 steps with a late run of 4 cores each in a pool of 960 cores, of which 0 run copies
    When 8 copies of their queue were lost
    Then 1 runs are copied
    When one copy of their queue is at work
    Then 0 runs are copied
    When 2 copies of their queue were won
    Then 12 runs are copied

  Scenario Outline: Workers that get no copy
    Given a late run on w0, and workers w0 and w1 of which w1 <state>
    Then no worker is chosen for the copy

    Examples:
      | state                        |
      | is excluded as slow or silent |
      | is suspected                 |
      | has failed a task just now   |
      | is reserved                  |
      | is full                      |
      | is in another rack           |
      | is not usable                |

  Scenario: A worker that takes twice as long as the others is slow
    # Single stragglers do not make a worker slow; the runs of a hanging one do.
    Given 10 workers with runs of 1 s, of which w3 takes 2 s, and w5 has a straggler of 7 s
    Then the slow workers are w3
    And with 2 overdue runs on w6, w6 is slow as well

  Scenario: The estimate of the spread follows the queue
    Given a queue whose declared run times are right
    Then the expected spread of its run times is below 0.15

  Scenario: Late runs, slow workers and one that hangs, in calm and in a burst
    # Bounds are those of the rule: a small share of the cores, none while tasks wait, and more jobs
    # in time in calm without fewer in the burst over the seeds together.
    When the load is replayed with and without copies on seeds 1 to 6
    Then more jobs are in time in calm, and no fewer in the burst
    And the copies never had more than 5 percent of the cores, and none was made while tasks waited
    And the core-seconds grew by at most 5 percent

  Scenario: Tasks that are late on every worker
    # Their copies gain nothing, so that they may only cost little.
    When the load is replayed with tasks that are late on every worker
    Then the core-seconds grew by at most 10 percent
