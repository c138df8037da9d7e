Feature: Promises hold whatever the order of faults

  Scenario: Entry hosts are killed, paused and cut off while operators and callers go on
    # Guards against a key that runs twice, two holders of a claim, a host in two pools, a version
    # that reverts, states that differ, and operations left unfinished after all faults have ended.
    When 12 random interleavings of three entry hosts run with seed 7
    Then every promise held after every step
