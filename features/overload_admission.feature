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
