Feature: Short work does not wait behind long work, and long work keeps its share

  Scenario: A short request finds a slot although long work waits
    # Guards against short work behind long work that took every slot.
    Given a queue for 8 slots with half of them reserved for short work
    When 8 short requests have run before
    And 20 long requests wait and as many as may start do start
    Then 4 long requests are running
    When a short request waits
    Then the short request starts next

  Scenario: An idle share is lent to long work
    # Guards against slots that stay empty although no short work has been seen.
    Given a queue for 8 slots with half of them reserved for short work
    When 20 long requests wait and as many as may start do start
    Then 7 long requests are running

  Scenario: Long work gets its share while short work fills the queue
    # Guards against long work that starves.
    Given a queue for 8 slots with half of them reserved for short work
    When 20 short and 20 long requests wait and as many as may start do start
    Then 4 short and 4 long requests are running

  Scenario: A short request that outlives its prediction is charged as long
    # Guards against stragglers and wrong predictions that fill the reserve of short work.
    Given a queue for 8 slots with half of them reserved for short work
    When 4 short requests run for 1 s
    And 20 short and 20 long requests wait and as many as may start do start
    Then 4 short requests started and no long one

  Scenario: One slot is shared in time
    # Guards against the starvation of either class where slots cannot be split.
    Given a queue for 1 slot with half of it reserved for short work
    Then of 40 starts in turn with short and long work waiting both classes get half the time

  Scenario: A team keeps to its share while another team waits
    # Guards against one team that takes the whole pool, and against idle slots for its sake.
    Given a queue for 8 slots where the team crews has a share of 0.25
    When 8 requests of crews and 1 request of web wait and as many as may start do start
    Then 8 requests started, with web after the first 2 of crews

  Scenario: A request past its deadline is not started
    # Guards against work for callers that have given up.
    Given a queue for 8 slots with half of them reserved for short work
    When a request with 1 s left has waited for 2 s
    Then it is expired and not started
