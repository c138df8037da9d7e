Feature: The next run of a displaced long-running task does not depend on what fills the workers
  As in displaced_tasks.feature, short tasks of 12 s fill all workers, but other limits than
  processors apply as well.

  # Guards against a displaced task that waits until short tasks end by themselves (incident 018).
  Scenario Outline: A displaced long-running task runs again in time whatever fills the workers
    Given 10 workers of 12 cores with long-running tasks
    When for 30 s or more <reason>
    Then each long-running task ran again within 6 s
    And no long-running task would have had to run again if the room of short tasks were free
    And no owner broke a promise while the tasks moved

    Examples:
      | reason                                                             |
      | workers drain whose tasks need tickets, which all workers get      |
      | workers drain while short tasks fill the memory of the others      |
      | workers drain while gangs of short tasks fill the others           |

    # Guards against short tasks that are stopped on workers for which the task gets no ticket.
    Examples: Workers without tickets
      | reason                                                                 |
      | workers drain whose tasks get no tickets for four of the other workers |

  # Guards against short tasks that take the memory a best-effort task waits for, again and again.
  Scenario: A displaced best-effort long-running task runs again in time
    Given 10 workers of 12 cores with long-running tasks
    When for 30 s or more workers of best-effort tasks drain while short tasks fill the memory of the others
    Then each long-running task ran again within 6 s

  # Guards against a task that nothing runs, since a task which is at work keeps the only worker that may
  # take either of them, and may not be stopped while the other one is away (incident 020).
  Scenario Outline: A task that is away gets a place before one that is at work
    Given 4 workers of 12 cores with long-running tasks
    When for 30 s or more <reason>
    Then each long-running task ran again within 6 s
    And no owner broke a promise while the tasks moved

    Examples: Cordons
      | reason                                                                          |
      | a worker is gone for good, and another one is cordoned before its lease is over |
      | a worker leaves while another one is cordoned and the only free one fails       |

  # Guards against a task at work that is stopped for a cordon which ends by itself.
  Scenario: A task without another place works on while its worker is cordoned for seconds
    Given 4 workers of 12 cores with long-running tasks
    When for 30 s or more a worker is cordoned for an order without an answer, and no other one may take its task
    Then each long-running task ran again within 0 s
    And no owner broke a promise while the tasks moved
