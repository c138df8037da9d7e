Feature: An entry host survives a failing recovery from a snapshot

  Scenario Outline: The recovery meets <error>
    # Guards against a transient error during recovery that terminates the whole process.
    Given a reader whose next offset was removed by retention
    When its recovery encounters <error>
    Then it continues to read the stream

    Examples:
      | error                         |
      | an outage of the log          |
      | retention that moves on       |
      | a stream without any snapshot |
