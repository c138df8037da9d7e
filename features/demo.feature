@process
Feature: The demonstration shows every promise on a whole deployment

  Scenario: The short demonstration holds every promise
    # Guards against a daemon that breaks a promise when all parts run as separate processes.
    When the short demonstration runs
    Then it ends with status 0 and its last line is one JSON object
    And 9 promises held, and none was broken
