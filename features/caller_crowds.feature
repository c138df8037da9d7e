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

  Scenario Outline: Crowds at other addresses do not exhaust the memory (<mode>, <names>: <kinds>)
    # Guards against a listener of the same process that holds without a bound what clients send, so
    # that the entry host ends for lack of memory although the address for callers has its bounds.
    Given an entry host of the <mode> mode on a small machine
    When crowds at its <names> addresses send <kinds>
    Then the entry host serves one ordinary request
    And its <name> address answers one ordinary request
    And it has stayed within its machine

    Examples:
      | mode     | names                         | name      | kinds                                                            |
      | platform | ready                         | ready     | heads over the limit, heads without end, empty lines without end |
      | platform | ready                         | ready     | whole bodies, bodies in large chunks, bodies in very small chunks |
      | platform | metrics                       | metrics   | heads over the limit, heads without end, empty lines without end |
      | platform | metrics                       | metrics   | whole bodies, bodies in large chunks, bodies in very small chunks |
      | embedded | operators                     | operators | heads over the limit, heads without end, empty lines without end |
      | embedded | operators                     | operators | whole bodies, bodies in large chunks, bodies in very small chunks |
      | platform | callers and ready and metrics | ready     | heads without end, whole bodies                                  |
      | embedded | callers and operators         | operators | heads without end, whole bodies                                  |

  Scenario Outline: Connections without a request at all addresses do not exhaust the descriptors (<mode>)
    # Guards against a bound on the connections of each listener that all of them together exceed.
    Given an entry host of the <mode> mode on a machine with few descriptors
    When crowds at its <names> addresses send idle connections
    Then the entry host serves one ordinary request
    And it has stayed within its machine

    Examples:
      | mode     | names                         |
      | platform | callers and ready and metrics |
      | embedded | callers and operators         |

  Scenario Outline: Each listener of an entry host has a bound (<mode>)
    # Guards against a new listener that no account of the process's memory knows of: it has to be
    # added to the crowds above, or to those with a protocol of their own (docs/design/callers.md).
    Given an entry host of the <mode> mode on a small machine
    Then it listens on no port without a bound

    Examples:
      | mode     |
      | platform |
      | embedded |
