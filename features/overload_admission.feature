Feature: Admission knows what delays an accepted workflow
  A workflow that is accepted although it cannot be on time takes capacity from others, and its
  caller waits for nothing.

  # Load: the store answers slowly for some seconds while a queue bursts. Most workflows were accepted
  # by the backlog alone and then waited for the records of each step. Guards against a delay that is
  # left out, and against one that rejects work while the store is not slow.
  Scenario Outline: A chain of <steps> steps while an append takes <append> s is <outcome>
    Given a pool with a backlog that a workflow can wait for
    When a workflow of a chain of <steps> steps is submitted while an append takes <append> s
    Then the workflow of that chain is <outcome>

    Examples:
      | steps | append | outcome  |
      | 1     | 0.01   | admitted |
      | 1     | 0.05   | admitted |
      | 3     | 0.05   | admitted |
      | 1     | 0.2    | admitted |
      | 3     | 0.4    | rejected |
      | 2     | 0.8    | rejected |

  # Guards against work that is rejected for a slow store although workers are free.
  Scenario: A workflow that the slow store makes late is admitted by an idle pool
    Given a pool without a backlog
    When a workflow of a chain of 3 steps is submitted while an append takes 0.3 s
    Then the workflow of that chain is admitted

  # Load: a burst of short tasks with a few that run ten times as long. Guards against the run time of
  # the longest task counting for all that run, so that work is rejected while workers are free.
  Scenario Outline: <long> long tasks among <short> short ones are not taken for a backlog
    Given a pool of 160 cores at work on <short> tasks of 0.8 s and <long> of 9 s, of one core each
    When a workflow of 16 tasks of 0.8 s is submitted
    Then all accepted work is expected to end within <finish> s
    And the workflow is <outcome>

    Examples: the pool has free cores
      | short | long | finish | outcome  |
      | 120   | 0    | 0.4    | admitted |
      | 119   | 1    | 0.4    | admitted |
      | 115   | 5    | 0.6    | admitted |
      | 0     | 120  | 3.5    | rejected |
