Feature: A pool has a machine for its large short tasks
  An owner, the holder of the fleet, workers and the machines that run them, in virtual time. The size of
  the pool follows from its long-running tasks, of which each worker may have one.

  # Guards against a short task that waits without a bound, since it fits on no worker that takes tasks
  # and adds nothing to the larger of two counts of machines (incident 023).
  Scenario Outline: A large short task is at work within 3 s of its turn
    Given a pool of <size> machines, and 8 on standby
    When a large short task is <what>
    Then nothing of its job stood still for over 3 s
    And the pool has at most 6 machines at the end
    And no order to a machine has ended a task
    And no owner broke a promise in the pool

    Examples:
      | size | what |
      | 6 | submitted while the worker to spare is cordoned |
      | 6 | submitted by memory while the worker to spare is cordoned |
      | 6 | the second step of a job that was accepted while the worker to spare is cordoned |
      | 6 | the last step of a job whose first steps take longer than a pool keeps idle machines |
      | 6 | submitted while the worker to spare runs, but has no entry |
      | 6 | submitted after the holder of the fleet has changed, with orders without an answer |

  # Guards against a pool that gets machines without end for a task that none of them can hold.
  Scenario: A task that no machine can hold asks for none
    Given a pool of 6 machines, and 8 on standby
    When a large short task is larger than the workers of the pool but for one that has grown
    Then its job was accepted
    And the pool never had more than 6 machines
