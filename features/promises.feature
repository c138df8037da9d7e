Feature: The judges of the demonstration notice a broken promise

  Scenario: A sound run holds every promise
    # Guards against a check that reports a broken promise for a sound run.
    Given the evidence of a sound run
    Then every promise is held

  Scenario Outline: A run with <fault> is noticed
    # Guards against a check that reports its promise as held whatever the evidence shows.
    Given the evidence of a sound run
    But with <fault>
    Then exactly the promise "<promise>" is not held

    Examples:
      | fault                             | promise                                    |
      | two hosts of one pool out at once | Every service stays within                 |
      | a request on a host of no pool    | A host belongs to exactly one pool         |
      | a host in two streams             | A host belongs to exactly one pool         |
      | a foreign answer                  | A caller receives the whole answer         |
      | an answer that nobody ran         | A caller receives the whole answer         |
      | a connection broken by a live one | A caller receives the whole answer         |
      | a rejected request that ran       | A request rejected as safe to retry        |
      | a key that ran twice              | A non-idempotent request runs at most once |
      | no key served in the outage       | A non-idempotent request runs at most once |
      | new work 4 s after a drain        | A draining target                          |
      | drains that are all short         | A draining target                          |
      | a request cut off by a stop       | Every planned stop                         |
      | a stop with status 1              | Every planned stop                         |
      | a roll-out of 6 s                 | An accepted configuration                  |
      | a configuration that reverts      | An accepted configuration                  |
      | two winners of a race             | An accepted configuration                  |
      | a lost job                        | No job is lost                             |
      | a job that is never accepted      | No job is lost                             |
      | a doubled job                     | No job is lost                             |
      | a rejected job that ran           | No job is lost                             |
      | a silence noticed after 6 s       | A silent connection                        |
      | a repeatable request left unknown | A silent connection                        |

  Scenario: Lost records of workers refute every promise
    # Guards against a verdict based on records from which executions are missing.
    Given the evidence of a sound run
    But with 1 execution dropped from the records
    Then no promise is held
