Feature: Cordons of workers end when their holder says

  Scenario: Owners that follow each other do not prolong a cordon
    # Guards against a worker with room that is not used, although its cordon has ended: each owner
    # applied the recorded lifetime anew from its takeover.
    When a worker is cordoned for 14 s and 3 owners follow each other after 4 s each
    Then it is used again 14 s after it was cordoned at the earliest, and 18 s after that at the latest

  Scenario: A cordon that is renewed outlives an owner by its whole lifetime
    # Guards against tasks that start on a machine which an order is about to end.
    When a worker is cordoned for 6 s each 0.5 s and the owner is killed after 8 s
    Then it is used again 6 s after the last renewal at the earliest

  Scenario: A cordon is not confirmed before it is durable
    # Guards against an order that ends tasks: the owner answered a second request at once, while the
    # record of the first one was still being written, and the next owner knew of no cordon.
    When a worker is cordoned for 6 s, again after 0.5 s, and an append takes 2 s
    Then the owner confirms the second request after 2 s at the earliest
