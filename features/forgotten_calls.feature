Feature: Calls of a former time that a link, an owner or a fleet manager forgets

  # Guards against a task that waits 13 s for an order which has been answered: the answer of the
  # former start of a worker arrives once the next start is known, and nothing revokes the order.
  Scenario: An answer to a start order that arrives after the restart of its worker keeps no task waiting
    When a worker answers the start orders of a short job, restarts, and its answers arrive 0.95 s late
    Then no promise to the short job is broken

  # Guards against a task that runs twice: the next owner does not know the unanswered orders of the
  # former one, and does not notice in time that an idle worker has restarted.
  Scenario Outline: A late start order of a former owner reaches a restarted worker <gap> s after its start
    When a start order is 10 s late, its owner is followed by <change>, and its worker restarts <gap> s before it arrives
    Then no task has run twice

    Examples: the owner changes
      | change     | gap |
      | a takeover | 0.6 |
      | a handover | 0.6 |

  # Guards against a task that runs twice: a worker takes the lease time of a start order that it
  # refuses as old, so a forgotten order prolongs the leases of all that runs there.
  Scenario: A late start order that is refused prolongs the leases on its worker
    When a start order is 8 s late, its worker restarts after 3 s, gets other tasks and is cut off once the order has arrived
    Then no task has run twice

  # Guards against a crashing task that is not suspected since it was ordered by the former owner,
  # while a task of another job is.
  Scenario: A task that was ordered before a handover and crashes its worker is suspected
    When a task crashes its worker 1.5 s after its start, 1 s after a handover, beside a task of another job
    Then the loss of the worker is held against the crashing task

  # Guards against a machine that counts for another pool without end.
  Scenario: A move whose order got no answer is given up once its worker cannot be cordoned
    Given a pool of 8 machines without demand, whose move orders get no answer
    When the fleet is managed for 3 s
    And no order can be carried out any more, the owner does not reach the workers and the fleet is managed for 20 s
    Then no move is pending
