Feature: The logs explain a request afterwards

  Scenario Outline: The cause of a request's fate is found from its identifier
    # The log lines come from a replayed load; each has the prefix that the log collector adds.
    Given the logs of two entry hosts in which <event> happened to <identifier>
    When an operator runs explain on <identifier>
    Then the lines are ordered by time
    And they state <cause>
    And they state nothing about other requests

    Examples:
      | event                    | identifier       | cause                         |
      | a rejection              | 00000000000000a1 | the backlog exceeds the slack |
      | a late end               | 00000000000000a2 | lease expired                 |
      | a failure                | 00000000000000a3 | failed 2 times                |
      | a crash of its workers   | 00000000000000a4 | workers crashed under         |

  Scenario: An identifier that no line has
    Given the logs of two entry hosts in which a failure happened to 00000000000000a3
    When an operator runs explain on 00000000000000ff
    Then the command finds nothing and exits with status 1

  Scenario: A stream that blocks stalls nobody
    Given a log stream that is never read
    When 5000 lines are written
    Then writing them took less than 2 s
    And the lines that did not fit are counted
