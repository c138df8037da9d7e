@process
Feature: Operators see what a change does, and know afterwards whether it took effect

  Scenario: A document with several faults gives one report
    # Guards against a check that reports one fault at a time, and against an unresolved reference
    # that another fault hides.
    Given a document with the faults short_share 7, member bogus, pool nowhere
    When an operator runs config check on it
    Then the command ends with status 2
    And the JSON findings are at /bogus, /pools/booking/short_share, /services/x/pool
    And each finding has the value found and the values accepted

  Scenario: No entry host can be reached
    # Guards against a connection failure that is reported like a refusal.
    When an operator runs status at an address where nothing listens
    Then the command ends with status 3

  Scenario: Of two operators who race, the second sees what changed and loses nothing
    # Guards against a publication that overwrites a change its author had not read, and against a
    # lost document.
    Given a deployment of umea-1 and umea-2
    And documents first with max_waiting 77 and second with max_waiting 88
    When kim publishes first at umea-1 based on version 1
    Then the command ends with status 0
    When bo publishes second at umea-2 based on version 1
    Then the command ends with status 1
    And the error names version 2 by kim and the change /pools/booking/max_waiting: 256 -> 77
    And the document second is unchanged
    And umea-1 has version 2 in force

  Scenario: Operators who publish at the same moment do not both succeed
    # Guards against two versions with the same base when neither command sees the other's version.
    Given a deployment of umea-1 and umea-2
    And documents first with max_waiting 77 and second with max_waiting 88
    When kim at umea-1 and bo at umea-2 publish at once based on version 1
    Then one command ended with status 0 and the other with status 1
    And umea-1 has version 2 in force

  Scenario: An entry host that is cut off from the log says so, and refuses with that reason
    # Guards against stale state shown as current, and against a change whose outcome is not
    # reported.
    Given a deployment of umea-1 and umea-2
    And documents first with max_waiting 77 and second with max_waiting 88
    And umea-1 is cut off from the log
    When an operator runs config history at umea-1
    Then the command ends with status 0
    And the JSON entry host is umea-1 and cut off
    And the errors say that umea-1 is cut off from the log
    When kim publishes first at umea-1 based on version 1
    Then the command ends with status 1 or 4, depending on whether it was withdrawn or sent
    When umea-1 reaches the log again
    And bo publishes second at umea-2 based on version 1
    Then second is in force if first was refused, and exactly one of them is

  Scenario: A paused entry host is passed over for the next one
    # Guards against a command that hangs on a process that accepts connections and never answers.
    Given a deployment of umea-1 and umea-2
    And umea-1 is paused
    When an operator runs status at umea-1, then umea-2
    Then the command ends with status 0
    And the JSON entry host is umea-2 and not cut off

  Scenario: A drain beyond the availability budget is refused before it starts
    # Guards against an operator who exceeds the budget of a service without a warning.
    Given a deployment of umea-1 and umea-2
    When an operator runs hosts drain umea-w1 --wait at umea-1
    Then the command ends with status 0
    When an operator runs hosts drain umea-w2 --dry-run at umea-1
    Then the command ends with status 0
    And the JSON budget of booking has 2 of 1 used and is exceeded
    When an operator runs hosts drain umea-w2 at umea-1
    Then the command ends with status 1
    And the error names the value given, the values accepted and the next step
    And host umea-w2 is not draining

  Scenario: An interrupted wait does not interrupt the move
    # Guards against a move that stops with the command, and against an interrupted command that
    # reports success.
    Given a deployment of umea-1 and umea-2
    And umea-2 is paused
    When an operator starts hosts move umea-w1 --pool office --wait at umea-1
    And the operator interrupts it while it waits for umea-2
    Then the command ends with status 4
    When umea-2 continues
    Then host umea-w1 joins pool office
