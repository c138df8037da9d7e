@platform
Feature: A process that starts again while its group membership still runs
  The membership of a killed process lasts 1.5 s. A process that comes back within that time has
  nothing in memory, so it has to be another member, with partitions in a later generation.

  Background:
    Given 1 entry host and 2 workers on a platform where hosts restart

  Scenario: A restarted process joins the group as another member
    # Guards against two processes that write under one epoch and order under one fencing token,
    # if their settings give the seed of random choices.
    When entry-0 is killed and started again at once
    Then it has another member name than before

  Scenario: What a restarted process accepts is stored
    # Guards against an accepted job that is unknown after the next takeover: the store took the
    # appends for repeats of those that the former process had sent under the same epoch.
    Given workers take 30 s for each task
    When job 1 is accepted by entry-0
    And job 2 is accepted by entry-0
    And entry-0 is killed and started again at once
    And job 3 is accepted by entry-0
    Then the store has the records of jobs 2 and 3

  Scenario: A job that a restarted process accepted is known to its successor
    When job 1 is accepted by entry-0
    And entry-0 is killed and started again at once
    And job 2 is accepted by entry-0
    And entry-0 is killed and started again after its membership has expired
    Then jobs 1 and 2 become completed, with one run of each task
