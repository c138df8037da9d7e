@process
Feature: Pools keep their long-running tasks at work while machines, hosts and orders fail
  A short seeded run of tools/pool_soak.py: entry hosts as processes, a store, workers, and a machines
  service whose machines leave, move and go through upkeep.

  # Guards against tasks that are away in a pool without a worker to spare (incident 020).
  Scenario: Five tasks, one a worker, in a pool that loses workers
    When the soak of pools is run for 1 series with seed 8
    Then the soak of pools reports no violation
