@process
Feature: Workflows on the platform
  Entry hosts run against stand-ins of the platform; the stand-in workers count the task runs.

  Background:
    Given 2 entry hosts and 2 workers on the platform

  Scenario: A job is stored, run and shown through any entry host
    When job 1 of 3 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-0
    And job 1 becomes completed through entry-1
    And each of its 3 tasks completed exactly once
    And job 2 is unknown through either entry host

  Scenario: A step waits for those that it needs
    When job 1 of two steps is submitted through entry-1
    Then job 1 becomes completed through entry-0
    And no task of the second step started before the first step had ended

  Scenario: A repeated submission remains one job
    When job 1 of 2 tasks is submitted through entry-0
    And job 1 of 2 tasks is submitted through entry-1
    Then job 1 becomes completed through entry-1
    And each of its 2 tasks completed exactly once

  Scenario: A cancelled job stops and starts nothing more
    Given tasks run for 30 s
    When job 1 of 2 tasks is submitted through entry-0
    And all its tasks run
    And job 1 is cancelled through entry-1
    Then job 1 becomes cancelled through entry-0
    And all its tasks stop within 2 s and stay stopped

  Scenario: A job is cancelled before its new owner knows its worker
    # Guards against a new owner that adopts the runs of a cancelled job, and renews their leases,
    # once their worker is listed (seen as rule UNASKED on day trouble-1 of tvpub-sched, seed
    # 109658018970).
    Given tasks run for 30 s
    When long-running job 1 of 2 tasks is submitted through entry-0
    And all its tasks run
    And all leases last 20 s more
    And both entry hosts are killed
    And w0 and w1 are not listed
    And a new entry host starts
    And job 1 is cancelled through entry-9
    And w0 and w1 are listed again
    Then all its tasks stop within 2.5 s and stay stopped

  Scenario: A cancel that reaches a deposed owner is not told that there is no such job
    # Guards against a former owner that answers a cancel with 410 while the job continues at its
    # new owner (soak test, right after all partitions were reassigned).
    Given the owner of the jobs
    Then cancelling job 3 through entry-0 is answered 410
    When its partition is given a later epoch
    Then cancelling job 1 at the former owner is answered unready

  Scenario: An owner that is still reading when its partition has been elsewhere reads again
    # Guards against an accepted job that no entry host knows (soak test, seed 447128, on a loaded
    # machine).
    Given the owner of the jobs
    When its partition is assigned to another owner, which accepts job 7, and back while it is loading
    Then job 7 is known through entry-1

  Scenario: A killed owner is followed by another and no task runs twice
    Given tasks run for 3 s
    When job 1 of 4 tasks is submitted through entry-0
    And all its tasks run
    And the owner of the partition is killed
    Then job 1 becomes completed through the other entry host
    And each of its 4 tasks completed exactly once
    And no task ever ran twice at the same time

  Scenario: All partitions are dealt anew at once
    # A former owner keeps sending orders until it reads the new assignment; these orders must not
    # take effect.
    Given tasks run for 1 s
    When jobs 1 to 5 of 4 tasks are submitted and the partitions are reassigned after each
    Then jobs 1 to 5 become completed
    And no task ever ran twice at the same time
    And no task completed twice

  Scenario: A generation that changes does not fence off the owner's own append
    # Guards against an owner whose own append is fenced off when the generation changes: it then
    # stops owning the partition although no other host took it. Jobs were lost and tasks ran twice
    # (seen as rules LOST and TWICE on day trouble-2 of ugnsrent-slots).
    Given appends take 0.2 s
    When jobs 1 to 6 of 1 task are submitted while a third entry host joins
    Then jobs 1 to 6 become completed
    And no task completed twice
    And no append used a lower epoch than an earlier one in its partition

  Scenario: An answer of the store that is lost is asked for again
    When the next 3 answers to writes are lost
    And job 1 of 2 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1
    And each of its 2 tasks completed exactly once

  Scenario: A store that is away rejects new jobs at once and loses nothing
    When the store is unavailable
    Then a submission through the owner is answered 429, 503 or 504 within 2.6 s
    When the store is available again
    And a caller that honours Retry-After submits job 9 of 2 tasks through entry-0
    Then job 9 becomes completed through entry-1

  Scenario: An entry host without contact to the store sends callers elsewhere
    # A host without the store owns no partition and does not learn who does; callers that stay
    # connected to it only get 503.
    When the store is unavailable
    Then every entry host is unready within 3 s and closes its callers' connections
    When the store is available again
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
    And no task completed twice

  Scenario: The outcome of a start order is unknown
    When the next start order on each worker is executed but not answered
    And job 1 of 2 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-0
    And each of its 2 tasks completed exactly once

  Scenario: A start order that is carried out late has no effect
    # An unanswered order may be executed seconds later, when its task already runs elsewhere.
    When start orders on w0 are executed 3 s late
    And job 1 of 4 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1
    And no task ever ran twice at the same time
    And no task completed twice

  Scenario: A worker is born again under its identifier
    # A restarted worker numbers its task ends from the start, so an acknowledgement meant for its
    # previous incarnation would make it discard new ends.
    Given tasks run for 1 s
    When job 1 of 4 tasks is submitted through entry-0
    And all its tasks run
    And w0 and w1 crash and start again at once
    Then job 1 becomes completed through entry-1
    And no task ever ran twice at the same time

  Scenario: The next life of a worker carries out an order before its birth is known
    # Guards against tasks that are started again although they have ended: the first report of the
    # new incarnation also lists the ends of runs that were ordered before it was known, and these
    # runs were assumed to be lost with the old incarnation (soak test, seed 447128).
    Given tasks run for 0.4 s
    When job 1 of 4 tasks is submitted through entry-0
    And all its tasks run
    And w0 and w1 crash and start again at once
    And job 2 of 4 tasks is submitted through entry-0
    Then job 2 becomes completed through entry-1
    And each task of job 2 completed exactly once

  Scenario: A task on a silent worker runs elsewhere once its lease has lapsed
    Given tasks run for 2 s
    When job 1 of 4 tasks is submitted through entry-0
    And all its tasks run
    And w0 stops responding
    Then job 1 becomes completed through entry-1
    And no task ever ran twice at the same time

  Scenario: A worker that leaves gets no new tasks
    When w0 reports that it is draining
    And jobs 1 to 4 of 2 tasks are submitted
    Then jobs 1 to 4 become completed
    And no task started on w0

  Scenario: A cordon outlives its owner
    # Guards against an order for a machine on which the next owner has placed long-running
    # tasks (seen as rule AVAIL on day trouble-2 of ugnsrent-slots).
    When w0 is cordoned for 20 s and its owner is killed
    And jobs 1 to 4 of 2 tasks are submitted
    Then jobs 1 to 4 become completed
    And no task started on w0

  Scenario: A step runs only where the placement policy allows it
    Given the queue has a placement policy that allows w1
    When job 1 of 4 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1
    And no task started on w0
    And no worker refused a start order for its ticket
    And the policy was asked at most 4 times

  Scenario: A gang whose members do not all start is stopped and starts anew together
    # Members that wait for one that never starts occupy capacity until they time out.
    Given tasks run for 2 s
    And w0 refuses every start
    When gang job 1 of 4 tasks with at most 2 on one worker is submitted through entry-0
    Then its started tasks are stopped within 1.5 s
    When w0 accepts starts again
    Then job 1 becomes completed through entry-1
    And the members of each run started within 1 s

  Scenario: A ticket that a worker refuses is asked for again
    # A ticket is valid only for the incarnation of the worker that it names.
    Given the queue has a placement policy that allows w1
    When w1 requires a new ticket, which the policy issues after 1 s
    And job 1 of 2 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1

  Scenario: A long-running task is restarted however it ends
    When long-running job 1 of 2 tasks is submitted through entry-0
    Then each of its 2 tasks starts at least 3 times
    When job 1 is cancelled through entry-0
    Then all its tasks stop within 2 s and stay stopped

  Scenario: A job whose tasks always fail is shown as failed after its attempts
    Given every run fails
    When job 1 of 1 task is submitted through entry-0
    Then job 1 becomes failed through entry-1
    And it had 2 runs

  Scenario: The number of waiting jobs is told by any entry host
    Given tasks run for 30 s
    When job 1 of 2 tasks of 16 cores is submitted through entry-0
    And long-running job 2 of 1 task of 16 cores is submitted through entry-0
    Then entry-0 and entry-1 both report 1 waiting job

  Scenario: A submission that was held back on its way is not taken in
    # Guards against a job that starts seconds after all its submission attempts were
    # rejected (seen as rule REFUSED on hunt day hunt-1634-27 of ugnsrent-slots).
    When a submission of job 1 reaches its owner 3 s after it was forwarded
    Then job 1 is unknown through either entry host

  Scenario Outline: An entry host whose time of day is wrong still forwards submissions
    # Guards against submissions that the owner drops as too old, or takes in however old they are,
    # because two hosts' times of day are compared.
    When the time of day on entry-0 jumps by <jump> s
    Then jobs 1 to 4 are accepted through each entry host in turn

    Examples:
      | jump |
      | 9    |
      | -9   |

  Scenario: A submission reaches an owner that has been restarted since the last call
    Then jobs 1 to 2 are accepted through each entry host in turn
    When entry-0 is restarted as another process at its address
    And entry-1 is restarted as another process at its address
    Then jobs 3 to 4 are accepted through each entry host in turn

  Scenario: An owner whose permission ended while a connection was opened sends no order
    # Guards against a paused or delayed process that starts tasks after its permission has run out.
    Given the owner of the jobs
    When it sends w0 a start order for which its permission ends before the connection is open
    Then the order was not sent
    And no task started on w0

  Scenario: A rejection after an attempt without answer is not told as one
    When the first owner does not answer a submission and the second one rejects it
    Then the caller's entry host reports its outcome as unknown

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
    When the store holds malformed entries of workers and configurations
    And job 1 of 2 tasks is submitted through entry-0
    Then job 1 becomes completed through entry-1

  Scenario: A planned stop hands the partition over and cuts nothing off
    Given tasks run for 1 s
    When jobs 1 to 4 of 2 tasks are submitted while the owner stops gracefully
    Then jobs 1 to 4 become completed
    And every submission was answered
    And no task completed twice

  Scenario: A task that crashes its workers is given up, and the operator is told
    # Guards against a task that takes down one worker after the other (incident 011).
    Given tasks run for 1 s
    And task 0 of job 1 crashes the worker that starts it
    When job 1 of 1 task is submitted through entry-0
    And jobs 2 to 5 of 2 tasks are submitted
    Then job 1 becomes failed through entry-1
    And jobs 2 to 5 become completed
    And at most 3 workers have crashed
    And the owner counts 1 task that crashes its workers

  Scenario: A killed owner's count of crashes is continued by the next one
    Given tasks run for 1 s
    And task 0 of job 1 crashes the worker that starts it
    When job 1 of 1 task is submitted through entry-0
    And a worker has crashed
    And the owner of the partition is killed
    Then job 1 becomes failed through the other entry host
    And at most 4 workers have crashed

  Scenario: Workers that start everything and shrink are not filled beyond their capacity
    Given tasks run for 1 s
    And the workers of configuration 2 start everything
    When every worker shrinks to 2 cores
    And jobs 1 to 6 of 3 tasks are submitted
    Then jobs 1 to 6 become completed
    And no worker was filled beyond its capacity
