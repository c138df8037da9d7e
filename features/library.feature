Feature: The parts of the library can be used alone

  Scenario: Every example in the documentation of the library runs
    # Guards against examples that no longer match the code.
    When the examples of all modules of carawayshore run
    Then none fails and there are at least 10

  Scenario: The library imports nothing of the daemon
    # Guards against a library module that other programs cannot embed without the daemon.
    When carawayshore is imported in a separate process
    Then no module of carawayd, aiohttp, zmq or mode is loaded
