Feature: Claims keep no room once nobody uses them

  # Guards against claimed room that keeps short tasks waiting although it is free (rule LOST,
  # incident 019): claims shrink what the planner offers to short tasks.
  Scenario Outline: A claim ends with the wait of its task and with its worker
    When a long-running task that waits with a claim <change>
    Then 0.3 s later each claim belongs to a task that waits and to a worker that is used

    Examples: changes
      | change                         |
      | is cancelled                   |
      | is given up                    |
      | is placed                      |
      | gets another owner             |
      | has its claimed worker cordoned |
      | has its claimed worker crash   |
      | has its claimed worker drain   |
      | has its claimed worker restart |
      | has its claimed worker shrink  |
      | has its claimed worker cut off |

  Scenario Outline: Short tasks get the room of a claim whose task has ended
    When a long-running task that waits with a claim <change>
    Then short tasks are at work in the room that it had claimed within 0.5 s

    Examples: ends
      | change       |
      | is cancelled |
      | is given up  |

  # Guards against short tasks that wait for claimed room which is free (rule LOST) until short runs
  # are stopped for the claims.
  Scenario: A short task is at work within 3 s although the room of all workers is claimed
    When a short task becomes due while long-running tasks claim the room of all workers
    Then it is at work within 3 s
