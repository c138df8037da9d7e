Feature: The next run of a long-running task does not wait for the ends of others
  Short tasks of 12 s at five times the capacity fill all workers that have no long-running tasks.
  An owner, a store and workers run in virtual time, as in long_running_tasks.feature.

  # Guards against a displaced task that waits until short tasks end by themselves (incident 018).
  Scenario Outline: A displaced long-running task runs again in time on full workers
    Given 10 workers of 12 cores with long-running tasks
    When for 30 s or more <reason>
    Then each long-running task ran again within 6 s
    And no long-running task would have had to run again if the room of short tasks were free
    And no owner broke a promise while the tasks moved

    Examples: Workers that leave
      | reason                                                         |
      | four workers drain at once                                     |
      | four workers drain in turn                                     |
      | four workers are gone for good at once                         |
      | four workers under gangs drain at once                         |

    # Guards against a wait that each owner begins anew.
    Examples: Owners that change meanwhile
      | reason                                                         |
      | four workers drain at once and the owner hands over every 2 s  |
      | four workers drain at once and the owner is killed 1.5 s later |
      | four workers drain at once and the owner is killed before it stops their tasks |

    Examples: Starts
      | reason                                                              |
      | a long-running job starts while short tasks of 12 s fill all workers |

  # Guards against a task that is stopped before its next place is secured.
  Scenario Outline: A long-running task on a cordoned worker works on until it has another place
    Given 10 workers of 12 cores with long-running tasks
    When for 30 s or more <reason>
    Then each long-running task ran again within 1 s
    And no long-running task is left on a cordoned worker
    And no owner broke a promise while the tasks moved

    Examples:
      | reason                                                        |
      | four workers are cordoned, and one task of each job may be away |
      | four workers are cordoned, and four tasks of each job may be away |

  # Guards against 2 s of waiting for a worker of its own, after the leases of the former one.
  Scenario: A departure that a killed owner had seen is not taken for a crash
    Given 10 workers of 12 cores with long-running tasks
    When for 30 s or more four workers drain at once and the owner is killed before it stops their tasks
    Then no long-running task is suspected of a crash
    And no owner broke a promise while the tasks moved
