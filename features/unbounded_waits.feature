Feature: A short task of half a worker is at work within the limit wherever there is room
  The limit is that of the rule LOST: 3 s, of which precautions may take 2 s.

  # Guards against room that claims keep from short tasks for as long as the claimants are at work
  # elsewhere and may not be stopped yet (incident 023, hypothesis 1).
  Scenario Outline: Room that is claimed for tasks which are still at work is used
    When a short task of half a worker that takes <seconds> s is submitted while long-running tasks leave four of 8 workers in turn
    Then the short job is at work within 3 s
    And no rule is broken, and each long-running task is at work in the end

    Examples: duration of the short task
      | seconds |
      | 1       |
      | 30      |
