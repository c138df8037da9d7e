Feature: Copies of late runs
  A step with speculative allows two runs of a task at a time; the first to end done counts.

  # Each scenario guards against a second end that counts, a task that nothing finishes, a start
  # after the acknowledged end (rule TWICE) and room that stays reserved (rule LIMIT).

  Scenario: The copy wins
    Given a late run and its copy at work
    Then both runs hold room
    When the copy ends first
    Then the job is completed, its task by run 2
    And the copies were won 1, lost 0, cancelled 0
    And the late run was stopped within 1 s of the end
    And nothing is left of either run

  Scenario: The late run wins
    Given a late run of 3 s and its copy of 20 s at work
    When the late run ends first
    Then the job is completed, its task by run 1
    And the copies were won 0, lost 1, cancelled 0
    And the share of won copies of its queue has fallen
    And nothing is left of either run

  Scenario Outline: Both runs end done before either end is recorded
    # Guards against a step that counts a task twice, so that it is done too early.
    Given a late run and its copy at work
    When both runs end, and <reports>
    Then the ended tasks are counted once
    And the job is completed, its task by run <run>
    And nothing is left of either run

    Examples:
      | reports                             | run |
      | their workers report at once        | any |
      | one report lists both, first run 1  | 1   |
      | one report lists both, first run 2  | 2   |

  Scenario: The copy fails
    # Guards against a reset of the task, which would be a third run.
    Given a late run and its copy at work
    When the copy ends failed
    Then the task has 1 failure and goes on with run 1 alone
    And no other run of the task starts within 3 s
    And the copies were won 0, lost 0, cancelled 1

  Scenario: The late run fails
    Given a late run and its copy of 2 s at work
    When the late run ends failed
    Then the task has 1 failure and goes on with run 2 alone
    And the job is completed, its task by run 2
    And nothing is left of either run

  Scenario: A failure that ends the job stops both runs
    Given a late run and its copy at work
    When the copy ends failed, and that was the last attempt
    Then the job with the late run is shown as failed
    And the copies were won 0, lost 0, cancelled 1
    And nothing is left of either run

  Scenario: Both runs fail, one after the other
    Given a late run and its copy of 5 s at work
    When both runs end failed
    Then the task has 2 failures and goes on with run 3 alone

  Scenario Outline: A worker is lost under one of the runs
    # Also guards against a crash that does not count for the task (rule BUDGET).
    Given a late run and its copy of <seconds> s at work
    When the worker of run <lost> <crashes>
    Then the task goes on with run <left> alone, and the loss counts for it
    And the job is completed, its task by run <left>
    And nothing is left of either run

    Examples:
      | lost | crashes         | seconds | left |
      | 1    | starts again    | 3       | 2    |
      | 1    | does not return | 7       | 2    |
      | 2    | starts again    | 18      | 1    |
      | 2    | does not return | 18      | 1    |

  Scenario: The worker of a run is silent
    # A copy does not wait for the end of the leases, as a new run of the task has to.
    Given a run whose worker no longer answers
    Then a copy is at work within 3 s
    And the job is completed, its task by run 2

  Scenario: The owner dies with a copy recorded but not sent
    Given a late run whose copy is recorded but not sent
    When the play's owner is killed and the next one takes over
    Then the task goes on with run 1 alone
    And the copies were won 0, lost 0, cancelled 1

  Scenario Outline: The owner changes with a copy at work
    Given a late run and its copy of <seconds> s at work
    When the play's owner <changes>
    Then both runs go on
    When the play goes on for 12 s
    Then the job is completed, its task by run <run>
    And nothing is left of either run

    Examples:
      | seconds | changes                              | run |
      | 5       | is killed and the next one takes over | 2   |
      | 5       | hands over                           | 2   |

  Scenario: A task that is done stays done when the leases of its other run end
    # Guards against a task that is set back to waiting after its end was recorded.
    Given a late run and its copy of 5 s at work
    When the late run's worker leaves unseen and the owner is killed
    And the play goes on for 20 s
    Then the job is completed, its task by run 2
    And the ended tasks are counted once

  Scenario: The worker of a copy leaves while no owner knows it
    Given a late run of 18 s and its copy of 5 s at work
    When the copy's worker leaves unseen and the owner is killed
    Then the task goes on with run 1 alone

  Scenario: The worker of a copy leaves the list, and another owner follows
    # Guards against a copy whose worker the next owner cannot ask.
    Given a late run of 18 s and its copy of 16 s at work
    When the copy's worker leaves the list and the owner is killed
    Then both runs go on
    And both runs hold room

  Scenario: The late run fails while the worker of its copy is unknown
    Given a late run of 18 s and its copy of 5 s at work
    When the copy's worker leaves unseen and the owner is killed for 1 s
    And the late run ends failed
    Then the copy waits for the leases of its worker as the only run

  Scenario: The late run succeeds while the worker of its copy is unknown
    Given a late run of 18 s and its copy of 5 s at work
    When the copy's worker leaves unseen and the owner is killed for 1 s
    And the late run ends before it arrives
    And the play goes on for 1 s
    Then the copy waits for nothing more

  Scenario Outline: The job is cancelled with a copy
    Given <runs>
    When the job with the late run is cancelled
    Then both runs are being stopped
    When the play goes on for 3 s
    Then the copies were won 0, lost 0, cancelled 1
    And nothing is left of either run

    Examples:
      | runs                                        |
      | a late run and its copy at work             |
      | a late run whose copy waits for its record  |

  Scenario Outline: The order of the copy gets no answer
    Given a late run of <seconds> s whose copy's order is <link>
    When the play goes on for 25 s
    Then the job is completed, its task by run any
    And nothing is left of either run

    Examples:
      | seconds | link  |
      | 8       | lost  |
      | 8       | cut   |
      | 8       | late  |
      | 8       | refused |

  Scenario: The order of a copy arrives after the end of the late run
    # Guards against a start more than 1 s after the acknowledged end.
    Given a late run whose copy's order arrives 1.3 s after it was sent
    When the late run ends before it arrives
    And the play goes on for 3 s
    Then the copy never started
    And nothing is left of either run

  Scenario: The late run ends before the order of its copy is sent
    # Guards against room that a copy keeps although nothing sends its order.
    Given a late run whose copy waits for its record
    When the late run ends first
    Then the copy never started
    And nothing is left of either run

  Scenario: The record of a copy is refused
    Given a late run whose copy cannot be recorded
    Then the copy never started
    And the task goes on with run 1 alone

  Scenario Outline: The owner lost track of a copy
    # Guards against a copy that is stopped although it is recorded, and against one without an end.
    Given a late run of 18 s and its copy of 16 s at work
    When the owner loses track of the copy, and <finds>
    And the play goes on for 5 s
    Then the owner follows both runs

    Examples:
      | finds             |
      | a report tells it |
      | no report tells   |

  Scenario: The owner lost track of a copy and of its worker
    Given a late run of 25 s and its copy of 22 s at work
    When the owner loses track of the copy, and no record tells its worker
    And the play goes on for 4.5 s
    Then the copy waits for the leases of its worker
    When the play goes on for 8 s
    Then the task goes on with run 1 alone

  Scenario: A run that the task no longer has is missing
    # Guards against a task that loses a run which goes on.
    Given a late run and its copy at work
    When run 7 of the task is reported as missing on both workers
    Then both runs go on

  Scenario Outline: A copy is used up
    # Guards against a run number that a worker has refused or ended before, and against a failure
    # that is lost, or counted again, since the worker reports it until it is acknowledged.
    Given a late run and its copy at work
    When the copy ends failed
    And the play goes on for <seconds> s
    And the play's owner is killed and the next one takes over
    And the late run ends failed
    Then the task has 2 failures and goes on with run 3 alone

    Examples:
      | seconds |
      | 0.1     |
      | 5       |

  Scenario Outline: Kinds of steps
    Then copies of tasks are allowed for <kind>: <allowed>

    Examples:
      | kind               | allowed |
      | short tasks        | yes     |
      | no copies          | no      |
      | a gang             | no      |
      | long-running       | no      |
      | best effort        | no      |
      | a placement policy | no      |

  Scenario Outline: Steps that get no copies
    Given a late run of a step with <step>
    When the play goes on for 8 s
    Then no second run was started

    Examples:
      | step             |
      | no copies        |
      | a gang           |
      | long-running     |
      | best effort      |
      | a placement policy |

  Scenario Outline: What keeps a late run from being copied
    Given a late run for which <obstacle>
    Then no second run was started

    Examples:
      | obstacle                                   |
      | the other workers are silent               |
      | an earlier run may be on the other workers |
      | the other workers have rejected the task   |
      | its job is suspected of crashes            |
      | it is not known whether it has started     |
      | it is being stopped                        |

  Scenario Outline: A queue whose copies were lost
    # Guards against cores that are spent on tasks which are late wherever they run.
    Given 2 late runs of a queue of which <lost> copies were lost
    Then <count> copies were started after 4 s

    Examples:
      | lost | count |
      | 0    | 2     |
      | 10   | 1     |

  Scenario: Slow workers get no copy
    # Guards against a copy that takes as long as the late run.
    Given a late run on the first of 6 workers, of which the next 2 are slow
    Then the copy is on none of the slow workers w1 and w2

  Scenario: No copy while tasks of the pool wait
    Given a late run in a full pool with tasks that wait
    When the play goes on for 5 s
    Then no second run was started
    When the tasks that wait are cancelled
    Then a copy is at work within 3 s

  Scenario: A task under which a worker was lost gets no copy
    Given a late run of a task that has lost a worker
    When the play goes on for 5 s
    Then no second run was started

  Scenario: A task with one attempt left gets no copy
    # A failure of the copy would end the job.
    Given a late run of a task with one attempt left
    When the play goes on for 5 s
    Then no second run was started

  Scenario: The record of a task without a copy is as before
    Then tasks without a copy have the records of the earlier version
    And the earlier version reads the record of a task with a copy

  Scenario: Random sequences of what may happen to owners, workers and jobs
    When 30 seeded plays with copies run from seed 0
    Then no promise was broken in them
    And at least 100 second runs were started in them
