Feature: Large tasks run at the end of the day

  # Guards against tasks of half a worker or more that wait although most of their service is free:
  # cordoned, reserved, excluded and claimed workers count as room for rule LOST, and no other play
  # judges by that list. More seeds: LARGE_TASK_PLAYS=1000 LARGE_TASK_SEED=5000
  Scenario: Seeded plays leave no large task waiting beside free room at the end
    When 6 plays of large tasks from seed 6000 on end with a judged time
    Then no task that could run at the end of the plays was kept from it for 3 s

  # Guards against a pool that is sized by cores and by the long-running tasks' workers apart: neither
  # count sees that the cores left beside long-running tasks are too few on each worker for a large
  # task. A machine from standby is up in 3 s. It holds on a1cc8d8.
  Scenario Outline: A large task gets a worker although the pool has enough cores in all
    When a task of <large> cores waits beside one that has the only worker without a long-running task of <long> cores, with 6 machines on standby
    Then the large task is at work within 6 s

    Examples:
      | large | long |
      | 9     | 5    |
      | 8     | 7    |
      | 9     | 4    |

  # Guards against a watch that leaves out the workers that the owner leaves out.
  Scenario Outline: The watch of the end counts cordoned workers as room
    When a large task waits in the judged time while <reason>
    Then the watch of the end reports <count> lost task

    Examples:
      | reason                   | count |
      | all workers are cordoned | 1     |
      | one worker is free       | 0     |

  # Guards against an order that was in flight when its holder was lost: its record tells no time, so
  # the wait of 13 s begins at the next holder's takeover, and the time without a holder is added.
  # Meanwhile idle workers stay cordoned, and there may be no machine left on standby.
  Scenario Outline: A large task runs beside workers with orders without an answer whose holder is lost
    When a large task becomes due beside workers whose orders got no answer, and the fleet has had <changes> changes of its holder, <lifetime> s apart, each with <gap> s without one
    Then the watch of the end reports 0 lost task

    Examples: Holders
      | changes | lifetime | gap |
      | 1       | 0.2      | 2   |
      | 1       | 0.2      | 3   |
      | 1       | 1        | 2.5 |
      | 2       | 1        | 1   |
