Feature: Long-running tasks run again in time, whatever they wait for
  Owners, a store and workers run in virtual time. The model follows from what the workers run how
  long each task is away. By rule LOST it runs again 6 s after its last run at the latest, if there
  is room for it and the last 7 s are calm.

  Scenario Outline: A long-running task runs again in time
    Given 6 workers of 12 cores with long-running tasks
    When for 30 s or more <reason>
    Then each long-running task ran again within 6 s
    And no long-running task with room for it was away for longer than rule LOST allows
    And no long-running task would have had to run again if the room of short tasks were free
    And no worker was sent a start of one task more than 6 times

    # Guards against a reservation without room that is renewed without end (incident 013).
    Examples: Workers that are gone
      | reason                                                                                 |
      | a worker with 7 tasks of a job is gone for good, and another one is full of the others |
      | a worker with 7 tasks of a job returns under a new name, and another one is full       |
      | the owner hands over 1 s after a worker is gone for good                               |
      | workers leave in order while owners hand over                                          |
      | workers leave in order while owners are killed                                         |
      | the pool gives away one worker after the other and gets new ones                       |
      | workers are cordoned and removed for upkeep one after the other                        |
      | the entries of all workers but one in turn are out of date                             |

    # Guards against starts that are sent again and again to the fullest worker, which refuses them.
    Examples: Starts that fail
      | reason                                                    |
      | 1 workers with room refuse every start with full          |
      | 2 workers with room refuse every start with full          |
      | 1 workers with room refuse every start with status 429    |
      | 2 workers with room refuse every start with status 429    |
      | 1 workers with room refuse every start with superseded    |
      | 2 workers with room refuse every start with superseded    |
      | 1 workers with room refuse every start with unadvised     |
      | 2 workers with room refuse every start with unadvised     |
      | all idle workers but one refuse suspected tasks with full |
      | the fullest worker's orders are late                      |
      | the fullest worker's orders are lost                      |
      | the fullest worker's orders are cut                       |
      | the fullest worker's orders are refused                   |

    # Guards against tickets that are not requested while workers have them that may not be used.
    Examples: Steps with limits
      | reason                                                                                         |
      | workers under a gang are gone for good one after the other                                     |
      | workers under tasks of one rack are gone for good one after the other                          |
      | workers under tasks with a label are gone for good one after the other                         |
      | workers under tasks of which each worker may have one are gone for good one after the other    |
      | workers under best-effort tasks are gone for good one after the other                          |
      | workers under serving tasks are gone for good one after the other                              |
      | workers under tasks that need tickets are gone for good one after the other                    |
      | workers under tasks that need tickets, one per worker are gone for good one after the other    |

    Examples: Suspected tasks
      | reason                                                                          |
      | many workers crash at once under tasks of different jobs                        |
      | workers crash again and again under suspected tasks that need most of a worker  |

    Examples: Short tasks at five times the capacity
      | reason                                                                               |
      | short tasks of 1 cores take each room, and a worker under a task of 11 cores is gone |
      | short tasks of 2 cores take each room, and a worker under a task of 7 cores is gone  |
      | short tasks of 3 cores take each room, and a worker under a task of 1 cores is gone  |

  Scenario: A small long-running task does not wait for a worker that is kept for a large one
    # The large one waits for a short task of 30 s on the only worker that is not full.
    Given 6 workers of 12 cores with long-running tasks
    When for 30 s or more a worker is kept for a large task, and a small one waits
    Then no long-running task with room for it was away for longer than rule LOST allows
    And each long-running task ran again within 36 s

  Scenario: A start that the only worker with room refuses is repeated at a limited rate
    Given 6 workers of 12 cores with long-running tasks
    When for 30 s or more the only worker with room refuses every start with full
    Then each long-running task ran again within 36 s
    And no worker was sent a start of one task more than 30 times

  Scenario Outline: A lost worker's leases are waited for by one owner after the other
    # Guards against owners that follow each other before any of them has recorded how long the
    # worker has been silent. The time between two owners is not known to either, and does not
    # count: they measure half of the time or more, until the 4.4 s are over after which every
    # lease has lapsed that the first of them has renewed.
    Given 6 workers of 12 cores with long-running tasks
    When for 30 s or more <owners> after a worker is gone for good
    Then each long-running task ran again within 15 s
    And no long-running task with room for it was away for longer than rule LOST allows

    Examples:
      | owners                           |
      | owners are killed every 4 s      |
      | owners hand over every 0.4 s     |
      | owners are replaced every 0.4 s  |

  Scenario: Leases that a former owner may still renew are waited for
    # Guards against a second run of a task (rule TWICE). The former owner reaches the worker, but
    # not the store and not the other workers, where it would learn of the next owners.
    Given 6 workers of 12 cores with long-running tasks
    When for 30 s or more a former owner goes on renewing leases of a worker that the next two do not reach
    Then no owner broke a promise

  Scenario: A worker and the owner of its tasks are killed at once
    # The former owner may only be cut off, and renew the leases until it gives up.
    Given 6 workers of 12 cores with long-running tasks
    When for 30 s or more a worker and the owner are killed at once
    Then no long-running task with room for it was away for longer than rule LOST allows
