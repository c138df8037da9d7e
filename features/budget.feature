Feature: Every service stays within its availability budget

  Scenario: An operator's drain beyond the budget is refused
    # Guards against a drain over HTTP that bypasses the check made by the operators' command.
    Given the operators' endpoints of an entry host with two hosts in the pool booking
    When w1 is drained
    Then the answer has the status 200
    When w2 is drained
    Then the answer has the status 409
    When w2 is drained beyond the budget
    Then the answer has the status 200
