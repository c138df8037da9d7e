Feature: The fault matrix is whole and its pages are up to date

  Guards against a page or a scenario that differs from the table, and against a combination of step
  and fault that is missing without a reason.

  Scenario: The generated files agree with the table and the last whole run
    Then every generated file of the matrix is up to date

  Scenario: Every step meets every fault
    Then every cell of the matrix has a scenario or a reason why it cannot occur

  Scenario: Every sensible pair of faults is covered
    Then every sensible pair of faults has a scenario

  Scenario: The judge sees a request that ran twice
    Given a keyed request that two workers recorded
    Then the judge reports the promise at-most-once

  Scenario: The judge sees a not-run answer to a request that ran
    Given a request answered not-run that a worker recorded
    Then the judge reports the promise not-run
