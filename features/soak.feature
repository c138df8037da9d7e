@process
Feature: The promises hold under random faults
  Real entry hosts run as processes behind proxies; faults overlap. tools/soak.py runs further seeds.

  Scenario Outline: A short soak
    # Guards against failures under combinations of faults that no focused scenario covers.
    Given a soak of <seconds> s with seed <seed>
    When the soak is run
    Then the soak reports no violation

    Examples: drawn by hand
      | seed | seconds |
      | 1    | 8       |

    Examples: a seed that failed; started orders were given up with the old life of their worker
      | seed   | seconds |
      | 447128 | 15      |
