Feature: A short task whose turn has come is at work soon, whatever was lost before

  # Guards against the wait for a start order that might still reach the next start of its worker:
  # 13 s with room free, as long as nobody told the worker to refuse the order (incident 019).
  Scenario Outline: A start order without an answer does not keep its task waiting once the worker is back
    When a job's tasks start together with one that crashes its worker at once, and the worker is back after <seconds> s
    Then each task of the job is at work or done within 3 s of its return

    Examples: time until the worker is back
      | seconds |
      | 0.8     |
      | 1.5     |
      | 3       |

  # Guards against every chain of waits that keeps a job from work although it is calm and the
  # workers have room (rule LOST): lost workers, links, owners and answers, a slow store, cordons,
  # refused and missing tickets, claims of long-running tasks.
  # More seeds: SHORT_TASK_PLAYS=1000 SHORT_TASK_SEED=5000
  Scenario: Seeded plays of short jobs under disturbances end calmly
    When 40 plays of short jobs from seed 1 on end with 20 s of calm
    Then no job had nothing at work for 3 s in calm with room, and all have ended

  # The same with gangs, wide and uneven steps, jumps of the time of day, resized, unlisted and failing
  # workers, entries that are not written, refused records and lost answers of the store.
  Scenario: Seeded plays of short jobs of further kinds end calmly
    When 20 plays of short jobs of further kinds from seed 1 on end with 20 s of calm
    Then no job had nothing at work for 3 s in calm with room, and all have ended
