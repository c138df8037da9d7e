Feature: One holder orders machines at a time

  Scenario: A new holder leaves alone what its predecessor ordered lately
    # Guards against two successive holders that order the same machine within its lease and so undo
    # each other's orders.
    Given a holder of the fleet that has ordered machine m1
    When another holder takes over at once
    Then it may order m2 but not m1
    And after 4 s it may order m1

  Scenario Outline: The wait of a new holder does not follow the time of day
    # Guards against a wait between two holders that a jump of the time of day cuts short, or
    # stretches by the length of the jump.
    Given a holder of the fleet that has ordered machine m1
    When its time of day jumps by <jump> s and another holder takes over
    Then it may order m2 but not m1
    And after 4 s it may order m1

    Examples:
      | jump |
      | 9    |
      | -9   |
      | 3600 |

  Scenario: A new holder leaves a machine alone while an unanswered order may still be executed
    # Where the machines service checks no fencing token, it would execute the former holder's order
    # after one of the new holder (rule ONE), on a machine that has tasks again (rule AVAIL).
    Given a holder of the fleet whose order for machine m1 got no response
    When another holder takes over at once
    Then m1 counts as one that an order may still end
    And after 11 s it may not order m1
    And after 3 s it may order m1

  Scenario: A repeated order that is answered does not settle the one before
    Given a holder of the fleet whose order for machine m1 got no response
    When it repeats the order for m1 and gets a response
    And another holder takes over at once
    Then m1 counts as one that an order may still end
    And after 11 s it may not order m1

  Scenario: A machine that was ordered some time ago is free at once
    Given a holder of the fleet that has ordered machine m1 5 s ago
    When another holder takes over at once
    Then it may order m1

  Scenario: A holder whose permission ends before its order is sent does not send it
    Given a holder of the fleet that has ordered machine m1
    When its membership ends while the order for m2 waits for a connection
    Then no order for m2 was sent

  Scenario: A holder that was replaced without noticing rejoins the group
    # Guards against a fleet that nobody manages: the process that lost the ledger to another
    # holder, and was assigned the partition again, kept it without being able to order anything.
    Given a holder of the fleet that has ordered machine m1
    When another holder takes over and writes to the ledger
    Then the former holder has to rejoin the group once it has tried to order m2

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

  Scenario: An order that waited while the fleet was elsewhere is not sent
    # Where the machines service checks no fencing token, a lower token would follow a higher one
    # (rule ONE): the process may order again, but not under the token of that order.
    Given a holder of the fleet whose orders wait for a connection
    When it loses the fleet to a holder that orders m1, and gets it back while its order for m1 waits
    Then only the other holder has ordered m1

  Scenario: An unexpected error while a machine is ordered counts as a missing response
    # Guards against an order that may have been sent and leaves no trace: the machine would be
    # ordered again, and given tasks, while the first order may still be executed.
    Given a holder of the fleet whose orders wait for a connection
    When its order for m1 ends in an unexpected error
    Then the holder counts m1 as one that an order may still end

  Scenario: A later holder does not take back that a wave is completed
    # Guards against a wave that is shown as running again after it was completed.
    Given a wave of machines m-1 m-2 with upkeep begun on m-1 m-2
    Then the wave was not shown as running
    And the wave is completed

  # Guards against a record that grows with its wave until the store refuses it.
  Scenario: The record of one more machine of a wave does not grow with the wave
    Given a wave of 1000 machines
    When the upkeep of all of them begins
    Then no record has more than 64 machines
    And the next holder knows that all of them have begun
