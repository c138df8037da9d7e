Feature: The logs explain a request afterwards

  Scenario Outline: The cause of a request's fate is found from its identifier
    # The lines are those of a replayed load, with the prefixes of the collector in front.
    Given the logs of two entry hosts in which <what> happened to <identifier>
    When an operator runs explain on <identifier>
    Then the lines are in the order of their time
    And they say <cause>
    And they say nothing of others

    Examples:
      | what                     | identifier       | cause                         |
      | a rejection              | 00000000000000a1 | the backlog exceeds the slack |
      | a late end               | 00000000000000a2 | lease expired                 |
      | a failure                | 00000000000000a3 | failed 2 times                |

  Scenario: An identifier that no line has
    Given the logs of two entry hosts in which a failure happened to 00000000000000a3
    When an operator runs explain on 00000000000000ff
    Then the command has found nothing and says so with status 1

  Scenario: A stream that blocks stalls nobody
    Given a log stream that nobody reads
    When 5000 lines are written
    Then writing them took less than 2 s
    And the lines that did not fit are counted
