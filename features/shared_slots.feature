Feature: Entry hosts share the slots of a target without using one twice

  Scenario: No slot is held by two processes, whatever the network and the processes do
    # Guards against more work than a target has slots, caused by late, lost or repeated messages,
    # pauses, restarts and views that processes apply at different times.
    Given ledgers that take slots over only after every peer has answered
    Then no slot is held twice in any of 60 generated scenarios of 30 s

  Scenario: All slots are in service again after faults have ended
    # Guards against slots that stay lent, pending or recalled permanently.
    Given ledgers that take slots over only after every peer has answered
    Then every slot is free 15 s after the end of the faults in each of 10 generated scenarios

  Scenario: A process with waiting work borrows idle slots and gives them back
    # Guards against slots that are idle at one entry host while work waits at another.
    Given the processes a, b, c without faults
    When a has demand for 8 slots of w1 during 4 s
    Then a may use 8 slots of w1
    When a has no more demand during 4 s
    Then every process has its own slots of w1 again

  Scenario: The slots of a borrower that fell silent are used again after the loan has lapsed
    # Guards against slots that stay unusable after their borrower has failed.
    Given the processes a, b, c without faults
    When a has demand for 8 slots of w1 during 4 s
    And a stops responding for 3 s
    Then b and c may use all their own slots of w1

  Scenario: A new owner waits for one loan lifetime, and no longer than the limit for a silent peer
    # Guards against more work than slots while requests of a former owner may still run, and
    # against a partitioned peer that prevents a new process from serving.
    Given the processes a, b, c without faults
    When a is replaced while b does not respond
    Then the new a may use no slot of w1 within 2 s
    And the new a may use its own slots of w1 after 9 s more

  Scenario: A new owner waits again when a silent peer is replaced
    # Guards against more work than slots while requests of the replaced process may still run.
    Given the processes a, b, c without faults
    When a is replaced while b does not respond
    And b is replaced 1.5 s later
    Then the new a may use no slot of w1 within 1.5 s
    And the new a may use its own slots of w1 after 1 s more

  Scenario: A message meant for an earlier process of a member has no effect on its successor
    # Guards against a late return message that frees a slot which the successor has lent.
    Given the processes a, b, c without faults
    When a borrows all slots of b before and after a restart of b
    And the returns of the loans of the first process of b arrive at the second
    Then the second process of b holds none of the slots that it lent

  Scenario: A former owner gives its word only after its loans have ended
    # Guards against a borrower and a new owner that use the same slot at once.
    Given the processes a, b, c without faults
    When a has demand for 8 slots of w1 during 4 s
    And e joins and asks the former owners of its slots of w1
    Then each of them that lent such a slot answers only after the loan has expired
