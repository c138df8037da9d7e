Feature: Short work does not wait behind long work, and long work keeps its share

  Scenario: A short request finds a slot although long work waits
    # Guards against short work that waits because long work occupies every slot.
    Given a queue for 8 slots with half of them reserved for short work
    When 8 short requests have run before
    And 20 long requests wait and all permitted ones start
    Then 4 long requests are running
    When a short request waits
    Then the short request starts next

  Scenario: An idle share is lent to long work
    # Guards against slots that are reserved, and stay empty, although no short work has arrived.
    Given a queue for 8 slots with half of them reserved for short work
    When 20 long requests wait and all permitted ones start
    Then 7 long requests are running

  Scenario: Long work gets its share while short work fills the queue
    # Guards against starvation of long work.
    Given a queue for 8 slots with half of them reserved for short work
    When 20 short and 20 long requests wait and all permitted ones start
    Then 4 short and 4 long requests are running

  Scenario: A short request that outlives its prediction is charged as long
    # Guards against stragglers and wrong predictions that use up the reserve for short work.
    Given a queue for 8 slots with half of them reserved for short work
    When 4 short requests run for 1 s
    And 20 short and 20 long requests wait and all permitted ones start
    Then 4 short requests started and no long one

  Scenario: One slot is shared in time
    # Guards against the starvation of either class where slots cannot be split.
    Given a queue for 1 slot with half of it reserved for short work
    Then over 40 starts with short and long work waiting, both classes get half the time

  Scenario: A team keeps to its share while another team waits
    # Guards against one team that uses the whole pool, and against slots left idle to limit a team
    # while no other team waits.
    Given a queue for 8 slots where the team crews has a share of 0.25
    When 8 requests of crews and 1 request of web wait and all permitted ones start
    Then 8 requests started, with web after the first 2 of crews

  Scenario: A request past its deadline is not started
    # Guards against running requests whose callers have already timed out.
    Given a queue for 8 slots with half of them reserved for short work
    When a request with 1 s left has waited for 2 s
    Then it is expired and not started
