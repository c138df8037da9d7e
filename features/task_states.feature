Feature: In each state of a short task somebody starts it after its driver is lost

  # Guards against a state that nobody ends once what drives it is gone (incident 019). The bounds are those of
  # docs/platform.md, with the 3 s of rule LOST: 9.4 s for the leases of an owner that was killed, 4.4 s for
  # those of a worker or of an owner that hands over, 5 s until a refused record is written again.
  Scenario Outline: A task that is <state> is at work again after <loss>
    Given 4 workers and a job whose tasks are <state>
    When <loss>, and everything answers again
    Then each task of the job is at work or done within <seconds> s of that

    Examples: No driver is lost
      | state                  | loss               | seconds |
      | waiting for room       | nothing is lost    | 3       |
      | waiting for a ticket   | nothing is lost    | 3       |
      | waiting for a record   | nothing is lost    | 8       |
      | ordered and unsent     | nothing is lost    | 3       |
      | ordered without a sender | nothing is lost  | 13      |
      | ordered and unanswered | nothing is lost    | 7.4     |
      | ordered and cut off    | nothing is lost    | 7.4     |
      | at an unlisted worker  | nothing is lost    | 3       |

    Examples: The owner is lost
      | state                  | loss                     | seconds |
      | waiting for room       | the owner is killed      | 12.4    |
      | waiting for a ticket   | the owner is killed      | 12.4    |
      | waiting for a record   | the owner is killed      | 12.4    |
      | ordered and unsent     | the owner is killed      | 12.4    |
      | ordered without a sender | the owner is killed    | 12.4    |
      | ordered and unanswered | the owner is killed      | 12.4    |
      | ordered and cut off    | the owner is killed      | 12.4    |
      | at an unlisted worker  | the owner is killed      | 12.4    |
      | in an unreadable step  | the owner is killed      | 12.4    |
      | due in a second step   | the owner is killed      | 12.4    |
      | waiting for room       | the owner hands over     | 7.4     |
      | waiting for a ticket   | the owner hands over     | 7.4     |
      | waiting for a record   | the owner hands over     | 7.4     |
      | ordered and unsent     | the owner hands over     | 7.4     |
      | ordered and unanswered | the owner hands over     | 7.4     |
      | ordered and cut off    | the owner hands over     | 7.4     |
      | at an unlisted worker  | the owner hands over     | 7.4     |
      | due in a second step   | the owner hands over     | 7.4     |
      | waiting for room       | another owner intervenes | 12.4    |
      | waiting for a ticket   | another owner intervenes | 12.4    |
      | waiting for a record   | another owner intervenes | 12.4    |
      | ordered and unsent     | another owner intervenes | 12.4    |
      | ordered and unanswered | another owner intervenes | 12.4    |
      | ordered and cut off    | another owner intervenes | 12.4    |
      | at an unlisted worker  | another owner intervenes | 12.4    |
      | due in a second step   | another owner intervenes | 12.4    |

    Examples: Its worker is lost
      | state                  | loss                    | seconds |
      | ordered and unsent     | its worker goes for good | 7.4    |
      | ordered and unanswered | its worker goes for good | 7.4    |
      | ordered and cut off    | its worker goes for good | 7.4    |
      | at an unlisted worker  | its worker goes for good | 7.4    |
      | ordered and unsent     | its worker restarts      | 7.4    |
      | ordered without a sender | its worker restarts    | 7.4    |
      | ordered and unanswered | its worker restarts      | 7.4    |
      | ordered and cut off    | its worker restarts      | 7.4    |
      | at an unlisted worker  | its worker restarts      | 7.4    |

    Examples: A call of the owner ends without any outcome
      | state                  | loss                                  | seconds |
      | waiting for a ticket   | the request for tickets fails         | 3       |
      | waiting for a ticket   | the request for tickets has no answer | 3       |

  # Guards against a task that begins again although its success was acknowledged (rule TWICE, seed 307 of the
  # plays of further kinds): a later run had a number and was never begun.
  Scenario Outline: A success on a worker that was cut off counts, although <cause> a later order
    Given 4 workers and a job whose tasks are at work
    When their worker is cut off until its lease has lapsed, and <cause> a later order
    Then no task begins after its end, and the job is shown as completed

    Examples: Refusals
      | cause                |
      | the store refuses    |
      | the workers refuse   |
      | the store delays     |
