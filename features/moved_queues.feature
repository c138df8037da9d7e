Feature: A queue that a configuration sends to another service keeps its jobs
  Jobs stay with the service of their submission, and so with the owner of its partition.

  Scenario Outline: A job is found after its queue has moved
    # Guards against 410 for an accepted job, which callers take for lost (rule LOST).
    Given an entry host and job 1 of a queue of the service booking
    When a configuration sends the queue to the service office, and the caller sends <call>
    Then the answer is <status>

    Examples:
      | call            | status |
      | GET of job 1    | 200    |
      | DELETE of job 1 | 200    |
      | GET of job 2    | 410    |
      | DELETE of job 2 | 410    |

  Scenario: A submission that is repeated after the move runs once
    Given an entry host and job 1 of a queue of the service booking
    When a configuration sends the queue to the service office, and the caller sends POST of job 1
    Then the answer is 200
    And the owner of the service office has no job

  Scenario: A job whose former owner can't be reached is not said to be unknown
    Given an entry host and job 1 of a queue of the service booking
    And the owner of the service booking can't be reached
    When a configuration sends the queue to the service office, and the caller sends GET of job 1
    Then the answer is 503

  Scenario: Waiting jobs are counted at both services
    Given an entry host and job 1 of a queue of the service booking
    When a configuration sends the queue to the service office, and the caller sends GET of the queue
    Then the answer is 200 with 1 waiting job

  Scenario: Long after the move, submissions no longer ask the former owner
    Given an entry host and job 1 of a queue of the service booking
    And the owner of the service booking can't be reached
    When a configuration sends the queue to the service office, and 31 s later the caller sends POST of job 2
    Then the answer is 200
