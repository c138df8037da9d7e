Feature: Displaced long-running tasks run again in time, whatever comes together on full workers

  Scenario: Workers leave, and owners change, while short tasks fill all workers
    # Guards against combinations that keep a displaced task from work (rule LOST), or start it
    # twice or beyond a worker's capacity: notices and cordons of several workers at once, departures
    # for good, cut and slow links, handovers, killed owners and series of takeovers, cancelled
    # jobs, gangs, labels and limits of steps, under short tasks of 0.3 to 12 s.
    # More examples: DISPLACED_TASK_EXAMPLES=500 DISPLACED_TASK_SEED=2 behave
    When 8 random interleavings of displaced tasks and owners run with seed 5
    Then each displaced task ran again in time and no owner broke a promise

  # Guards against claims on a worker that refuses the task: it seems to have room, so that no short
  # run is stopped elsewhere (incident 018).
  Scenario Outline: A worker that refuses every start does not keep room from being made elsewhere
    When a long-running job of <tasks> tasks starts while 3 workers are full of short tasks and one refuses each start with "<reason>"
    Then each of the <tasks> tasks runs within 6 s, in room that short runs have left

    Examples:
      | tasks | reason     |
      | 1     | full       |
      | 3     | full       |
      | 3     | status 429 |
