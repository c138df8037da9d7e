Feature: Spare hosts are lent for a lasting shortage, with few moves

  Scenario: Demand in turns moves nothing
    # Guards against hosts that move with every burst of demand.
    Given pools booking, quotes and the spare pool office of 8 hosts each
    When bursts of 4 s in every 20 s reach each pool for 3600 s
    Then there were 0 moves

  Scenario: A lasting shortage is met within a minute, a few hosts at once
    # Guards against a shortage that is never met, and against all spare hosts leaving at once.
    Given pools booking, quotes and the spare pool office of 8 hosts each
    When 100 requests wait in booking for 45 s
    Then 2 hosts were lent to booking, in at most 45 s and each once
    And no more than 2 moves were in progress at once

  Scenario: The spare pool keeps its least number of serving hosts
    # Guards against a spare pool that is lent out below min_serving.
    Given pools booking, quotes and the spare pool office of 3 hosts each
    When 100 requests wait in booking for 600 s
    Then the pool office has 2 hosts

  Scenario: The spare pool keeps what its own demand takes
    # Guards against lending that causes a shortage in the spare pool itself.
    Given pools booking, quotes and the spare pool office of 8 hosts each
    When 30 requests run in office for 120 s
    And 100 requests wait in booking while 30 run in office, during 300 s
    Then the pool office has 6 hosts

  Scenario Outline: A budget that is used up keeps hosts in their pool
    # Guards against a move that, with the hosts already out of service, exceeds the availability
    # budget.
    Given pools booking, quotes and the spare pool office of 8 hosts each
    And a budget of 2 of which <out> hosts of office are failed
    When 100 requests wait in booking for 45 s
    Then <lent> hosts were lent to booking, in at most 45 s and each once

    Examples:
      | out | lent |
      | 1   | 1    |
      | 2   | 0    |

  Scenario: A host that the platform drains is neither lent nor counted as serving
    # Guards against moving a host that is being drained, and against leaving too few serving hosts
    # because it was counted.
    Given pools booking, quotes and the spare pool office of 4 hosts each
    And office-0 is leaving according to the host list
    When 100 requests wait in booking for 45 s
    Then 1 hosts were lent to booking, in at most 45 s and each once

  Scenario: A lent host stays a minimum time, and then comes back when it is not needed
    # Guards against a host that is returned in the first pause of demand, or never returned.
    Given pools booking, quotes and the spare pool office of 8 hosts each
    When 100 requests wait in booking for 45 s
    And there is no demand for 1700 s
    Then there were 2 moves
    When there is no demand for 300 s
    Then the pool office has 8 hosts

  Scenario: A host that is still needed stays
    # Guards against moves back and forth while the demand lasts.
    Given pools booking, quotes and the spare pool office of 8 hosts each
    When 100 requests wait in booking for 45 s
    And 40 requests run in booking for 7200 s
    Then there were 2 moves

  Scenario: Weights decide whether a small wait is worth a host
    # Guards against weights that have no effect on the decision.
    Given pools booking, quotes and the spare pool office of 8 hosts each
    And a weight of 100 for buffer
    When 1 requests wait in booking for 60 s
    Then there were 0 moves

  Scenario: A pause of the controller is no shortage
    # Guards against counting one sample for the whole time that the process was paused.
    Given pools booking, quotes and the spare pool office of 8 hosts each
    When 100 requests wait in booking in two samples that are 600 s apart
    Then there were 0 moves

  Scenario: The demand at all entry hosts decides, and the move survives its controller
    # Guards against a holder that counts only the demand at its own entry host, and against a lent
    # host that a later holder does not return.
    Given three entry hosts with two spare hosts
    When requests of booking are refused for 40 s at an entry host without the claim fleet
    Then one spare host serves booking, and the dump of the holder shows the reason shortage
    When the holder of the claim fleet crashes and 2000 s pass
    Then both spare hosts serve office again
