Feature: Room for long-running tasks on workers that are full of short ones
  Each scenario replays the load pattern that a decision responds to, without any I/O.

  Scenario: Room is claimed on the worker whose short runs end first
    # Guards against a choice by the first end alone: a task needs the room of several short runs.
    Given 2 workers of 16 cores with these runs
      | worker | run | cores | ends in | kind  |
      | w0     | a   | 8     | 1.0     | short |
      | w0     | b   | 8     | 9.0     | short |
      | w1     | c   | 8     | 4.0     | short |
      | w1     | d   | 8     | 5.0     | short |
    Then room for a task of 8 cores is claimed on w0
    And room for a task of 12 cores is claimed on w1

  Scenario: Room that is free already is claimed before room that comes free
    Given 2 workers of 16 cores with these runs
      | worker | run | cores | ends in | kind         |
      | w0     | a   | 16    | 0.1     | short        |
      | w1     | b   | 12    | 0.0     | long-running |
    Then room for a task of 4 cores is claimed on w1

  Scenario Outline: The time until there is room follows from the ends of the short runs
    Given 1 worker of 16 cores with these runs
      | worker | run | cores | ends in | kind         |
      | w0     | a   | 4     | 1.0     | short        |
      | w0     | b   | 6     | 3.0     | short        |
      | w0     | c   | 2     | 7.0     | short        |
      | w0     | d   | 2     | 0.0     | long-running |
    Then a task of <cores> cores is expected to have room there <expected>

    Examples:
      | cores | expected    |
      | 2     | after 0 s   |
      | 6     | after 1 s   |
      | 7     | after 3 s   |
      | 12    | after 3 s   |
      | 14    | after 7 s   |
      | 15    | at no time  |

  Scenario: A claim keeps room from short tasks, but not more than it needs
    # Guards against workers that are kept as a whole and stay idle until their last run has ended.
    Given 1 worker of 16 cores with these runs
      | worker | run | cores | ends in | kind  |
      | w0     | a   | 4     | 9.0     | short |
    When room for a task of 6 cores is claimed on w0
    Then a short task of 6 cores fits on w0
    But a short task of 7 cores does not, since room is held
    And a short task of 13 cores does not, since no room
    When the claim ends
    Then a short task of 12 cores fits on w0

  Scenario: A second claim of one task replaces its first
    # Guards against room that is counted twice and is kept from all others for good.
    Given 1 worker of 16 cores with these runs
      | worker | run | cores | ends in | kind  |
      | w0     | a   | 4     | 9.0     | short |
    When room for a task of 6 cores is claimed on w0
    And that room is secured
    And the same task claims room of 8 cores on w0
    Then a short task of 4 cores fits on w0
    But a short task of 5 cores does not, since room is held
    When the claim ends
    Then a short task of 12 cores fits on w0
    But a short task of 13 cores does not, since no room

  Scenario: Claims on one worker add up to its capacity and not more
    # Guards against tasks that queue for one worker one after the other, and against two that are
    # promised the same room.
    Given 2 workers of 16 cores with these runs
      | worker | run | cores | ends in | kind         |
      | w0     | a   | 16    | 1.0     | short        |
      | w1     | b   | 8     | 2.0     | short        |
      | w1     | c   | 8     | 0.0     | long-running |
    When 3 tasks of 8 cores claim room one after the other
    Then the claims are on w0, w0 and w1
    And no room for a task of 1 core can be claimed

  Scenario: Secured room is used by no other claim
    # Guards against a task that is stopped for a place that another task then takes.
    Given 1 worker of 16 cores with these runs
      | worker | run | cores | ends in | kind  |
      | w0     | a   | 8     | 9.0     | short |
    When 2 tasks of 8 cores claim room one after the other
    Then the claimed room of each task is free
    When the room of the second task is secured
    Then the claimed room of the second task alone is free
    And a long-running task of 1 core does not fit on w0, since no room
    When the second task ends its claim
    Then the claimed room of the first task is free

  Scenario: The runs that lose the least are stopped
    Given 2 workers of 16 cores with these runs
      | worker | run | cores | lost | kind  |
      | w0     | a   | 8     | 40   | short |
      | w0     | b   | 8     | 30   | short |
      | w1     | c   | 8     | 35   | short |
      | w1     | d   | 8     | 10   | short |
    Then a task of 8 cores gets room on w1 if d is stopped
    And a task of 12 cores gets room on w1 if c and d are stopped

  Scenario: The loss on a worker counts as a whole
    Given 2 workers of 16 cores with these runs
      | worker | run | cores | lost | kind  |
      | w0     | a   | 4     | 8    | short |
      | w0     | b   | 4     | 8    | short |
      | w0     | c   | 4     | 8    | short |
      | w0     | d   | 4     | 8    | short |
      | w1     | e   | 16    | 20   | short |
    Then a task of 8 cores gets room on w0 if a and b are stopped
    And a task of 12 cores gets room on w1 if e is stopped

  Scenario: Runs whose room is not needed are spared
    # Guards against small runs that are stopped before it is known that a large one has to be.
    Given 1 worker of 16 cores with these runs
      | worker | run | cores | lost | kind  |
      | w0     | a   | 2     | 1    | short |
      | w0     | b   | 2     | 2    | short |
      | w0     | c   | 12    | 30   | short |
    Then a task of 12 cores gets room on w0 if c is stopped
    And a task of 13 cores gets room on w0 if a and c are stopped
    And a task of 4 cores gets room on w0 if a and b are stopped

  Scenario: Runs without the resources that are lacking are spared
    Given 1 worker of 16 cores with these runs
      | worker | run | cores | memory | lost | kind  |
      | w0     | a   | 2     | 0      | 1    | short |
      | w0     | b   | 0     | 40000  | 30   | short |
    Then a task of 4 cores and 30000 MB gets room on w0 if b is stopped

  Scenario: Runs that are being stopped already count as ended
    # Guards against further runs that are stopped at each plan until the first ones have ended.
    Given 2 workers of 16 cores with these runs
      | worker | run | cores | lost | kind     |
      | w0     | a   | 8     | 1    | short    |
      | w0     | b   | 8     | 1    | short    |
      | w1     | c   | 8     | 50   | stopping |
      | w1     | d   | 8     | 60   | short    |
    Then a task of 8 cores gets room on w1 if nothing is stopped
    And a task of 12 cores gets room on w0 if a and b are stopped

  Scenario: Room that is claimed for others is made for them, too
    Given 1 worker of 16 cores with these runs
      | worker | run | cores | lost | kind  |
      | w0     | a   | 8     | 1    | short |
      | w0     | b   | 8     | 2    | short |
    When room for a task of 8 cores is claimed on w0
    Then a task of 8 cores gets room on w0 if a and b are stopped
    But a task of 9 cores gets no room

  Scenario: Nothing is stopped where long-running tasks fill everything
    Given 2 workers of 16 cores with these runs
      | worker | run | cores | lost | kind         |
      | w0     | a   | 16    | 0    | long-running |
      | w1     | b   | 12    | 0    | long-running |
      | w1     | c   | 4     | 9    | short        |
    Then a task of 5 cores gets no room
    And no room for a task of 5 cores can be claimed
    But a task of 4 cores gets room on w1 if c is stopped

  Scenario: At most so many tasks of a step get room on one worker
    # Guards against a claim on a worker on which the task may not start.
    Given 3 workers of 16 cores with these runs
      | worker | run | cores | ends in | lost | kind         |
      | w0     | a   | 4     | 0.0     | 0    | same step    |
      | w1     | b   | 16    | 3.0     | 5    | short        |
      | w2     | c   | 16    | 9.0     | 9    | short        |
    And at most 1 task of the step is on one worker
    When 2 tasks of 4 cores claim room one after the other
    Then the claims are on w1 and w2
    And no room for a task of 4 cores can be claimed
    And a task of 4 cores gets no room
    When the first task ends its claim
    Then a task of 4 cores gets room on w1 if b is stopped

  Scenario Outline: Room is made only where a task may start
    Given 2 workers of 16 cores with these runs
      | worker | run | cores | ends in | lost | kind  |
      | w0     | a   | 16    | 1.0     | 1    | short |
      | w1     | b   | 16    | 9.0     | 9    | short |
    And <condition>
    Then room for a task of 4 cores is claimed on w1
    And a task of 4 cores gets room on w1 if b is stopped

    Examples:
      | condition                               |
      | only w1 has the label that tasks need   |
      | 2 tasks in a row have failed on w0      |
      | w0 is reserved for another job          |
      | w0 takes no tasks                       |

  Scenario: A worker is used again once it is no longer suspected
    Given 1 worker of 16 cores with these runs
      | worker | run | cores | ends in | lost | kind  |
      | w0     | a   | 16    | 1.0     | 1    | short |
    And 2 tasks in a row have failed on w0
    Then no room for a task of 4 cores can be claimed
    And a task of 4 cores gets no room
    When 3 s have passed since
    Then room for a task of 4 cores is claimed on w0
