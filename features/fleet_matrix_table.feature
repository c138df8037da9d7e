Feature: The fleet's matrix covers its table, and its judge notices broken promises

  Scenario: Every cell of the fleet's table has a scenario or a reason
    # Guards against a cell that is silently dropped from the feature file.
    Then every cell of the fleet's table has a scenario or a reason why it cannot occur
    And every possible pair of a step and two faults is covered

  Scenario Outline: A cell with <fault> is noticed
    # Guards against checks that pass whatever the records of a cell contain.
    Given the records of a sound cell of the fleet
    Then the fleet's judge finds nothing
    When the cell of the fleet has <fault>
    Then the fleet's judge reports the promise <promise>

    Examples:
      | fault                               | promise  |
      | a request on a host of another pool | pools    |
      | a request during a move             | pools    |
      | a host in two streams               | pools    |
      | three hosts out at once             | budget   |
      | a version that decreases            | revert   |
      | a version that reaches one host     | roll-out |
      | a job that started twice            | jobs     |
      | a job that never ended              | jobs     |
      | a rejected job that ran             | jobs     |
      | a success that nobody ran           | jobs     |
      | a cancelled job that still runs     | jobs     |
      | an operation of a lapsed holder     | fence    |
      | a second reboot                     | once     |
      | a task cut off by a reboot          | reboot   |
      | two winners of a race               | step     |
