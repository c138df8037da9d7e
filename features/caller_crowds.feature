@process
Feature: Callers outside the limits
  Callers that nobody controls send what exceeds the limits, or stop before the end of a request and
  stay connected. The entry host runs as a process of its own on a machine that the test makes small.
  Only its life, its peak memory, its open descriptors and one ordinary request are checked.

  Scenario Outline: Crowds do not exhaust the memory (<mode>: <kinds>)
    # Guards against an entry host that holds what such callers send without a bound, so that it ends
    # for lack of memory, or no longer serves others.
    Given an entry host of the <mode> mode on a small machine
    When crowds send <kinds> and stay connected
    Then the entry host serves one ordinary request
    And it has stayed within its machine

    Examples:
      | mode     | kinds                                                            |
      | platform | heads over the limit, heads without end, empty lines without end |
      | platform | whole bodies, bodies in pieces                                   |
      | platform | bodies in large chunks                                           |
      | platform | bodies in very small chunks                                      |
      | embedded | heads over the limit, heads without end, empty lines without end |
      | embedded | whole bodies, bodies in pieces                                   |
      | embedded | bodies in large chunks                                           |
      | embedded | bodies in very small chunks                                      |

  Scenario Outline: Connections without a request do not exhaust the descriptors (<mode>)
    # Guards against an entry host that accepts more connections than it has descriptors, so that it
    # can open none to its workers and to the store.
    Given an entry host of the <mode> mode on a machine with few descriptors
    When crowds send idle connections and stay connected
    Then the entry host serves one ordinary request
    And it has stayed within its machine

    Examples:
      | mode     |
      | platform |
      | embedded |
