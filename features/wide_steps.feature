Feature: The records of a wide step are bounded, and one that is refused keeps nothing else waiting
  The store takes records of a limited size and refuses larger ones for good. A step has up to 10,000
  tasks, and what is recorded of a task grows with the losses of its workers.

  # Guards against a partition that stands still behind a record that the store refuses (rule LOST,
  # review case 3).
  Scenario Outline: A wide step is disturbed
    Given a store that takes records of 16,384 bytes, and a step of 400 long-running tasks
    When it runs beside a small job, and <disturbance>
    Then no promise was broken
    And all 400 tasks run
    And the small jobs are completed
    And no record was refused

    Examples:
      | disturbance                             |
      | its workers crash and start again       |
      | its workers crash twice                 |
      | its workers crash and the owner is killed |
      | the owner is killed                     |
      | the owner hands over twice              |
      | the store answers appends after 2 s     |
      | its workers are cut off for 6 s         |

  Scenario Outline: No record exceeds the limit of the store
    Given a step of 10000 tasks with everything that is recorded of a task at its largest
    Then its records have at most <limit> bytes each

    Examples:
      | limit  |
      | 16384  |
      | 65536  |
      | 262144 |

  Scenario: What is written grows with what changed
    When steps of 100, 1000 and 3000 tasks start and one task of each ends
    Then the bytes written for the starts grow with the number of tasks
    And the end of one task writes the same for each of them

  Scenario Outline: A record that the store refuses for good
    Given three jobs, and a store that refuses <record> of the second one
    Then the first and the third one are completed
    And the second one is <state>
    And it was refused fewer than 8 times

    Examples:
      | record      | state   |
      | the record  | absent  |
      | the steps   | queued  |

  Scenario: Ends whose record is refused are not acknowledged
    # Guards against an end that nobody has recorded, after which the task runs again.
    Given a store that refuses the record of a step while its two tasks end
    Then their ends are not acknowledged
    And once the store takes the record, they are acknowledged and both tasks run again

  Scenario: A record is refused once in the log, and written once the store takes it
    Given a ledger whose store refuses the key "b"
    When it writes "a", "b" and "c"
    Then the records a c are in the store
    And the log names "b", its size and the limit once
    And "b" is not durable, "a" and "c" are
    When the store takes "b" and 6 s pass
    Then the records a b c are in the store

  Scenario Outline: A change that cannot become a record costs that change alone
    Given a ledger of a store without faults
    When it writes "a", <change> and "c"
    Then the records a c are in the store

    Examples:
      | change                        |
      | a key of 300 bytes            |
      | a value that cannot be encoded |
      | a value of 300000 bytes       |

  Scenario: A job whose record would exceed the limit is not accepted
    Given an entry host whose owner takes records of 16,384 bytes
    When a job of 100 steps with long names is submitted
    Then it is answered with 413, and nothing of it is recorded

  Scenario: A checkpoint that cannot be recorded is not kept
    Given an owner that has started run 1 of a checkpointing job
    When the worker lists the failure of run 1 with a checkpoint of 9000 characters
    Then the task has no checkpoint

  # Guards against thousands of calls at once, which the process does not get through in time.
  Scenario: A small job does not wait for all tasks of a wide step
    When a job of 1 task is submitted while 3000 tasks start on workers that answer after 0.7 s
    Then it starts within 4 s

  # Records of both forms: hosts are replaced in turn.

  Scenario: Records of a wide step that the former version wrote are read
    Given a step of 100 tasks as the former version recorded it, with 40 done
    When the owner records a change of task 70
    Then a later owner reads 40 done tasks and the change of task 70

  Scenario: An owner of the former version follows and is followed
    Given a step of 100 tasks as the former version recorded it, with 40 done
    When the owner records a change of task 70
    And the former version records the step again, with 41 done
    Then a later owner reads 41 done tasks and no change of task 70

  Scenario Outline: Steps of up to 32 tasks are recorded as the former version does
    Given a job with a step of <count> tasks
    When a task of it is ordered
    Then the former version <reads> its record

    Examples:
      | count | reads        |
      | 1     | reads        |
      | 32    | reads        |
      | 33    | does not read |

  Scenario: While hosts of the former version own partitions, wide steps are recorded as a whole
    Given a job with a step of 100 tasks, and hosts of the former version
    When a task of it is ordered
    Then the former version reads its record

  Scenario: An owner that hands over records wide steps as a whole
    Given a job with a step of 100 tasks
    When a task of it is ordered
    And the owner hands over
    Then the former version reads its record

  Scenario: A job that ends leaves no record of its steps, in either form
    Given a job with a step of 100 tasks
    When a task of it is ordered
    And hosts of the former version join, and another task is ordered
    And the job is cancelled
    Then no record of its steps is left

  Scenario: Parts of a step of an earlier job of the same identifier are removed
    Given records of a part of a step whose job has ended
    When an owner takes over
    Then it removes the part

  Scenario: A part that cannot be read closes its step
    Given a step of 100 tasks of which one part cannot be read
    When an owner takes over
    Then it starts no task of the step before the longest lease is over
