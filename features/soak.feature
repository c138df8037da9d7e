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

    # A host of seed 447128 is killed and starts again within 0.3 s. Its records were lost while it
    # joined the group as the same member (features/restart.feature).
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

    Examples: with jobs of up to three steps, and more room than they need
      | seed | seconds | edition |
      | 43   | 10      | 5       |

    Examples: with a time in which no worker takes start orders, and counts of the jobs that wait
      | seed | seconds | edition |
      | 61   | 10      | 6       |
