Feature: Processes that read the same log agree

  Scenario: Of two configurations based on the same version, the first one wins
    # Guards against an accepted configuration that reverts or replaces an unseen change.
    Given a stream with the members umea-1, umea-2
    When umea-1 publishes a configuration based on version 0
    Then the record is accepted
    When umea-2 publishes a configuration based on version 0
    Then the record is rejected
    And version 1 is in force
    And a second process that folds the same records has the same digest

  Scenario: An append that was repeated after a lost answer has no second effect
    # Guards against a repeated append that takes effect twice.
    Given a stream with the members umea-1, umea-2
    When umea-1 publishes a configuration based on version 0
    And the last record is appended once more
    Then the record is rejected
    And version 1 is in force

  Scenario: A holder that lost its claim cannot renew it
    # Guards against two holders of one claim after a pause.
    Given a stream with the members umea-1, umea-2
    When umea-1 takes the claim fleet
    And umea-2 takes the claim fleet
    And umea-1 renews the claim fleet under its own fence
    Then the record is rejected
    And umea-2 holds the claim fleet
