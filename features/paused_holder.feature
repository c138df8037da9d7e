Feature: A paused holder of the embedded mode acts on no claim that has ended
  A process may be paused, or wait for a connection, between the check of its claim and the call.

  Scenario: A start that waits while its claim ends is not sent
    # Guards against two runs of one job: by then, the next holder may have given the attempt up and
    # placed the job elsewhere.
    Given a holder of the claim whose start of a job waits for a connection
    When its claim ends and the connection is open
    Then the job was not started, and nothing is recorded about the attempt

  Scenario: A former holder does not record that an attempt has not started
    # Guards against two runs of one job: the next holder may have started the same attempt, and the
    # record would have it placed again.
    Given a holder of the claim whose start of a job waits for a connection
    When its claim ends and the connection fails
    Then the job was not started, and nothing is recorded about the attempt

  Scenario: A holder records that an attempt has not started
    Given a holder of the claim whose start of a job waits for a connection
    When the connection fails
    Then it is recorded that the attempt has not started
