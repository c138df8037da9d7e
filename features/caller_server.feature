Feature: The server for callers
  Requests within the limits are served as before; others are refused, and what is held for them is
  bounded.

  Scenario: Requests within the limits are served
    # Guards against limits that ordinary callers reach: a head of 16,000 bytes in one field was
    # answered with 400.
    Given a server for callers
    Then a request with a head of 16000 bytes in one field is answered with 200
    And a request with 300 fields is answered with 200
    And a body of 262144 bytes by length, in chunks of 7 and of 65536 bytes is answered with 200
    And a caller that waits for the interim response gets it, and then 200

  Scenario: Requests on one connection are served one after the other
    # Guards against a request that starts before the response to the one before it.
    Given a server for callers
    When 40 requests are sent at once on one connection
    Then they are answered in turn on the same connection

  Scenario: What follows a request in progress is not held without a limit
    # Guards against a caller that fills the memory behind a request that takes long.
    Given a server for callers
    When a caller sends a request that is held, and then 4 MB of further requests
    Then less than 100000 bytes are held for it
    And all its requests are answered once the first one is released

  Scenario Outline: A request beyond a limit is refused and the connection closed
    Given a server for callers
    When a connection carries <what>
    Then it is answered with <status> and disconnected, and counted as <reason>
    And nothing was handled

    Examples:
      | what                                 | status | reason     |
      | a head of 17000 bytes                | 431    | head-size  |
      | empty lines without end              | 431    | head-size  |
      | a length of 262145                   | 413    | body-size  |
      | chunks of 262145 bytes               | 413    | body-size  |
      | a whole body of 300000 bytes         | 413    | body-size  |
      | both a length and a transfer coding  | 400    | malformed  |
      | another protocol                     | 400    | malformed  |

  Scenario Outline: A request that does not arrive in time is refused
    Given a server for callers
    When a connection carries <what>
    And the server's clock advances by <seconds> s
    Then it is answered with <status> and disconnected, and counted as <reason>
    And nothing was handled

    Examples:
      | what             | seconds | status | reason       |
      | half a head      | 3.1     | 408    | head-timeout |
      | half a body      | 31      | 408    | body-timeout |
      | nothing          | 15.1    | 0      | idle         |

  Scenario: A stalled request is refused when memory is short
    # Guards against a request that is refused although another one has stalled.
    Given a server for callers on a machine of 2 MB
    When 5 callers send bodies that stop before the end
    Then the first 4 of them are answered with 503 and Retry-After, and disconnected
    And an ordinary request is answered with 200

  Scenario: Requests in progress keep their memory and new ones are refused
    Given a server for callers on a machine of 2 MB
    When a request with a body of 150000 bytes is held
    And a connection carries a whole body of 150000 bytes
    Then it is answered with 503 and disconnected, and counted as memory
    And the held request is answered once it is released

  Scenario: A change of the limits applies to an open connection
    Given a server for callers
    When a connection carries half a head
    And the limit of heads becomes 10 bytes
    And it sends another field
    Then it is answered with 431 and disconnected, and counted as head-size

  Scenario: A change of the limits applies to a connection that was used before
    # Guards against a handler that keeps the limits that were in force when it was created.
    Given a server for callers
    And a caller that has sent a request
    When the limits become 60000 bytes of head and 2000000 bytes of body
    Then a head of 50000 bytes in one field and a body of 1500000 bytes are served on it

  Scenario: A large body is streamed under flow control
    # Guards against a body that is held completely where large ones are legal.
    Given a server for callers that streams bodies above 262144 bytes
    When a caller sends 40 MB that the handler does not read yet
    Then less than 2000000 bytes are held for it
    When the handler reads on
    Then the request is answered with 200 on a connection that stays open

  Scenario: A caller that disconnects cancels its request
    Given a server for callers
    When a caller sends a request that is held, and disconnects
    Then its handling is cancelled
    And no connection is open

  Scenario: A caller that does not read its response is disconnected
    # Guards against connections that stay in progress for ever, since such a caller ends no response.
    Given a server for callers
    When a caller asks for 40 MB and reads nothing
    Then it is disconnected 31 s later, and counted as response-timeout
    And no connection is open

  Scenario: A stalled caller that has reset its connection is shed like others
    # Guards against an error on a connection that is gone, which ended that of another caller.
    Given a server for callers on a machine of 2 MB
    When a caller stops within a body, and resets its connection just before it is shed
    Then no connection is open
    And an ordinary request is answered with 200

  Scenario: What only aiohttp refuses is not logged for each request
    # Guards against callers that fill the log: each such request wrote a traceback.
    Given a server for callers
    When a connection carries a request without a host
    Then it is answered with 400 and disconnected, and counted as malformed
    And nothing was handled
    And nothing was logged as an error
