Feature: What a list lacks is not taken to be gone
  The pages of a list of machines are not a snapshot, and an item may be unreadable. What follows from
  the absence of a machine waits until several whole lists lack it.

  # Guards against a wave that is said to be completed while a machine of it waits (rule MIXED).
  Scenario: One list lacks a machine of a wave
    Given a wave of machines m-1 m-2 m-3 with upkeep begun on m-1 m-2
    When the machines service lists m-1 m-2
    Then the wave is not completed
    When the machines service lists m-1 m-2 m-3 after 3 s
    Then the wave is not completed

  Scenario: A machine of a wave has left
    Given a wave of machines m-1 m-2 m-3 with upkeep begun on m-1 m-2
    When the machines service lists m-1 m-2
    And the machines service lists m-1 m-2 after 3 s
    Then the wave is completed

  Scenario: An item of a list does not name its machine
    Given a wave of machines m-1 m-2 m-3 with upkeep begun on m-1 m-2
    When the machines service lists m-1 m-2 and an item without a name
    And the machines service lists m-1 m-2 and an item without a name after 3 s
    Then the wave is not completed

  Scenario: The list does not end
    Given a wave of machines m-1 m-2 m-3 with upkeep begun on m-1 m-2
    When the machines service lists m-1 m-2 on pages without end
    Then the list was not used
    And the wave is not completed

  # Guards against upkeep beyond the cap of its wave (rule LIMIT).
  Scenario: A machine in upkeep that a list lacks counts as down
    Given a wave of machines m-1 m-2 with cap 1, and m-1 in upkeep
    When the machines service lists m-2
    Then no machine is chosen for upkeep

  # Guards against an owner that continues without the records of the remaining pages.
  Scenario Outline: Pages of newest records that break off are not taken for all records
    Given pages of newest records of which <page>
    Then reading them fails

    Examples:
      | page                                              |
      | the second one is empty and says that more follow |
      | the second one repeats the first                  |
