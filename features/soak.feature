@process
Feature: The promises hold under random faults
  Real entry hosts run as processes behind proxies; faults overlap. tools/soak.py runs further seeds.

  Scenario Outline: A short soak
    # Guards against failures under combinations of faults that no focused scenario covers.
    Given a soak of edition <edition> of <seconds> s with seed <seed>
    When the soak is run
    Then the soak reports no violation

    Examples: drawn by hand
      | seed | seconds | edition |
      | 1    | 8       | 1       |

    Examples: a seed that failed; started orders were given up with the old life of their worker
      | seed   | seconds | edition |
      | 447128 | 15      | 1       |

    Examples: with jumps of the time of day, and workers that fill up and accept everything
      | seed | seconds | edition |
      | 2    | 10      | 2       |

    Examples: with tasks that crash their workers, and workers that shrink
      | seed | seconds | edition |
      | 3    | 12      | 3       |

    Examples: with long-running tasks, and a worker that leaves for good under them
      | seed | seconds | edition |
      | 36   | 10      | 4       |
