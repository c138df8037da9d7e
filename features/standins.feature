Feature: The stand-ins do what the platform's protocols say

  Scenario: An append whose answer is lost takes effect
    # Guards against a stand-in that loses the append together with its answer.
    Given the stand-in log
    And log has the faults {"lose_answers": 1}
    When 1 record is appended
    Then the connection closes without an answer
    When the stream is read from 0
    Then the answer is 200 with {"first": 0, "end": 1}

  Scenario: A reader that retention has passed is told the bounds
    # Guards against a reader that skips removed records without an error.
    Given the stand-in log
    And 5 records are appended
    And log has the faults {"retention": 2}
    When the stream is read from 0
    Then the answer is 410 with {"first": 3, "end": 5}

  Scenario: A partition concerns the chosen listener only
    # Guards against a test partition that cuts off every entry host at once.
    Given the stand-in log with {"listeners": {"umea-1": {"address": "127.0.0.1:0"}}}
    And log has the faults {"drop_listeners": ["umea-1"]}
    When the stream is read from 0 at listener 1
    Then the connection closes without an answer
    When the stream is read from 0 at listener 0
    Then the answer is 200 with {"first": 0, "end": 0}

  Scenario: The append rate is limited by calls
    # Guards against a stand-in that takes more appends than the platform does.
    Given the stand-in log with {"appends_per_second": 2, "burst": 1}
    When 3 records are appended
    Then the answer is 200 with {"first": 0, "end": 3}
    When 1 record is appended
    Then the answer is 429 with {"retry_after": 0.5}
    When 0.5 s pass
    And 1 record is appended
    Then the answer is 200 with {"first": 3, "end": 4}

  Scenario: The host list shows a change after its lag
    # Guards against tests that pass only because the list is never stale.
    Given the stand-in hostlist with {"lag_seconds": 30}
    When host w1 is listed as live
    And 29 s pass
    Then the host list has 0 hosts
    When 1 s pass
    Then the host list has 1 hosts

  Scenario: A repeated operation has no second effect, and an old fence is refused
    # Guards against a second reboot after a lost answer, and against orders of a former holder.
    Given the stand-in worker
    And the stand-in pools for that worker
    And pools has the faults {"lose_answers": 1}
    When operation o1 drains the worker under fence 7
    Then the connection closes without an answer
    When operation o1 drains the worker under fence 7
    Then the answer is 202 with {"operation": "o1", "state": "draining"}
    And the pools service recorded 1 operation that had an effect
    When operation o2 drains the worker under fence 6
    Then the answer is 409 with {"fence": 7}
    When operation o3 returns the worker to office under fence 8
    And operation o1 drains the worker under fence 8
    Then the answer is 202 with {"operation": "o3", "state": "serving", "pool": "office"}
    And the pools service recorded 2 operations that had an effect

  Scenario: A request that arrives while draining is refused and recorded
    # Guards against a stand-in that hides from tests that new work reached a draining target.
    Given the stand-in worker
    When the worker is ordered to drain
    And 4 s pass
    And request r1 is sent
    Then the answer is 503 with {"reason": "draining"}
    And the outcome is not-run
    And the worker ran 0 times
    And the last rejection came 4 s after the drain

  Scenario: A revoked request never runs
    # Guards against a request that arrives late, after its caller was told that it did not run.
    Given the stand-in worker
    When request r1 is revoked
    Then the answer is 200 with {"state": "not-run"}
    When request r1 is sent
    Then the answer is 503 with {"reason": "revoked"}
    And the worker ran 0 times

  Scenario: A request that runs cannot be revoked
    # Guards against a revocation that reports a running request as not run.
    Given the stand-in worker
    When request r1 of 5 s starts
    And request r1 is revoked
    Then the answer is 200 with {"state": "running"}
    When 5 s pass
    Then the answer of request r1 is its own
    And the worker ran 1 times

  Scenario: Old connections fall silent while new ones work
    # Guards against a silence fault that a client can detect because the connection closes.
    Given the stand-in worker
    And an open connection that has carried a request
    And worker has the faults {"silent": true}
    When request r2 is sent on the open connection
    And request r3 is sent
    Then the answer is 200 with {"request": "r3"}
    And request r2 has neither an answer nor an error
    And request r2 never reached the worker

  Scenario: A worker that was ended still knows what it ran
    # Guards against a restarted worker that lost its record of an execution and repeats it.
    Given the stand-in worker with a record file
    When request r1 is sent
    And request r9 is revoked
    And job j1 is placed under lease 5
    And the worker is started again
    And request r1 is revoked
    Then the answer is 200 with {"state": "finished"}
    When request r9 is sent
    Then the answer is 503 with {"reason": "revoked"}
    When job j1 is placed under lease 4
    Then the answer is 409 with {"lease": 5}
    And the worker ran 2 times

  Scenario: A task ends when its lease lapses, and an earlier placement is refused
    # Guards against two concurrent attempts of one job.
    Given the stand-in worker
    When job j1 is placed under lease 5
    And 9 s pass
    And the lease 5 of job j1 is renewed
    And 9 s pass
    Then job j1 is running
    When 1 s pass
    Then job j1 is lapsed
    When job j1 is placed under lease 4
    Then the answer is 409 with {"lease": 5}

  Scenario: A placement that was stopped before it arrived never starts
    # Guards against a late start of an attempt that was reported as not started.
    Given the stand-in worker
    When the lease 5 of job j1 is stopped
    Then the answer is 200 with {"state": "not-started"}
    When job j1 is placed under lease 5
    Then the answer is 409 with {"lease": 5}
    And the worker ran 0 times

  Scenario: A caller notices an answer that is cut off or belongs to another request
    # Guards against a load tool that accepts a truncated answer, or that of another request.
    Given the content of /services/booking/a with 200000 bytes
    Then a caller of /services/booking/a accepts it as complete
    But a caller of /services/booking/b rejects it
    And a caller of /services/booking/a rejects it without its last byte
    And a caller of /services/booking/a rejects it with two pages swapped

  Scenario: Settings that are not valid are all reported
    # Guards against a process that starts with incomplete settings, or reports one error at a time.
    When worker is run with {"address": "here", "slots": 0}
    Then it ends with status 2 and names /address, /slots, /host, /pool

  Scenario: A killed worker comes back on its address, and the launcher leaves no process behind
    # Guards against tests that connect to a process of another run, and against leftover processes.
    Given a running deployment with 1 worker
    When the launcher kills umea-w1
    Then umea-w1 does not run
    When the launcher starts umea-w1
    Then umea-w1 answers on its first address
    When the launcher pauses umea-w1 and ends the deployment
    Then no process of the deployment is left
