Feature: A start order that arrives late at a restarted worker neither runs a task twice nor keeps it waiting
  A worker ends and starts again under its identifier while its start orders are on their way. Its
  clock begins anew, so that it does not know them as late; the owner revokes them. Times of the
  orders are those from their sending; the worker is back 0.5 s after it has ended.

  # Guards against a task that runs twice, or that waits, by when its late start order arrives:
  # before the end of the worker, before its revocation, and after it.
  Scenario Outline: A late start order of a <kind> job at a worker that restarts once
    When start orders of a <kind> job arrive <late> s late and their worker ends <ends> s after their sending, <change>
    Then the late orders break no promise, and all tasks are at work or done within <limit> s of the worker's return

    Examples: no change of owner
      | kind         | late | ends | change  | limit |
      | short        | 0.2  | 0.3  | nothing | 3     |
      | short        | 0.9  | 0.3  | nothing | 3     |
      | short        | 1.2  | 0.3  | nothing | 3     |
      | short        | 1.6  | 0.3  | nothing | 3     |
      | short        | 3    | 0.3  | nothing | 3     |
      | short        | 12   | 0.3  | nothing | 3     |
      | short        | 3    | 1.4  | nothing | 3     |
      | long-running | 0.9  | 0.3  | nothing | 3     |
      | long-running | 1.2  | 0.3  | nothing | 3     |
      | long-running | 3    | 0.3  | nothing | 3     |
      | long-running | 12   | 0.3  | nothing | 3     |
      | gang         | 0.9  | 0.3  | nothing | 3     |
      | gang         | 1.2  | 0.3  | nothing | 3     |
      | gang         | 3    | 0.3  | nothing | 3     |
      | gang         | 12   | 0.3  | nothing | 3     |

    # An answer to a revocation that is lost costs its timeout and a repeat.
    Examples: answers to the revocation are lost
      | kind         | late | ends | change                  | limit |
      | short        | 3    | 0.3  | the first answer lost   | 5     |
      | long-running | 3    | 0.3  | the first answer lost   | 5     |
      | gang         | 3    | 0.3  | the first answer lost   | 5     |
      | short        | 3    | 0.3  | every answer lost       | 15    |

    Examples: the owner changes before the revocation has an answer
      | kind         | late | ends | change           | limit |
      | short        | 3    | 0.3  | a handover       | 5     |
      | short        | 1.2  | 0.3  | a handover       | 5     |
      | long-running | 3    | 0.3  | a handover       | 5     |
      | gang         | 3    | 0.3  | a handover       | 5     |
      | short        | 3    | 0.3  | a takeover       | 5     |
      | short        | 12   | 0.3  | a takeover       | 5     |
      | long-running | 3    | 0.3  | a takeover       | 5     |
      | gang         | 3    | 0.3  | a takeover       | 5     |
      | short        | 3    | 0.3  | a bounce         | 5     |
      | gang         | 12   | 0.3  | a bounce         | 5     |

    # Guards against an order that was found to have expired unseen: the next start of the worker does
    # not know it as late (seed 491830 of the soak).
    Examples: the order has expired, and its tasks run elsewhere, when the worker ends
      | kind         | late | ends | change     | limit |
      | short        | 4    | 2.5  | nothing    | 3     |
      | long-running | 4    | 2.5  | nothing    | 3     |
      | gang         | 4    | 2.5  | nothing    | 3     |
      | long-running | 12   | 9    | nothing    | 3     |
      | long-running | 4    | 2.5  | a takeover | 3     |
      | long-running | 4    | 2.5  | a handover | 3     |
      | long-running | 4    | 2.5  | a bounce   | 3     |

    # Guards against an unexpected error that ends the link, or the wait of the task without a bound.
    Examples: answers to the revocation cause an unexpected error
      | kind         | late | ends | change                      | limit |
      | short        | 3    | 0.3  | answers that cannot be read | 15    |
      | long-running | 12   | 0.3  | answers that cannot be read | 15    |

  # Guards against a revocation that its worker forgets: the next start does not refuse the order.
  Scenario Outline: A late start order of a <kind> job at a worker that restarts twice
    When start orders of a <kind> job arrive <late> s late and their worker restarts, and once more <again> s later, <change>
    Then the late orders break no promise

    Examples: the order arrives after the second restart
      | kind         | late | again | change                |
      | short        | 3    | 0.55  | nothing               |
      | short        | 3    | 1.5   | nothing               |
      | long-running | 3    | 1.5   | nothing               |
      | gang         | 3    | 1.5   | nothing               |
      | long-running | 8    | 5     | nothing               |
      | long-running | 12   | 9     | nothing               |
      | long-running | 5    | 3     | the first answer lost |
      | long-running | 5    | 3     | a handover            |
      | long-running | 5    | 3     | a takeover            |
      | long-running | 5    | 3     | a bounce              |

    # Guards against a start of a job whose cancellation was acknowledged over 3 s before.
    Examples: the job is cancelled
      | kind         | late | again | change         |
      | short        | 5    | 3     | a cancellation |
      | long-running | 5    | 3     | a cancellation |
      | gang         | 5    | 3     | a cancellation |
      | short        | 5    | 15    | a cancellation |
      | long-running | 5    | 15    | a cancellation |

  # Guards against waits that add up: lease, isolation, and isolation of the tasks that were left out
  # while half of the workers were reserved.
  Scenario Outline: A late start order of a <kind> job at a worker that stays away beyond its lease
    When start orders of a <kind> job arrive <late> s late and their worker is away for <away> s
    Then the late orders break no promise

    Examples: the order arrives before or after the return
      | kind         | late | away |
      | short        | 3    | 8    |
      | short        | 10   | 8    |
      | gang         | 10   | 8    |
      | long-running | 10   | 6    |
      | long-running | 10   | 8    |

  # Guards against a second run by any sequence of late orders, restarts, lost answers and owners.
  # An order that arrives within 1.2 s of the start of its worker is left to the worker
  # (docs/platform.md). More seeds: LATE_START_PLAYS=1000 LATE_START_SEED=5000
  Scenario: Seeded plays of late start orders run no task twice
    When 40 plays of late start orders from seed 1 on end with 20 s of calm
    Then no task of the plays has run twice, and no worker was overcommitted
