Feature: An entry host survives a failing recovery from a snapshot

  Scenario Outline: The recovery meets <error>
    # Guards against a transient error of the recovery that ends the whole process.
    Given a reader that retention has passed
    When its recovery meets <error>
    Then it goes on reading

    Examples:
      | error                         |
      | an outage of the log          |
      | retention that moves on       |
      | a stream without any snapshot |
