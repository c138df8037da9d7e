Feature: Client accounts share the platform without exceeding their limits
  The configuration names accounts with keys, weights and caps. Calls carry a key; what an account
  has running on all workers stays within its cap; what it submits beyond its weight is rejected
  first when a pool is short.

  # Guards against calls that run with a key that no account has, and against calls that are refused
  # although their key is in force.
  Scenario Outline: A call <call> to a <queue> queue gets <outcome>
    Given a configuration with the accounts "harbour" and "museum", each with its key
    When a caller calls a <queue> queue <call>
    Then the call is <outcome>

    Examples:
      | queue   | call                                   | outcome                    |
      | private | with the key of harbour                | accepted for harbour       |
      | private | with the key of museum                 | accepted for museum        |
      | private | with the key of harbour in lower case scheme | accepted for harbour |
      | private | with an unknown key                    | refused                    |
      | private | without a key                          | refused                    |
      | private | with an empty key                      | refused                    |
      | private | with the key under another scheme      | refused                    |
      | private | with a key of 100 kB                   | refused                    |
      | public  | without a key                          | accepted without account   |
      | public  | with an unknown key                    | accepted without account   |
      | public  | with the key of museum                 | accepted for museum        |

  # Guards against deployments without accounts that ask for keys all of a sudden.
  Scenario: Without accounts in the configuration no call needs a key
    Given a configuration without accounts
    When a caller calls a private queue without a key
    Then the call is accepted without account

  # Guards against an account that loses all its callers, or an open system, after a careless change.
  Scenario: A configuration whose list of accounts is empty accepts no key
    Given a configuration with no account in its list
    When a caller calls a private queue with the key of harbour
    Then the call is refused

  # Guards against a malformed account that is applied in part, or that ends the process.
  Scenario Outline: A configuration with <fault> is <result>
    When a configuration with <fault> is read
    Then it is <result>

    Examples:
      | fault                                | result                                    |
      | an account without a name            | rejected at /tenants/0/name               |
      | a cap below 0                        | rejected at /tenants/0/cap/cpu            |
      | a cap that is not whole              | rejected at /tenants/0/cap/memMb          |
      | a weight below 0                     | rejected at /tenants/0/weight             |
      | a weight of 0                        | read with a weight of 0                   |
      | an empty key                         | read without that key                     |
      | a key of two accounts                | read with the key as that of the first    |
      | a doubled key                        | read with one key                         |
      | 3000 accounts                        | read with 3000 accounts                   |

  # Guards against a withdrawn key that works again after an older version arrives late.
  Scenario: A withdrawn key does not come back with an older version
    Given an entry host with version 3 of the configuration, which has withdrawn the key of harbour
    When version 2, which still has that key, is read from a peer
    Then the key of harbour is still refused

  # Guards against an entry host that keeps a withdrawn key in force while the store rejects it.
  Scenario: An entry host that the store turns away reads a later version from a peer
    Given two entry hosts, one of which the store turns away
    When the other one reads a version that withdraws the key of harbour
    Then the key of harbour is refused by both within 3 seconds

  # Load: the tasks of an account are in several partitions, whose owners are replaced and paused
  # while the store fails. Guards against a cap that is exceeded by two owners that act on different
  # views, and against tasks that wait for ever for a share that nobody returns.
  Scenario: Seeded plays of owners that share caps
    When owners share the caps of accounts under faults with several seeds
    Then no account exceeds its cap, and no task waits once the faults are over

  # Guards against a small account whose tasks never start since each partition holds a part of its
  # cap that is smaller than a task.
  Scenario: Tasks that are larger than an even part of the cap start one after the other
    Given four partitions that hold no share of a cap of 14 cores
    When each of them has two waiting tasks of 13 cores
    Then all of them have been started within 30 seconds

  # Guards against a cap that is exceeded without end since what ran before it was set is in no share.
  Scenario: A cap that is set while tasks run counts them
    Given two partitions, one of which runs 150 cores of an account without a cap
    When a cap of 200 cores is set, and the other partition has work for 100 cores
    Then the account runs at most 200 cores from then on

  # Guards against a gang that waits for ever, since the share covers one of its tasks only.
  Scenario: A gang gets a share for all of its tasks beside steady work of another partition
    Given two partitions, one of which has steady work for the whole cap of an account
    When a gang of 8 tasks of 10 cores is submitted in the other one, with a cap of 100 cores
    Then the gang starts within 30 seconds

  # Guards against a gang beyond the cap that stops all other tasks of its account.
  Scenario: A gang that is larger than the cap holds up no other task
    Given one partition with a gang of 12 tasks of 10 cores and a cap of 100 cores
    When 20 tasks of 10 cores are submitted after it
    Then all 20 of them have been started within 30 seconds

  # Guards against a task that never starts since the cap limits another resource as well.
  Scenario: A task that is larger than the cap in one resource starts alone
    Given one partition with a task of 13 cores and 5 GB and a cap of 10 cores and 40 GB
    When nothing else of the account runs
    Then the task starts within 5 seconds

  # Guards against runs that the next owner does not count, since their workflow has ended.
  Scenario: Runs of a workflow that was cancelled just before a takeover count for the next owner
    Given a workflow of harbour with 4 running tasks of 10 cores that is cancelled
    When the next owner reads its record
    Then 40 cores of harbour may be running, and none 4 seconds later

  # Guards against an account at its cap whose waiting work gets the work of others rejected.
  Scenario: Work that waits for the cap of its account is not in the backlog of others
    Given idle workers, and an account whose work waits for its cap
    When the backlog is measured for another account and for the same one
    Then only the same one has a backlog

  # Load: one account sends five times its weight while a queue bursts. Guards against an account
  # that crowds the others out of a full pool.
  Scenario: Work beyond the weight of its account is rejected first when a pool is short
    Given a full pool, and an account that submits 5 times its weight
    When accounts submit workflows for 10 seconds
    Then at least 90% of the workflows within their weights are admitted
    And at most 20% of the workflows beyond their weights are admitted

  # Guards against work that is rejected although workers are free.
  Scenario: Work beyond the weight of its account is served while the pool has room
    Given an idle pool, and an account that submits a quarter more than its weight
    When accounts submit workflows for 10 seconds
    Then all workflows are admitted

  # Guards against an order of tasks in which work beyond its weight delays work that is owed.
  Scenario: Tasks of work beyond the weight are placed after others, but before best-effort tasks
    When steps of owed, excess, late owed and best-effort work are ranked
    Then their order is owed, late owed, excess, best-effort

  # Guards against an account whose tasks need much memory and seem small by their processors.
  Scenario Outline: An account that uses <part> of a pool by <resource> among two of equal weight is <standing> its share
    When an account uses <part> of a pool by <resource>, and another one uses a tenth
    Then it is <standing> its share

    Examples:
      | part | resource   | standing |
      | 0.6  | processors | over     |
      | 0.6  | memory     | over     |
      | 0.4  | memory     | within   |
