Feature: Maintenance goes through every host without exceeding a budget

  Scenario Outline: Failed, draining and moving hosts use the budget up together
    # Guards against a wave that starts while other hosts have already used up the budget.
    Given 2 racks of 4 hosts with a budget of 2
    And one host is <first> and one is <second>
    Then no wave is chosen now
    And the reason names the service booking

    Examples:
      | first  | second   |
      | failed | failed   |
      | failed | draining |
      | moving | draining |

  Scenario: A wave stays within one rack
    # Guards against a wave that takes hosts of two failure domains.
    Given racks of 4 hosts in 2 data centres with a budget of 8
    Then the chosen wave has 4 hosts of one rack and data centre

  Scenario: Every host is maintained once in the period
    # Guards against hosts that are forgotten or maintained again too early.
    Given 60 racks of 4 hosts with a budget of 4
    When waves of 2 hours are carried out for 49 days
    Then every host was maintained, and none twice within 36 days

  Scenario: The plan tells early which hosts will be late and why
    # Guards against late hosts that are reported only after their due date has passed.
    Given 60 racks of 4 hosts with a budget of 4
    When waves take 24 hours each
    Then the last 44 hosts are explained as late because the waves take too long

  Scenario: A budget of 0 is explained
    # Guards against hosts that are never maintained although no reason is reported.
    Given 1 racks of 4 hosts with a budget of 0
    Then no wave is chosen now
    And every host is explained as late because of the service booking

  Scenario: A data centre that does not report is left out
    # Guards against a data centre that is cut off and blocks maintenance in all others.
    Given racks of 4 hosts in 2 data centres with a budget of 1
    When the data centre umea stops reporting with 1 host out of service
    Then the chosen wave is in lulea

  Scenario Outline: The log refuses a second or unwanted wave
    # Guards against two waves at once, and waves while maintenance is paused or disabled.
    Given a global stream with reported hosts
    When <event>
    Then starting a wave of umea-w1 is rejected

    Examples:
      | event                         |
      | a wave of lulea-w1 has started  |
      | maintenance is paused         |
      | maintenance is disabled       |
      | a wave of umea-w2 has stalled   |

  Scenario Outline: The log refuses malformed waves
    # Guards against waves that span racks or data centres, and against waves of a holder that
    # lost its claim.
    Given a global stream with reported hosts
    Then a wave of <hosts> under <fence> is <result>

    Examples:
      | hosts                                       | fence       | result   |
      | umea-w1, umea-w2, umea-w3, umea-w4          | its fence   | accepted |
      | umea-w1, umea-w5                            | its fence   | rejected |
      | umea-w1, lulea-w1                           | its fence   | rejected |
      | umea-w1                                     | an old one  | rejected |

  Scenario: Hosts of a wave are finished by another holder, each once
    # Guards against a wave that never ends because its data centre does not hold maintenance.
    Given a global stream with reported hosts
    When a wave of umea-w1 and umea-w2 has started and the claim changes hands
    Then finishing umea-w1 under the fence of the wave is accepted once
    And the wave can be ended only when umea-w2 is finished or the wave has stalled

  Scenario: A drain that may not begin any more is put back
    # Guards against a drain that continues although other hosts failed while its record was being
    # appended.
    Given a data centre whose host w1 has started to drain for a wave
    Then the drain may continue
    When another host of the pool fails
    Then the drain may not continue
    When that host has recovered and the wave has ended
    Then the drain may not continue

  Scenario: A host that has joined counts as out of service until it serves
    # Guards against the next drain while the previous host is not serving yet.
    Given a data centre whose host w1 has started to drain for a wave
    When w1 has joined and is not confirmed yet
    Then w2 may not begin to drain
    When w1 is confirmed
    Then w2 may begin to drain

  @process
  Scenario: Waves through a whole deployment
    # Guards against budget violations, interrupted tasks and requests, and waves during a pause.
    Given a running deployment for maintenance with a job of 12 s that runs once
    When requests are sent until maintenance is paused after the first drain
    Then no further drain begins within 4 s
    When maintenance is resumed while 2 workers are paused for 12 s
    Then all hosts are maintained within 90 s, never more than 2 at once
    And the job has succeeded in one run, and no request was cut off

  Scenario: Operators in two data centres reserve what they take out of service
    # Guards against two operators who both receive the answer that the budget allows one more host.
    Given a global stream with reported hosts
    When umea-w1 and lulea-w1 are reserved by operators who saw no other reservation
    Then only umea-w1 is reserved
    And another reservation is accepted once the first is released or reported

  Scenario: A reservation counts against the budget until it is old
    # Guards against a reserved host that another data centre counts as serving, and against a
    # reservation that blocks its pool permanently because its entry host ended.
    Given a global stream with reported hosts
    When umea-w1 and lulea-w1 are reserved by operators who saw no other reservation
    Then umea-w1 counts as out of service for 60 seconds
