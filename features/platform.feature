@process
Feature: Workflows on the platform
  Entry hosts run against stand-ins of the platform; what ran is counted at the workers.

  Background:
    Given 2 entry hosts and 2 workers on the platform

  Scenario: A job is stored, run and shown through any entry host
    When job 1 of 3 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-0
    And job 1 becomes completed through entry-1
    And each of its 3 tasks ended well once
    And job 2 is unknown through either entry host

  Scenario: A step waits for those that it needs
    When job 1 of two steps is submitted through entry-1
    Then job 1 becomes completed through entry-0
    And no task of the second step began before the first had ended

  Scenario: A repeated submission remains one job
    When job 1 of 2 tasks is submitted through entry-0
    And job 1 of 2 tasks is submitted through entry-1
    Then job 1 becomes completed through entry-1
    And each of its 2 tasks ended well once

  Scenario: A cancelled job stops and starts nothing more
    Given tasks run for 30 s
    When job 1 of 2 tasks is submitted through entry-0
    And all its tasks run
    And job 1 is cancelled through entry-1
    Then job 1 becomes cancelled through entry-0
    And nothing of it runs within 2 s

  Scenario: A job is cancelled before its new owner knows its worker
    # Seen on tvpub-sched trouble-1, seed 109658018970: UNASKED, the new owner adopted and renewed
    # the runs of a cancelled job once the worker was listed.
    Given tasks run for 30 s
    When long-running job 1 of 2 tasks is submitted through entry-0
    And all its tasks run
    And all leases last 20 s more
    And both entry hosts are killed
    And w0 and w1 are not listed
    And a new entry host starts
    And job 1 is cancelled through entry-9
    And w0 and w1 are listed again
    Then nothing of it runs within 2.5 s

  Scenario: A cancel that reaches a deposed owner is not told that there is no such job
    # Seen in the soak: right after all partitions were dealt anew a cancel was answered 410, and the
    # job went on at its new owner.
    Given the owner of the jobs
    Then a cancel of job 3 through entry-0 is answered 410
    When a later epoch has been set for its partition
    Then the former owner does not know whether there is a job 1

  Scenario: An owner that is still reading when its partition has been elsewhere reads again
    # Found by the soak, seed 447128 beside load: an accepted job was not known at any entry host.
    Given the owner of the jobs
    When its partition goes to another owner, which takes job 7 in, and back while it is reading
    Then job 7 is known through entry-1

  Scenario: A killed owner is followed by another and no task runs twice
    Given tasks run for 3 s
    When job 1 of 4 tasks is submitted through entry-0
    And all its tasks run
    And the owner of the partition is killed
    Then job 1 becomes completed through the other entry host
    And each of its 4 tasks ended well once
    And no task ever ran twice at the same time

  Scenario: All partitions are dealt anew at once
    # A deposed owner goes on until it reads the new deal; its orders must not take effect.
    Given tasks run for 1 s
    When jobs 1 to 5 of 4 tasks are submitted and the partitions are dealt anew after each
    Then jobs 1 to 5 become completed
    And no task ever ran twice at the same time
    And no task ended well twice

  Scenario: A generation that changes does not fence off the owner's own append
    # Seen on ugnsrent-slots trouble-2: LOST and TWICE, since an owner lost its partition to itself.
    Given appends take 0.2 s
    When jobs 1 to 6 of 1 task are submitted while a third entry host joins
    Then jobs 1 to 6 become completed
    And no task ended well twice
    And no owner used an epoch twice after losing it

  Scenario: An answer of the store that is lost is asked for again
    When the next 3 answers to writes are lost
    And job 1 of 2 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1
    And each of its 2 tasks ended well once

  Scenario: A store that is away rejects new jobs at once and loses nothing
    When the store is away
    Then a submission through the owner is answered 429, 503 or 504 within 2.6 s
    When the store is back
    And a caller that comes back when told to submits job 9 of 2 tasks through entry-0
    Then job 9 becomes completed through entry-1

  Scenario: An entry host without contact to the store sends callers elsewhere
    # A host that is cut off owns nothing and learns of no owner; callers that stay there get 503.
    When the store is away
    Then every entry host is unready within 3 s and closes its callers' connections
    When the store is back
    Then every entry host is ready within 3 s

  Scenario: The store forgets its history
    When job 1 of 2 tasks is submitted through entry-0
    And the history of all topics expires
    And configuration 2 adds the queue /extra/
    Then the queue /extra/ is served through both entry hosts within 2 s
    And job 1 becomes completed through entry-1

  Scenario: All entry hosts are lost right after an acceptance
    Given tasks run for 1 s
    When job 1 of 2 tasks is submitted through entry-0
    And both entry hosts are killed
    And the history of all topics expires
    And a new entry host starts
    Then job 1 becomes completed through the new entry host
    And no task ended well twice

  Scenario: The outcome of a start order is unknown
    When the next start order on each worker is carried out and not answered
    And job 1 of 2 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-0
    And each of its 2 tasks ended well once

  Scenario: A start order that is carried out late has no effect
    # An order without answer may be carried out seconds later, when its task runs elsewhere.
    When start orders on w0 are carried out 3 s late
    And job 1 of 4 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1
    And no task ever ran twice at the same time
    And no task ended well twice

  Scenario: A worker is born again under its identifier
    # Its ends are numbered anew, so that an old acknowledgement would make it forget new ends.
    Given tasks run for 1 s
    When job 1 of 4 tasks is submitted through entry-0
    And all its tasks run
    And w0 and w1 crash and start again at once
    Then job 1 becomes completed through entry-1
    And no task ever ran twice at the same time

  Scenario: The next life of a worker carries out an order before its birth is known
    # Found by the soak, seed 447128: the report that told of the new life also listed the ends of
    # these runs; they were given up as lost with the old life and started again.
    Given tasks run for 0.4 s
    When job 1 of 4 tasks is submitted through entry-0
    And all its tasks run
    And w0 and w1 crash and start again at once
    And job 2 of 4 tasks is submitted through entry-0
    Then job 2 becomes completed through entry-1
    And each task of job 2 ended well once

  Scenario: A task on a silent worker runs elsewhere once its lease has lapsed
    Given tasks run for 2 s
    When job 1 of 4 tasks is submitted through entry-0
    And all its tasks run
    And w0 falls silent
    Then job 1 becomes completed through entry-1
    And no task ever ran twice at the same time

  Scenario: A worker that leaves gets no new tasks
    When w0 says that it drains
    And jobs 1 to 4 of 2 tasks are submitted
    Then jobs 1 to 4 become completed
    And nothing began on w0

  Scenario: A cordon outlives its owner
    # Seen on ugnsrent-slots trouble-2: AVAIL, an order for a machine on which the next owner had
    # placed long-running tasks.
    When w0 is cordoned for 20 s and its owner is killed
    And jobs 1 to 4 of 2 tasks are submitted
    Then jobs 1 to 4 become completed
    And nothing began on w0

  Scenario: A step runs only where the placement policy allows it
    Given the queue has a placement policy that allows w1
    When job 1 of 4 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1
    And nothing began on w0
    And no start order lacked its ticket
    And the policy was asked at most 4 times

  Scenario: A gang whose members do not all start is stopped and starts anew together
    # Members that wait for one that never comes hold room until they time out.
    Given tasks run for 2 s
    And w0 refuses every start
    When gang job 1 of 4 tasks with at most 2 on one worker is submitted through entry-0
    Then what began of it is stopped within 1.5 s
    When w0 accepts starts again
    Then job 1 becomes completed through entry-1
    And the members of each run began within 1 s

  Scenario: A ticket that a worker refuses is asked for again
    # Tickets end with the life of the worker that they name.
    Given the queue has a placement policy that allows w1
    When w1 changes its ticket after the first answer
    And job 1 of 2 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1

  Scenario: A long-running task is restarted however it ends
    When long-running job 1 of 2 tasks is submitted through entry-0
    Then each of its 2 tasks begins at least 3 times
    When job 1 is cancelled through entry-0
    Then nothing of it runs within 2 s

  Scenario: A job whose tasks always fail is shown as failed after its attempts
    Given every run fails
    When job 1 of 1 task is submitted through entry-0
    Then job 1 becomes failed through entry-1
    And it had 2 runs

  Scenario: The number of waiting jobs is told by any entry host
    Given tasks run for 30 s
    When job 1 of 2 tasks of 16 cores is submitted through entry-0
    And job 2 of 1 task of 16 cores with a free objective is submitted through entry-0
    Then entry-0 and entry-1 both tell that 1 job waits

  Scenario: A submission that was held back on its way is not taken in
    # Seen on ugnsrent-slots hunt-1634-27: REFUSED, a job whose attempts had all been rejected began
    # seconds later.
    When a submission of job 1 reaches its owner 3 s after it was passed on
    Then job 1 is unknown through either entry host

  Scenario: A rejection after an attempt without answer is not told as one
    When the first owner does not answer a submission and the second one rejects it
    Then the caller's entry host takes its outcome for unknown

  Scenario Outline: A malformed submission gets one clear error and is never stored
    When <document> is submitted as job 1
    Then the answer is 400 and names <place>
    And job 1 is unknown through either entry host

    Examples:
      | document                                                 | place           |
      | "text"                                                   | object          |
      | {"spec": 7, "steps": [{"count": 1}]}                     | /spec           |
      | {"steps": []}                                            | /steps          |
      | {"steps": [{"count": 1, "after": [0]}]}                  | /steps/0/after  |
      | {"steps": [{"count": "many"}]}                           | /steps/0/count  |
      | {"steps": [{"count": 0}]}                                | /steps/0/count  |

  Scenario: Entries that can't be read name no worker and stop nothing
    When the store holds entries of workers and configurations that can't be read
    And job 1 of 2 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1

  Scenario: A planned stop hands the partition over and cuts nothing off
    Given tasks run for 1 s
    When jobs 1 to 4 of 2 tasks are submitted while the owner stops gracefully
    Then jobs 1 to 4 become completed
    And every submission was answered
    And no task ended well twice
