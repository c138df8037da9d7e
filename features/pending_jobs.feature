Feature: Jobs of which no task has started are counted as pending

  # Guards against an order that counts as a start: callers are told that a queue is empty while all
  # its jobs wait for a worker that takes them (rule MIXED).
  Scenario Outline: Jobs whose start orders <fault> are counted, through <change>
    When six jobs are submitted, their start orders <fault> for 7 s, and <change> comes after 2 s
    Then no job without a start was left out of a count
    And in the end all jobs are completed and none is counted

    Examples: the only worker takes no order
      | fault                                  | change         |
      | are refused                            | no change      |
      | are refused                            | a takeover     |
      | are refused                            | a handover     |
      | are refused                            | a killed owner |
      | get no answer and expire               | no change      |
      | get no answer and expire               | a takeover     |
      | get no answer and expire               | a killed owner |
      | get no answer and are carried out late | no change      |
      | find no worker                         | no change      |
      | find no worker                         | a killed owner |
      | are dropped unrecorded                 | no change      |
      | are dropped unrecorded                 | a handover     |
      | cause an unexpected error              | no change      |
      | are lost with the worker               | no change      |
      | are lost with the worker               | a killed owner |
      | come as the worker drains              | a takeover     |

  # Guards against the opposite: work that has started counts as pending because its worker, or the
  # owner that knew of it, is gone.
  Scenario Outline: A job that was at work for <seconds> s is not counted after <loss> and <change>
    When a job was at work for <seconds> s, and <loss> comes with <change>
    Then it is not counted from 2 s after its start and the change on

    Examples: no other worker may run it
      | seconds | loss                                   | change         |
      | 1.5     | a crash of its worker                  | no change      |
      | 1.5     | a crash of its worker                  | a killed owner |
      | 1.5     | a crash of its worker                  | a handover     |
      | 1.5     | a cut of its worker                    | a killed owner |
      | 1.5     | a cut of its worker                    | a takeover     |
      | 0.3     | a cut of its worker                    | a handover     |
      | 0.3     | a crash of its worker                  | a handover     |
      | 0.3     | no loss                                | a killed owner |
      | 1.5     | an end of its first step and a crash   | a killed owner |
      | 1.5     | a failure of its first run and a crash | a killed owner |

  Scenario: A gang has not started before all its members are present
    # Guards against a gang that counts as started while one member is refused, so that none works.
    Given a job of a gang of 3 tasks, all ordered
    When the worker lists the first 2 of them without progress
    Then the job is counted as pending
    When the worker lists all 3 of them without progress
    Then the job is not counted as pending

  Scenario: A gang that makes progress has started although its next owner reaches only some members
    Given a job of a gang of 3 tasks, all ordered
    When the worker lists the first 2 of them at work
    Then the job is not counted as pending

  Scenario: A gang whose waiting member ended alone has not started
    Given a job of a gang of 3 tasks, all ordered
    When the worker lists the end alone of the first of them
    Then the job is counted as pending

  Scenario: A copy that has started is a start although the first run got no answer
    Given a job of one task with an unanswered run elsewhere and a copy on the worker
    When the worker lists the copy
    Then the job is not counted as pending

  Scenario: A run that is being stopped since a later one was ordered is a start
    Given a job of one task, ordered for the second time
    When the worker lists its first run
    Then the job is not counted as pending

  Scenario Outline: The record of an earlier version with <row> tells <count> pending job
    # Such records do not tell of a start by itself.
    When an owner takes over a job whose task is recorded as <row>
    Then <count> jobs are counted as pending

    Examples:
      | row                                                  | count |
      | [1,1,0,"w9"]                                         | 1     |
      | [0,2,0,"w9"]                                         | 1     |
      | [0,2,1,"w9"]                                         | 0     |
      | [1,2,0,"w9","checkpoint"]                            | 0     |
      | [1,2,0,"w9","",[["w8",5,100,true,true,false,false]]] | 1     |
      | [1,2,0,"w9","",[["w8",5,100,true,true,false,true]]]  | 0     |
      | [1,2,0,"w9","",[],null,true]                         | 0     |

  Scenario: A start that is recorded later costs at most one append a second
    When 40 jobs start within 2 s and run on, and nothing else is recorded
    Then their starts took at most 3 appends

  Scenario: An owner whose membership has run out tells no count
    # Guards against a former owner that leaves out what its successor has accepted.
    When a count is asked of an owner whose membership has run out
    Then the answer is that another owner may know it
