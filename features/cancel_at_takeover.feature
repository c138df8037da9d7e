Feature: A cancelled long-running job stops whatever owner it meets

  Scenario: A job is cancelled around two takeovers within a second
    # Guards against a long-running task that runs on after its cancel was acknowledged (rule UNASKED
    # on days hunt-33d3-23 and hunt-e190-3 of snrc-atlas, not traced).
    When a long-running job is cancelled around two takeovers in 60 ways with seed 5
    Then no task of it runs 6 s after the acknowledgement

  Scenario: A job is cancelled while its workers are listed late, not at all, or answer slowly
    # Guards against cancelled tasks that nobody stops: their workers were forgotten by an owner that
    # read no other task there.
    When a long-running job is cancelled around two takeovers in 60 ways with seed 9, and workers are listed late, not at all, or answer slowly
    Then no task of it runs 6 s after the acknowledgement

  Scenario: A worker that is not listed and runs only tasks of ended jobs is asked after a takeover
    # Guards against cancelled tasks that run on until their lease is over, since the next owner
    # forgot the worker: it read no task that may be there.
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its job is cancelled, the worker leaves the list and the next owner takes over
    Then the owner has a link to it
    When the worker lists run 1
    Then a stop of run 1 was sent
    When the worker lists nothing more
    And the list of workers is read again
    Then the owner has no link to it

  Scenario: A worker that is not listed and does not answer is not asked for good
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its job is cancelled, the worker leaves the list and the next owner takes over
    And calls to the worker get no response for 10 s
    And the list of workers is read again
    Then the owner has no link to it

  # Guards against a run that goes on for good without a line that names it (UNASKED on day
  # hunt-33d3-23 of snrc-atlas: the logs did not show who renewed its worker, or why).

  Scenario: A run that goes on although it is stopped is reported now and then
    Given an owner whose worker of 16 cores lists run 1 of a cancelled job of 10 cores
    When the worker lists run 1 for 14 s more
    Then run 1 is reported 3 times as going on, with the state of its job "cancelled"

  Scenario: A run that goes on and whose job is not known is reported now and then
    Given an owner whose worker of 16 cores lists run 1 of an unknown job
    When the worker lists run 1 for 4 s more
    Then run 1 is reported 1 time as going on, with the state of its job "unknown"

  Scenario: A run that its owner takes for one of a live job is stopped once the job has ended
    Given an owner that has started run 1 of a job of 2 cores on a worker of 16 cores
    When its job ends without a stop order
    And the worker lists run 1
    Then a stop of run 1 was sent
