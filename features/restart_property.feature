Feature: Long-running tasks run again in time, whatever comes together

  Scenario: Reasons to wait follow each other in random order
    # Guards against combinations of reasons that keep a task down (rule LOST): lost, drained,
    # cordoned and shrunk workers, refused and late starts, old entries, limits of steps, tickets,
    # short work that fills the workers, and owners that follow each other.
    When 40 random interleavings of reasons to wait run with seed 2
    Then no long-running task was kept from starting
