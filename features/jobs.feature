Feature: Jobs are placed fairly, start at most once, and end

  Scenario: Random demands never take more of a host than it has, nor more than a team's quota
    # Guards against overcommitted processors, memory or accelerators, and ignored quotas.
    Given 400 random jobs for 12 random hosts
    When they are planned with a quota of 8 for each team
    Then no host and no quota is exceeded

  Scenario: Urgent jobs go first, then the earliest deadline
    # Guards against urgent work that waits behind other work.
    Given a host with room for 2 jobs
    And queued jobs late, soon, urgent where urgent is urgent and soon is due first
    When they are planned
    Then the jobs urgent, soon are placed

  Scenario: Small jobs do not starve a large one
    # Guards against a large job that never starts because small ones take every free processor.
    Given a host with 4 processors of which 3 are in use
    And a job of 4 processors due before one of 1 processor
    When they are planned
    Then no job is placed

  Scenario: Repeatable work makes room for urgent work, other work does not
    # Guards against preempting a task that must not be started a second time.
    Given a host filled by the tasks once and again where only again is repeatable
    And an urgent job of the size of one task
    When they are planned
    Then the tasks again are stopped

  Scenario: Declared sizes are corrected by late reports of usage
    # Guards against hosts that stay underused because declared sizes are far too large.
    Given 20 reports that tasks use 2 of 8 declared processors
    And a host with room for 2 jobs as declared
    When 6 jobs of that queue are planned
    Then 6 jobs are placed

  Scenario: A size corrected beyond every host does not make a job unplaceable
    # Guards against rejecting a job that fits as declared.
    Given 20 reports that tasks use 80 of 8 declared processors
    And a host with room for 2 jobs as declared
    When 1 jobs of that queue are planned
    Then 1 jobs are placed

  Scenario: A job that fits no host is reported and not retried
    # Guards against endless placement attempts for a job that can never run.
    Given a stream of jobs with the queued job huge
    When huge is reported as unplaceable
    Then placing huge is rejected

  Scenario: A holder that lost its claim cannot place
    # Guards against two holders that place the same job on two hosts.
    Given a stream of jobs with the queued job a
    When another member takes the claim jobs and the former holder places a
    Then the job a is queued

  Scenario: No job is placed on a host that drains
    # Guards against new work on a host that is about to reboot.
    Given a stream of jobs with the queued job a
    When the host w1 drains and a is placed on w1
    Then the job a is queued

  Scenario Outline: What follows an attempt depends on whether the job may be repeated
    # Guards against a second start of a job that may not be repeated, and against lost jobs.
    Given a stream of jobs with the placed job a, repeatable: <repeatable>
    When its attempt ends as <result>
    Then the job a is <state>

    Examples:
      | repeatable | result      | state   |
      | no         | unknown     | unknown |
      | no         | stopped     | unknown |
      | no         | failed      | failed  |
      | no         | not-started | queued  |
      | yes        | unknown     | queued  |
      | yes        | stopped     | queued  |
      | yes        | failed      | queued  |

  Scenario: A task whose start was not answered is found again at its worker
    # Guards against a second start after a lost answer.
    Given a task supervisor with the job a, repeatable: no
    When the worker has the fault "lost answer" and a is placed for 30 s
    Then a has started once and is placed

  Scenario: A refused start is fenced before the attempt counts as not started
    # Guards against a delayed first call that starts the task after it was placed elsewhere.
    Given a task supervisor with the job a, repeatable: no
    When the worker has the fault "refuse" and a is placed for 1 s
    Then the worker was asked to start and then to stop, and a is queued

  Scenario: A holder paused past its claim does nothing at workers
    # Guards against starts by a former holder after another member has taken the claim.
    Given a task supervisor with the job a, repeatable: no
    When the claim expires right after a was placed and 30 s pass
    Then the worker was not called to start

  Scenario Outline: The fate of a task at a silent worker
    # Guards against a second start of a task that may still run, and against an endless wait for
    # a repeatable one.
    Given a task supervisor with the job a, repeatable: <repeatable>
    When the worker has the fault "silent" and a is placed for 60 s
    Then the job a is <state>

    Examples:
      | repeatable | state  |
      | no         | placed |
      | yes        | queued |

  Scenario: A task on a draining host goes on from its checkpoint
    # Guards against lost progress and against a reboot that interrupts a running task.
    Given a task supervisor with the job a, repeatable: yes
    When a runs and its host drains
    Then the worker was asked to throttle, checkpoint and stop in this order
    And the job a is queued with a checkpoint

  Scenario: A burst of cancellations costs one stop and one record for each
    # Guards against more than one stop call or result record per cancellation.
    Given a task supervisor with 300 running jobs
    When all of them are cancelled at once
    Then the worker got 300 slow stops and the log 300 results, and all are cancelled

  @process
  Scenario: The path of a job through a whole deployment
    # Guards against jobs that are lost, run twice, late or wrongly refused under combined faults.
    Given a running deployment for jobs where one of 4 workers fails everything
    When a submission with 3 faults is made
    Then it is refused as not run with 3 findings
    When 40 repeatable jobs and 20 others are submitted while answers are lost
    And the holder of the claim jobs is paused for 8 s
    Then every repeatable job succeeds, and no other job ran twice
    And the failing worker was given at most 20 tasks
    When a submission is repeated at the other data centre's entry host
    Then it is answered as the first one, and other content is refused
    When the pool is filled with repeatable jobs and an urgent one is submitted
    Then the urgent one starts within 2.3 s
    When the log is down
    Then a submission is refused as not run
