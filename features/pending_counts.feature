@process
Feature: Entry hosts count jobs that no worker has started

  Background:
    Given 2 entry hosts and 2 workers on the platform
    And tasks run for 0.3 s
    And a job that was completed

  Scenario Outline: Jobs are counted while <fault>
    # Guards against an order that counts as a start (review/14, rule MIXED).
    When 6 jobs are submitted while <fault>
    Then 5.2 s after that each entry host counts 6 pending jobs
    When the owner of the partition is killed
    Then each entry host counts 6 pending jobs within 5 s and for 2 s more
    When the workers start tasks again
    Then all these jobs are completed within 10 s
    And each entry host counts 0 pending jobs within 3 s and for 1 s more

    Examples: no worker starts a task
      | fault                                          |
      | the workers answer start orders with 503       |
      | the workers answer start orders with 429       |
      | the workers have no room                       |
      | the workers leave start orders unanswered      |

  Scenario: Jobs at work are not counted, through a takeover
    # Guards against started work that counts as pending after its owner has ended.
    Given tasks run for 30 s
    When 4 jobs are submitted while the workers start tasks
    Then each entry host counts 0 pending jobs within 3 s and for 1 s more
    When the owner of the partition is killed
    Then each entry host counts 0 pending jobs within 8 s and for 2 s more
