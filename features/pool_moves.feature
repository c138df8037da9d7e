Feature: Moves of machines between pools keep no task waiting

  Scenario: Workers with held-up moves are used again once their pool needs them
    # Guards against tasks that are due while the workers with room stay cordoned for moves: a move
    # that had been chosen was never given up.
    Given a pool of 8 machines without demand, whose owner confirms no cordon
    When the fleet is managed for 3 s
    Then some of its workers are cordoned
    When the pool gets work for all its machines and the fleet is managed for 0.4 s
    Then none of its workers is cordoned
    And no move is pending

  Scenario: A cordon ends although the first call to end it is lost
    # Guards against a worker with room that stays cordoned for 6 s because of one lost call.
    Given a pool of 8 machines without demand, whose owner confirms no cordon
    When the fleet is managed for 3 s
    And the next 9 calls to end a cordon are lost
    And the pool gets work for all its machines and the fleet is managed for 0.8 s
    Then none of its workers is cordoned

  Scenario: Moves that are held up do not empty their pool
    # Guards against two more cordoned workers at each look, until none is left.
    Given a pool of 12 machines with demand for 5, whose owner confirms no cordon
    When the fleet is managed for 4 s
    Then at least 5 of its workers are not cordoned

  Scenario: The move of a machine whose worker cannot be cordoned is given up
    # Guards against a pool that waits for a machine which does not come.
    Given a pool of 8 machines without demand, whose owner confirms no cordon
    When the fleet is managed for 3 s
    And the owner does not reach the workers and the fleet is managed for 0.4 s
    Then no move is pending

  Scenario: A move is not ordered once its cordon may have expired
    # Guards against a move that ends tasks: its order waited for the store while the cordon, which
    # nobody renewed meanwhile, ended after 6 s, and the worker got tasks.
    Given a pool of 8 machines without demand, whose orders wait for 7 s before they are sent
    When the fleet is managed for 3 s
    Then no machine has moved

  Scenario: A machine that may not be ordered yet is not cordoned for a move
    # Guards against a worker that stays cordoned for the 3.2 s in which a new holder leaves a machine
    # alone that its predecessor ordered.
    Given a pool of 8 machines without demand, whose machines the former holder has just ordered
    When the fleet is managed for 2.5 s
    Then none of its workers is cordoned
    When the fleet is managed for 2 s
    Then 2 machines or more have moved

  Scenario: A worker is used again once an unanswered order to its machine cannot be carried out
    # Guards against workers with room that stay cordoned for up to 27 s: the cordon was renewed for 14 s
    # as long as the order might be carried out, which is for 13 s, and nobody ended it.
    Given a pool of 8 machines with demand for all, whose former holder got no answer to its orders
    When the fleet is managed for 12 s
    Then all of its workers are cordoned
    When the fleet is managed for 2.5 s
    Then none of its workers is cordoned

  Scenario: Holders that follow each other do not prolong the wait for an unanswered order
    # Guards against workers with room that stay cordoned for 21 s and more: each holder waited the 13 s
    # for the orders of its predecessors anew.
    Given a pool of 8 machines with demand for all, whose former holder got no answer to its orders
    When the fleet is managed for 5 s
    And the next holder takes over and the fleet is managed for 5 s
    Then all of its workers are cordoned
    When the next holder takes over and the fleet is managed for 6 s
    Then none of its workers is cordoned

  Scenario: A machine whose move is refused takes tasks again and is not ordered at once again
    # Guards against a worker that stays cordoned for 6 s after a refused order, and against an order
    # every 150 ms, each of which costs a call and two records.
    Given a pool of 8 machines without demand, whose moves are refused
    When the fleet is managed for 3 s
    Then none of its workers is cordoned
    And no machine has been ordered twice, but some once

  Scenario: A machine on standby that refuses to move keeps no other one from coming
    # Guards against tasks that wait for a worker while the same machine, which leaves, is ordered every
    # 150 ms and refuses each time.
    Given a pool of 2 machines with demand for 4, and 4 on standby of which the last one refuses to move
    When the fleet is managed for 1 s
    Then the pool has 4 machines
    And the one that refuses has been ordered at most 2 times

  Scenario: A pool that gets no machine is reported
    # Guards against tasks that wait for a worker which nobody provides, without a line that says so.
    Given a pool of 2 machines with demand for 5, and none on standby
    When the fleet is managed for 5 s
    Then the log tells twice that the pool lacks 3 machines and none comes
    And the metrics show that the pool lacks 3 machines
