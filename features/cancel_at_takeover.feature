Feature: A cancelled long-running job stops whatever owner it meets

  Scenario: A job is cancelled around two takeovers within a second
    # Guards against a long-running task that runs on after its cancel was acknowledged (rule UNASKED
    # on days hunt-33d3-23 and hunt-e190-3 of snrc-atlas, not traced).
    When a long-running job is cancelled around two takeovers in 60 ways with seed 5
    Then no task of it runs 6 s after the acknowledgement
