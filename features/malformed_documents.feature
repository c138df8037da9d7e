Feature: A document of others that cannot be read costs itself alone
  Another writer may leave anything among the entries of the workers, and a response may be damaged.
  Operators of another system had processes that ended again and again, or that no longer followed
  the list.

  Scenario Outline: Entries that follow an unreadable one are applied
    # Guards against a loop that reads the same records for ever, and against orders to an address
    # or by a capacity that nobody can have.
    Given an entry host that follows the list of workers
    When another writer leaves an entry whose <field> is <value>, and a worker joins afterwards
    Then the host lists that worker and those before it, but not the unreadable entry
    And one log line names the unreadable entry, however long it stays
    And no task of the host has failed

    Examples:
      | field        | value                         |
      | labels       | deeply nested                 |
      | seq          | deeply nested objects         |
      | capacity.cpu | a number beyond a float       |
      | capacity.cpu | an integer of 400 digits      |
      | capacity.cpu | an integer beyond 64 bits     |
      | capacity.cpu | a negative number             |
      | capacity.cpu | true                          |
      | born         | a number beyond a float       |
      | backend      | text that is no UTF-8         |
      | address      | port 99999                    |
      | address      | port 0                        |
      | address      | port -1                       |
      | address      | port http                     |
      | address      | an address without a host     |
      | address      | a host with empty labels      |
      | state        | an empty list                 |

  Scenario: An unreadable entry is in the list when the host begins to read it
    # Guards against a host that can never read the list at its start.
    Given a list of workers with an entry whose labels are deeply nested
    And an entry host that follows the list of workers
    When a worker joins
    Then the host lists that worker and those before it, but not the unreadable entry
    And no task of the host has failed

  Scenario: An unexpected error while an entry is applied costs that entry alone
    # Guards against faults of the program itself that nobody has foreseen.
    Given an entry host that follows the list of workers
    And a fault of the program that shows when the entry "odd" is applied
    When another writer leaves an entry whose seq is null, and a worker joins afterwards
    Then the host lists that worker and those before it, but not the unreadable entry
    And one log line names the unreadable entry, however long it stays

  Scenario: Entries whose keys are no UTF-8 are left out
    Given an entry host that follows the list of workers
    When an entry with a key that is no UTF-8 is written, and a worker joins afterwards
    Then the host lists that worker and those before it, but not the unreadable entry

  Scenario Outline: A worker whose newest entry is unreadable keeps its address, but gets no tasks
    # Guards against tasks that are placed by a capacity that is no longer the worker's, and against
    # a running worker that is given up.
    Given an entry host that follows the list of workers, which <guard>
    When another writer replaces the entry of w1 by one whose capacity.cpu is a negative number
    Then w1 is listed, and its capacity is not used
    When the host follows the list for 10 s
    Then w1 is listed, and its capacity is not used
    When w1 writes its entry again
    Then w1 is listed, and its capacity is used

    Examples:
      | guard            |
      | refuse overload  |
      | start everything |

  Scenario: A worker whose newest entry is unreadable is gone once its entry is removed
    Given an entry host that follows the list of workers
    When another writer replaces the entry of w1 by one whose capacity.cpu is a negative number
    And the entry of w1 is removed and the host follows the list for 10 s
    Then w1 is not listed

  Scenario: A malformed configuration or wave does not hide a later one
    Given an entry host that follows the list of workers
    When 80 random malformed configurations and waves are written, each followed by a valid configuration
    Then the host has applied each valid configuration
    And no task of the host has failed

  Scenario: Random malformed entries of workers do not hide later ones
    Given an entry host that follows the list of workers
    When 250 random malformed entries are written, each followed by the entry of another worker
    Then the host lists each of these workers
    And every listed worker has an address, a port and a capacity that it may have
    And no task of the host has failed

  Scenario: An unreadable assignment of a service does not keep others from getting a partition
    # Guards against a service that is assigned a second partition, which would hide its workflows.
    Given a layout whose record of the service "office" is an integer of 400 digits
    And an entry host that follows the list of workers
    When the operator adds the services "office" and "booking"
    Then "booking" has a partition and "office" has none
    And the layout's record of "office" is unchanged

  Scenario Outline: A malformed item of a page costs that item alone
    Given a list of workers whose page has the item <item>
    And an entry host that follows the list of workers
    When a worker joins
    Then the host lists that worker and those before it, but not the unreadable entry
    And no task of the host has failed

    Examples:
      | item                          |
      | {"key":"odd","value":"***"}   |
      | {"key":"odd","value":7}       |
      | {"value":"e30="}              |
      | {"key":7,"value":"e30="}      |
      | [[["odd"]]]                   |
      | 1e999                         |

  Scenario: Random malformed records of an earlier owner do not keep the next one from taking over
    # Guards against a partition that no owner can take over.
    When 300 random malformed records are read by a new owner
    Then it takes over each time and has the workflow whose records are readable

  Scenario Outline: Malformed run times of a queue do not keep a new owner from taking over
    When the recorded run times of a queue are <value>, and a new owner reads them
    Then it takes over each time and has the workflow whose records are readable

    Examples:
      | value                    |
      | deeply nested            |
      | deeply nested objects    |
      | an empty list            |
      | text that is no UTF-8    |

  Scenario Outline: Run times beyond all bounds are not learned from
    # They raised OverflowError at the next submission, and ZeroDivisionError at the next end.
    When the recorded statistics of a queue are <value>, and a new owner reads them
    Then it estimates and learns run times as without them

    Examples:
      | value                    |
      | [50, 1.5e30]             |
      | [-1, 0.5]                |
      | [3, 0, 1, 0, 1, -1e300]  |

  Scenario Outline: Records that cannot be read never shorten a wait
    # Guards against leases that are taken to be over, and cordons that end, by a damaged record.
    When a new owner reads <value> as the time for which w0 was unresponsive and as its cordon
    Then w0 counts as unresponsive from now on, and is cordoned for the longest time

    Examples:
      | value                     |
      | an integer of 400 digits  |
      | an integer of 5000 digits |
      | text                      |

  Scenario: Random malformed reports do not end the reports of a worker
    # Guards against a worker that is taken for unresponsive, so that its work is started again.
    Given a worker that reports to its owner
    When 200 random malformed reports arrive, each followed by valid ones
    Then the owner has the worker as responsive after each of them
    And no task of the host has failed

  Scenario: A report with a malformed row is not taken in part
    # Guards against a run that counts as ended since its row was left out.
    When a report arrives whose second of three running tasks has a malformed name
    Then the whole report is rejected

  Scenario: A malformed machine costs that machine alone, and counts as down
    # Guards against upkeep beyond the limit of a wave while a machine in upkeep cannot be read.
    When random malformed machines are listed between two valid ones
    Then each list has both valid machines, and a named malformed one is down

  Scenario: Random malformed submissions are answered
    When 200 random malformed submissions arrive
    Then each is accepted or answered with status 400 and findings

  Scenario: A submission whose occurrences would fill the memory is rejected
    When a job of 10 tasks is submitted with a repeatCount of 9007199254740991
    Then it is answered with status 400 and a finding at /repeatCount

  Scenario: Random malformed settings are rejected with findings
    When 150 random malformed settings are read
    Then each is rejected with findings or has values within bounds

  Scenario: Malformed messages of peers do not keep later calls from being served
    # Guards against an expiry that is no number, which would never pass.
    When malformed messages of peers arrive at an entry host, each followed by a call
    Then each call is served, and none whose expiry is no number

  Scenario: Malformed replies on a connection to a peer do not hide the valid one
    # Guards against a connection whose replies are no longer read, and a peer's clock that is no number.
    When a peer sends malformed replies ahead of the valid one to each of 10 calls
    Then each call gets its valid reply
    And no task of the host has failed

  Scenario: Malformed replies of a peer leave the outcome of a call unknown
    When an owner replies with malformed documents to a forwarded submission
    Then the outcome of the submission is unknown each time

  Scenario: An owner whose name in the group is no address is not called
    # Guards against calls that fail for good when another program joins the group of the owners.
    When the group names owners as null, "someone" and "10.1.1.1:99999"
    Then none of them is reached, and no call may have taken effect
