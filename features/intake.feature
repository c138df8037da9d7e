Feature: Which connections of callers are closed
  What is held for callers, and their connections, stay within bounds; the longest without progress
  are closed first.

  Scenario: The request that has stalled longest is shed first for memory
    # Guards against requests that are refused for those that stopped before their end.
    Given an account of 110000 bytes
    And an unfinished request "first" since 1 s that holds 40000 bytes
    And an unfinished request "second" since 2 s that holds 40000 bytes
    And a handled request "handled" since 0 s that holds 10000 bytes
    When "first" receives 5000 bytes at 3 s
    And an unfinished request "third" since 4 s that holds 40000 bytes
    Then "second" is shed for memory at 4 s

  Scenario: Single bytes do not count as progress
    # Guards against callers that send a byte from time to time to outlast others.
    Given an account of 100000 bytes
    And an unfinished request "dripping" since 1 s that holds 50000 bytes
    And an unfinished request "other" since 2 s that holds 40000 bytes
    When "dripping" receives 1 bytes at 5 s
    And an unfinished request "new" since 6 s that holds 20000 bytes
    Then "dripping" is shed for memory at 6 s

  Scenario: Idle connections are shed only when no unfinished request is left
    Given an account of 55000 bytes
    And an idle connection "idle" since 0 s
    And an unfinished request "unfinished" since 1 s that holds 10000 bytes
    And a handled request "handled" since 0 s that holds 48000 bytes
    Then "unfinished" and "idle" are shed for memory at 2 s

  Scenario: Requests in progress are never shed
    # Guards against a refusal of a request that may have run.
    Given an account of 10000 bytes
    And a handled request "handled" since 0 s that holds 48000 bytes
    Then nothing is shed at 100 s

  Scenario: A new connection replaces a stalled one
    Given an account of 3 connections
    And an idle connection "idle" since 0 s
    And an unfinished request "stalled" since 1 s that holds 0 bytes
    And an unfinished request "recent" since 5 s that holds 0 bytes
    And an idle connection "new" since 6 s
    Then "stalled" is shed for connections at 6 s

  Scenario: A new connection replaces an idle one if no request has stalled
    # Guards against requests that are refused right after they began.
    Given an account of 2 connections
    And an unfinished request "recent" since 5 s that holds 0 bytes
    And an idle connection "idle" since 5.5 s
    And an idle connection "new" since 6 s
    Then "idle" is shed for connections at 6 s

  Scenario: Each stage has its time limit
    Given an account of 1000000 bytes
    And an idle connection "idle" since 0 s
    And a head "head" since 0 s
    And an unfinished request "body" since 0 s that holds 0 bytes
    And a handled request "handled" since 0 s that holds 0 bytes
    Then these expire: at 2.9 s none, at 3 s head, at 15 s head and idle, at 30 s head, idle and body

  Scenario: A body that makes progress is awaited
    Given an account of 1000000 bytes
    And an unfinished request "body" since 0 s that holds 0 bytes
    When "body" receives 5000 bytes at 29 s
    Then nothing expires at 31 s

  Scenario: The bounds follow from the machine
    # Guards against bounds that leave no memory to the process, or no descriptors to its own links.
    Then a machine of 200 MB holds 50 MB for callers, and one of unknown memory 64 MB
    And 4100 descriptors allow 3300 connections, and 300 descriptors allow 150

  Scenario: The begin and the end of shedding are told once
    Given an account of 10 connections
    Then of sheds at 1, 2 and 3 s only the first begins, and the end is told once, at 8 s
