Feature: A run that a report could not list is not taken for lost
  A report lists at most 500 ends. Those after them follow once the reported ones are acknowledged.

  # Guards against tasks that run again after their noted end (rule TWICE, review case 1).
  Scenario Outline: More runs end than one report lists
    Given a worker that lists at most 500 ends in a report
    When <runs> end while <disturbance>
    Then no run was repeated
    And each of its jobs is shown as completed

    Examples:
      | runs            | disturbance                                    |
      | 700 runs of it  | the owner is killed                            |
      | 1700 runs of it | the owner is killed                            |
      | 700 runs of it  | the owner is killed twice                      |
      | 700 runs of it  | the worker is cut off for 3 s                  |
      | 700 runs of it  | the answers of the worker are lost for 3 s     |
      | 700 runs of it  | the store answers appends after 3 s            |
      | 700 runs of it  | the partition moves to another owner and back  |

  Scenario: A gang has more members than one report lists ends
    Given a worker that lists at most 500 ends in a report
    When a gang of 600 runs of it ends while the owner is killed
    Then no run was repeated
    And each of its jobs is shown as completed

  # Guards against ends that wait for the next poll of a worker that runs nothing.
  Scenario: The ends after the reported ones are asked for at once
    Given a worker that lists at most 500 ends in a report
    When 700 runs of cancelled jobs have ended there before the next owner reaches it
    Then it keeps no end for longer than 6 s
