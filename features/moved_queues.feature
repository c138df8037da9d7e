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

  # Guards against 410 for accepted jobs, tasks that run twice, and a cancelled job that runs on, at
  # processes that did not see the move (rules LOST, TWICE and UNASKED, review case 2).
  Scenario Outline: A job is found by processes that have not seen its queue move
    Given two entry hosts and job 1 of a queue of the service booking
    When <history>
    Then each entry host answers GET of job 1 with 200
    And each entry host answers GET of job 2 with 410
    And each entry host answers GET of the queue with 1 waiting job
    And each entry host answers POST of job 1 with 200
    And each entry host answers DELETE of job 1 with 200
    And job 1 was accepted once and is cancelled

    Examples:
      | history                                                                         |
      | the queue moves to office, and the hosts are restarted in turn                  |
      | the queue moves to office, and all hosts are killed at once                     |
      | the queue is removed, added at office, and the hosts are restarted in turn      |
      | the queue moves to office, then to depot, and the hosts are restarted in turn   |
      | the queue moves to office and back, and the hosts are restarted in turn         |
      | the queue moves to office under another name, and all hosts are killed at once  |
      | the queue moves to office and booking leaves, and all hosts are killed at once  |
      | the queue moves twice while all hosts are down                                  |
      | the queue moves twice while the store forgets its history                       |
      | the queue moves to office, and hosts restart two by two for 20 s                |

  # Guards against a version that one process applied and another one never saw.
  Scenario Outline: A job that was accepted under a version that another process never saw is found
    Given two entry hosts and job 1 of a queue of the service booking
    When the second host is down while job 2 is accepted at office, and starts after the move back
    Then the second host answers <call> with <status>
    And job 2 was accepted once

    Examples:
      | call            | status |
      | GET of job 2    | 200    |
      | DELETE of job 2 | 200    |
      | POST of job 2   | 200    |

  Scenario: A submission is not accepted before other processes could find it
    Given two entry hosts and job 1 of a queue of the service booking
    When the store is down for the layout as a new queue of office gets POST of job 2
    Then the answer is 503
    And job 2 was not accepted
    When the store is back and the caller sends POST of job 2
    Then the answer is 200

  Scenario: While the store is down, a job that nobody asked for is not said to be unknown
    Given two entry hosts and job 1 of a queue of the service booking
    When the store is down and the caller sends GET of job 2
    Then the answer is 503

  Scenario: The record of the configuration is deleted
    Given two entry hosts and job 1 of a queue of the service booking
    When the queue moves to office, the record of the configuration is deleted, and the first host is restarted
    Then the first host answers GET of job 1 with 503
    And the second host answers GET of job 1 with 200
    When the configuration is published again
    Then each entry host answers GET of job 1 with 200

  Scenario: Routes of jobs that hosts of an earlier version accepted are recorded by the first later host
    Given two entry hosts and job 1 of a queue of the service booking
    And the layout as hosts of an earlier version wrote it
    When the hosts are restarted in turn, the queue moves to office, and all hosts are killed at once
    Then each entry host answers GET of job 1 with 200

  Scenario: A route that is too long to be recorded costs that queue alone
    Given two entry hosts and job 1 of a queue of the service booking
    When a configuration adds a queue with a prefix of 20000 characters and one of 20 characters
    Then a POST to the longer one gets 503, and one to the shorter one gets 200
