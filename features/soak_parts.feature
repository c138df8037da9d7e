Feature: Parts of the soak
  A check that never fails would hide a task that stays away. Times are those of the rule LOST: 6 s
  after the last run, 3 s of absence, and 4 s of calm before them.

  Scenario Outline: A task whose worker is gone for good
    Given a long-running task at work until its worker is gone, and another worker with room for <free> tasks
    When it has been calm for <calm> s by then, and the task stays away for <away> s
    Then the soak reports <count> tasks

    Examples: it is reported only with room and in a calm time
      | free | calm | away | count |
      | 2    | 4    | 9.2  | 1     |
      | 2    | 4    | 8.7  | 0     |
      | 2    | 0    | 9.2  | 1     |
      | 2    | -5   | 11.5 | 0     |
      | 2    | -5   | 12.5 | 1     |
      | 1    | 4    | 30   | 0     |

  Scenario: Two faults that end at the same time start an entry host once
    # Guards against a second process that no one ends: it joins the store of the next seed, on the
    # same ports, under a higher epoch.
    Given an entry host of the soak whose process takes a moment to start
    When two faults start it again at the same time
    Then one process was started

  # Guards against a check that passes over a job that stands still (incident 019). Times are those of
  # the rule: 3 s without a run, judged after 7.4 s of calm, and 12.4 s after a change of owner.
  Scenario Outline: A short job whose second step does not begin
    Given a job of <steps> steps with <tasks> tasks each, whose first step has ended, and workers with <free> of 8 cores free
    When it has been calm for <calm> s and the owner unchanged for <owned> s by then, and nothing of the job runs for <idle> s
    Then the soak reports <count> short jobs as not at work and <late> as not ended

    Examples: it is reported only with room and in a calm time
      | steps | tasks | free | calm | owned | idle | count | late |
      | 2     | 3     | 8    | 10   | 20    | 3.5  | 1     | 0    |
      | 3     | 2     | 8    | 10   | 20    | 3.5  | 1     | 0    |
      | 2     | 3     | 8    | 10   | 20    | 2.5  | 0     | 0    |
      | 2     | 3     | 8    | -5   | 20    | 11.5 | 0     | 0    |
      | 2     | 3     | 8    | -5   | 20    | 13   | 1     | 0    |
      | 2     | 3     | 8    | 10   | 1     | 10   | 0     | 0    |
      | 2     | 3     | 8    | 10   | 1     | 12   | 1     | 1    |
      | 2     | 3     | 5    | 10   | 20    | 9    | 0     | 0    |
      | 2     | 2     | 4    | 10   | 20    | 9    | 0     | 0    |
      | 2     | 3     | 5    | 0    | 20    | 21   | 0     | 1    |
      | 1     | 3     | 8    | 10   | 20    | 30   | 0     | 0    |

  Scenario Outline: A short job that need not run is not reported
    Given a job of 2 steps with 3 tasks each, whose first step has ended, and workers with 8 of 8 cores free
    When the job <reason>, and nothing of it runs for 30 s of calm
    Then the soak reports 0 short jobs as not at work and 0 as not ended

    Examples:
      | reason                  |
      | is cancelled            |
      | is shown as ended       |
      | crashes its workers     |
      | has not been accepted   |

  # Guards against a soak whose late start orders run although the worker was told to refuse them,
  # as the platform promises.
  Scenario Outline: A worker of the soak refuses a start order for a run that was stopped before
    Given a worker of the soak that was told to stop run <stopped> of a task that it does not have
    When a start order for run <run> of the task arrives
    Then the worker answers with status <status>

    Examples:
      | stopped | run | status |
      | 2       | 2   | 409    |
      | 2       | 1   | 409    |
      | 2       | 3   | 200    |
