Feature: Requests are admitted, retried and sent where they can be served

  Scenario: A request that cannot be served in time is refused at once, with a reason and a time
    # Guards against queueing requests that will miss their deadline, and against refusals without a
    # retry delay.
    Given an entry host with 8 slots, all in use, and room for 100 requests
    When requests with 5 s left and a run time of 1 s arrive until one is refused
    Then the reason is deadline and the retry delay is positive
    And the admitted requests can all end within 5 s on 8 slots

  Scenario: A full queue refuses
    # Guards against an unbounded queue.
    Given an entry host with 8 slots, all in use, and room for 3 requests
    When requests with 60 s left and a run time of 1 s arrive until one is refused
    Then the reason is queue-full and the retry delay is positive

  Scenario: Wrong declared sizes are corrected
    # Guards against callers that gain priority by declaring sizes ten times too small.
    Given a predictor
    When 50 requests that declare 0.1 s each take 1 s, with noise of 10 %
    Then a request that declares 0.1 s is predicted to take 0.9 s to 1.1 s

  Scenario: The memory of the predictor is bounded
    # Guards against memory use that grows with the number of kinds that callers send.
    Given a predictor
    When requests of 2000 kinds have run
    Then the predictor keeps 512 kinds

  Scenario: Retries stay a share of requests
    # Guards against a retry storm when all requests fail.
    Given a retry budget of 0.1 with at most 0.5 retries a second
    When 1000 requests fail within 10 s and each asks for retries
    Then at most 106 retries are allowed, and at least 95

  Scenario: A retry is never planned past the deadline
    # Guards against retries after the caller's deadline, and against synchronized retries.
    Then 1000 random delays with 0.3 s left lie between 0 and 0.3 s and differ
    And no retry is planned without time left

  Scenario: A target that fails everything is ejected and tried again with one probe
    # Guards against a target that attracts work by failing fast, and against concurrent probes.
    Given 4 targets
    When w0 fails 5 requests
    Then w0 may not be used
    When the clock advances by 1.1 s
    Then w0 may be used by one request only
    When that request fails
    Then w0 may not be used
    And the failure is not charged to the retry budget
    When the clock advances by 1.5 s
    Then w0 may not be used
    When the clock advances by 1 s
    Then w0 may be used by one request only
    When that request succeeds
    Then w0 may be used

  Scenario: A late result of an earlier request does not end an ejection
    # Guards against readmitting a failing target without a probe.
    Given 4 targets
    When a request to w0 is in progress
    And w0 fails 5 requests
    And that request succeeds
    Then w0 may not be used

  Scenario: No more than the set share of the targets is ejected
    # Guards against faulty requests of callers that eject all targets of a pool.
    Given 4 targets
    When 20 requests fail at each of the targets
    Then 2 targets are ejected

  Scenario: Work avoids busy, slow and tried targets
    # Guards against a retry at the same target and against routing work to a slow target.
    Then of 1000 choices among an idle, a busy and a slow target the idle one is chosen
    And a tried target is chosen only if no other has a free slot

  Scenario: The availability budget counts failed, draining and moving hosts together
    # Guards against maintenance that, together with failures, exceeds the budget, also when a rack
    # is about to fail.
    Given hosts of 2 racks of 4, one failed, one draining and one moving
    Then 3 hosts are unavailable
    And with a budget of 4 one more host may be removed but not 2
    And with a second failed host in a rack of 4 the whole rack is counted
