Feature: One holder orders machines at a time

  Scenario: A new holder leaves alone what its predecessor ordered lately
    # Guards against two successive holders that order the same machine within its lease and so undo
    # each other's orders.
    Given a holder of the fleet that has ordered machine m1
    When another holder takes over at once
    Then it may order m2 but not m1
    And after 6 s it may order m1

  Scenario: A deposed holder can order nothing any more
    Given a holder of the fleet that has ordered machine m1
    When another holder takes over at once
    Then the former holder may order neither m1 nor m2

  Scenario: A holder whose membership is not current orders nothing
    Given a holder of the fleet that has ordered machine m1
    When its membership is not renewed in time
    Then the former holder may order neither m1 nor m2

  Scenario: Machines whose upkeep has begun are known to the next holder
    Given a holder of the fleet that has begun the upkeep of m1 in wave 3
    When another holder takes over at once
    Then it knows that the upkeep of m1 in wave 3 has begun
