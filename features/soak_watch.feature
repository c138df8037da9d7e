Feature: The soak's check of long-running tasks
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
