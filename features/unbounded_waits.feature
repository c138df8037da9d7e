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

  # Guards against 2 s of isolation that begin anew after a refused placement. The lease (4.4 s) and the
  # isolation of one crash (2 s) are left, and 0.6 s for a plan and an order.
  Scenario: Lease, isolation and refused placements have one limit together
    When the worker of a short job of half a worker is gone for good, and the others refuse each start for 6 s
    Then the short job is at work again within 7 s

  # Guards against 2 s of isolation after a takeover, where only the former owner knew of the wait: 1.7 s to
  # the next owner, and 9.4 s until the leases of the former one are over.
  Scenario: A job that had run before a takeover counts as having waited once its leases are over
    When the worker of a short job of half a worker and its owner are lost at once
    Then the short job is at work again within 12 s

  # Guards against a wait that begins anew with each placement, although each one is refused.
  Scenario: Refused placements do not begin the wait anew
    When a short job is submitted while one worker refuses each start and the others are suspected
    Then the short job is at work again within 3 s
