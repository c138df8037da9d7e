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
      | the order             | 3     |
      | the record            | 3     |

  # Guards against room that stays reserved for tasks that were not placed after all.
  Scenario: The room that a failed placement had reserved is free again
    When the placement fails for one job each time, and two jobs of 12 cores are submitted after it
    Then the other jobs are at work within 1 s

  # Guards against a partition without an owner: the owner that has lost its records kept it, since
  # an unexpected error ended each look before the one at the ledger.
  Scenario: An owner whose records are lost gives the partition up although a check fails each time
    When a later owner writes to the partition while a check of the owner fails each time
    Then the owner gives the partition up within 1 s
