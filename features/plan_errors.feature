Feature: An error in the plan of one step keeps no other step waiting

  # Guards against a partition in which nothing is placed any more, since the planner meets the same
  # unexpected error at each try and gives up the whole plan for it (rule LOST).
  Scenario Outline: The other jobs are at work although one step causes an error each time
    When <call> fails for one job each time, and two jobs of <cores> cores are submitted after it
    Then the other jobs are at work within 1 s
    And once the error is over that job is at work within 2 s

    Examples: where the planner fails
      | call                  | cores |
      | the rank              | 3     |
      | the choice of workers | 3     |
      | the placement         | 3     |

  # Guards against room that stays reserved for tasks that were not placed after all.
  Scenario: The room that a failed placement had reserved is free again
    When the placement fails for one job each time, and two jobs of 12 cores are submitted after it
    Then the other jobs are at work within 1 s
