Feature: Waits and cordons that a review of issue 69 found open

  Scenario: Renewals of a cordon do not write a record each
    # Guards against an append to the store, and a wait for it, at each renewal of each cordon: a
    # clock that advances between two readings makes the recorded lifetime shorter than the asked one.
    When a cordon of 6 s is renewed each 0.15 s for 3 s by a clock that advances with each reading
    Then at most 4 records are written for it

  Scenario: Owners that follow each other within a second do not prolong a cordon
    # Guards against a worker with room that is not used: an owner records no progress in its first
    # second, so each owner applies the whole lifetime anew.
    When a worker is cordoned for 14 s and 20 owners follow each other after 0.9 s each
    Then it is used again 14 s after it was cordoned at the earliest, and 18 s after that at the latest

  Scenario: A cordon whose record the store refuses is not confirmed
    # Guards against an order that ends tasks: the next owner knows of no cordon.
    When a worker is cordoned for 6 s and the store refuses the record
    Then the owner does not confirm the cordon

  Scenario: The time between two occurrences is no wait of a workflow
    # Guards against a suspected scheduled job that starts beside others without isolation, and
    # against any scheduled job that starts on a reserved worker at once.
    When a workflow has been at work, and its next turn comes 60 s later
    Then it has not waited for too long when its first precaution begins

  Scenario: A pool of workers of two sizes does not gather machines that cannot hold its task
    # Guards against a pool that takes machine after machine: the task fits the mean size of its
    # workers, but none of the machines that come.
    Given a pool of 4 workers of 32 cores, each with 14 cores beside long-running runs
    When a task of 18 cores waits, and each machine that comes has 16 cores
    Then at most 1 machine has come

  Scenario: Machines whose workers the owner cannot reach do not add up
    # Guards against a pool that takes machine after machine while its owner is cut off from those
    # that come: their workers are listed, so they no longer count as coming, and hold no task.
    Given a pool that lacks 1 machine for large tasks, and a machine that has come
    When its worker is listed, and has never answered the owner
    Then no further machine moves into the pool

  Scenario: Holders that follow each other do not prolong the wait for an answered order
    # Guards against a machine that no holder may order although its last order was answered long ago:
    # each holder waits the whole lease of the machine anew, and records nothing of it.
    When an order to a machine is answered, and 10 holders follow each other after 2 s each
    Then the last holder may order the machine

  Scenario: A holder that has ordered a machine itself passes on the whole lease of that order
    # Guards against two holders that order one machine within its lease: what was left of the wait for
    # a predecessor was recorded over the answer to the holder's own order.
    When a holder orders a machine after the wait for its predecessor, and is followed by another one 1.5 s later
    Then the last holder may not order the machine

  Scenario: A step without room does not keep another step of its job from claimed room
    # Guards against a task that waits beside claimed room for as long as the claimants move, because
    # another step of its job, for which no worker has room, begins the measured wait anew.
    When a short task of half a worker waits beside claims, with a parallel step that has no room
    Then its job is at work after 3 s at the latest
