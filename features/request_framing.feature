Feature: Framing of callers' requests
  Requests are framed in bounded memory before they are handled.

  Scenario: Any split of the bytes gives the same requests
    # Guards against a request that is framed differently when it arrives in other pieces, by which
    # callers could get a body handled as a request, or past a limit.
    Then the requests of 300 random streams do not depend on how the bytes are split

  Scenario: A body above the collected size is passed on in parts
    # Guards against a large body that is held completely, and against bytes lost between parts.
    Then bodies in parts are the same as those that are collected in 300 random streams
    And a body of 6000 bytes in parts is never held beyond its collected size

  Scenario: What could be read in two ways, or exceeds a limit, is refused
    # Guards against a request that aiohttp frames differently, and against unbounded parts of it.
    Then each refused request gets its status, however its bytes are split

  Scenario: What is within the limits is served
    # Guards against a limit that callers within the configuration's limits reach.
    Then a head of 16000 bytes in one field is passed on
    And a body of 262144 bytes is passed on by length and in chunks of 1, 3, 17 and 65536 bytes

  Scenario: Very small chunks of different sizes are decoded a part at a time
    # Guards against a crowd whose chunks take all processor time: an ordinary request then got no
    # answer in 20 s.
    Given 60000 bytes of chunks of 1 and 2 bytes in turn
    Then no call decodes more than 400 chunks, and all are decoded without further bytes

  Scenario: Requests one after the other are taken one by one
    Given three requests in one piece
    Then they are taken one at a time, and nothing is held afterwards

  Scenario: A caller that waits before it sends the body is told to continue
    Then only a head with Expect whose body has not arrived asks for the interim response

  Scenario: An upgrade is not offered to the handler
    # Guards against bytes after such a head that aiohttp takes for another protocol.
    Then a request that asks for an upgrade is passed on without it

  Scenario: A change of the limits applies to a request that has begun
    Given a head that is incomplete at 1000 bytes
    When the limit of this head becomes 900 bytes
    Then it is refused with 431
