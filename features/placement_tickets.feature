Feature: A job whose queue has a placement policy starts while workers are idle
  A request for tickets takes longer the more workers it names, and tickets are valid for a limited
  time. Whether that time is counted from the request or from the answer, no page says.

  # Guards against a job that is never started (rule LOST, review case 9): tickets whose lifetime was
  # nearly over when they arrived were not used, and the same request was repeated for ever.
  Scenario Outline: Workers are idle, and a request about them takes a part of the tickets' lifetime
    Given <count> workers, and tickets whose lifetime is counted from the <origin>
    When a job of <tasks> tasks arrives whose queue decides in <decision> and <worker> ms a worker, for <valid> ms
    Then all its tasks are at work after at most <limit> s
    And at most <refused> starts were refused for lack of a ticket

    Examples: a lifetime that is long enough for a request about some workers
      | count | origin  | tasks | decision | worker | valid | limit | refused |
      | 10    | answer  | 4     | 300      | 160    | 3000  | 2.5   | 0       |
      | 12    | answer  | 4     | 300      | 160    | 3000  | 2.5   | 0       |
      | 12    | request | 4     | 300      | 160    | 3000  | 2.5   | 0       |
      | 100   | answer  | 8     | 50       | 60     | 1500  | 2.0   | 0       |
      | 300   | request | 8     | 50       | 60     | 1500  | 2.0   | 0       |
      | 12    | answer  | 4     | 5        | 1      | 3000  | 0.5   | 0       |

    Examples: a lifetime that is hardly longer than a request about one worker, or shorter
      | count | origin  | tasks | decision | worker | valid | limit | refused |
      | 12    | request | 2     | 500      | 300    | 1000  | 2.0   | 0       |
      | 12    | answer  | 2     | 500      | 400    | 600   | 2.0   | 0       |
      | 100   | answer  | 2     | 900      | 20     | 200   | 2.0   | 0       |

  # Guards against the same if the service takes longer than the queue's figures say.
  Scenario: The answers take longer than the queue's figures say
    Given 12 workers, and tickets whose lifetime is counted from the request
    When a job of 4 tasks arrives whose queue declares 100 and 10 ms a worker, and needs 300 and 250 ms, for 2000 ms
    Then all its tasks are at work after at most 8 s
    And each request about a step names fewer workers than the one before, until tickets are used

  # Guards against a job that waits for long although some worker may take it: at most 12 workers were
  # named in each request, whatever the answers were.
  Scenario: Only the last of 100 workers are allowed
    Given 100 workers, and tickets whose lifetime is counted from the answer
    And only the last 4 of them are allowed
    When a job of 4 tasks arrives whose queue decides in 200 and 5 ms a worker, for 3000 ms
    Then all its tasks are at work after at most 1.6 s

  # Guards against starts that are refused one after the other, with tickets of a former incarnation.
  Scenario: A worker restarts while its tickets are valid
    Given 1 workers, and tickets whose lifetime is counted from the answer
    When a job of 2 tasks arrives whose queue decides in 50 and 5 ms a worker, for 60000 ms
    And all its tasks are at work and the first worker restarts
    Then all its tasks are at work after at most 6 s
    And at most 0 starts were refused for lack of a ticket

  # Guards against calls to a service that rejects them, several times a second and for each step.
  Scenario: The service does not answer for 10 s
    Given 4 workers, and tickets whose lifetime is counted from the answer
    When the service is down and 6 jobs arrive whose queue decides in 50 and 5 ms a worker, for 3000 ms
    And the workers run for 10 s
    Then at most 60 requests were sent
    When the service is back
    Then the tasks of all 6 jobs are at work after at most 6 s
