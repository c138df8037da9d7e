@process
Feature: Racing operators stay within the availability budget

  Scenario: Two drains at the same moment in two data centres
    # Guards against two operators who both receive the answer that the budget allows one more host.
    Given a running deployment of two data centres
    When umea-w1 is drained through umea-1 and lulea-w1 through lulea-1 at the same moment
    And the pools service has completed every accepted drain
    Then at most 1 host of booking was out of service at once

  Scenario: Two drains at the same moment in one data centre
    # Guards against the same race when both records are appended to one stream.
    Given a running deployment of two data centres
    When umea-w1 is drained through umea-1 and umea-w2 through umea-2 at the same moment
    And the pools service has completed every accepted drain
    Then at most 1 host of booking was out of service at once
