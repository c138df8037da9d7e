Feature: A repeated submission runs once, whichever version of the configuration an entry host knows
  A submission is checked at the former owners of its queue and accepted by the present one. Entry
  hosts and owners may know different versions at the same time.

  # Guards against a job that runs twice (rule TWICE, review case 6): an entry host that has not seen
  # its queue move submits a repeat to the former owner.
  Scenario Outline: An entry host that is cut off from the store gets a repeated submission
    Given two entry hosts, and the owners of booking, office and depot
    When the second host is cut off from the store, and <owners>
    And <history>
    And job 2 is submitted at the first host
    And <between>
    And job 2 is submitted at the second host
    Then the first host answered 200 and the second one 503
    And job 2 has been accepted by one owner

    Examples:
      | owners                           | history                               | between                                |
      | the owners follow                | the operator sends the queue to office             | 1 s passes                             |
      | the owners are cut off as well   | the operator sends the queue to office             | 1 s passes                             |
      | the owners are cut off as well   | the operator sends the queue to office             | the owner of booking is taken over     |
      | the owners are cut off as well   | the operator sends the queue to office and then to depot | 1 s passes                             |
      | the owners follow                | the operator sends the queue to office and then to depot | the owner of booking is taken over     |

  # Guards against the same if the entry host knows a version between the first and the last one.
  Scenario: An entry host knows the first move and not the second one
    Given two entry hosts, and the owners of booking, office and depot
    When the operator sends the queue to office
    And the second host is cut off from the store, and the owners are cut off as well
    And the operator sends the queue to depot
    And job 2 is submitted at the first host
    And job 2 is submitted at the second host
    Then the first host answered 200 and the second one 503
    And job 2 has been accepted by one owner

  # Guards against the same in the other order, and against a queue that accepts nothing after it has
  # moved back.
  Scenario: A queue that moves back accepts submissions, and its other owner accepts none
    Given two entry hosts, and the owners of booking, office and depot
    When the operator sends the queue to office
    And job 1 is submitted at the first host
    And the second host is cut off from the store, and the owners are cut off as well
    And the operator sends the queue to booking
    And job 2 is submitted at the first host
    And the second host forgets the first version
    And job 2 is submitted at the second host
    Then the first host answered 200 and the second one 503
    And job 2 has been accepted by one owner

  # Guards against a repeat that is accepted while the question about it is answered.
  Scenario: A submission arrives at the former owner just before and just after the question
    When in 31 plays the queue moves to office while the second host and the owners are cut off, and job 2 is submitted at both hosts, up to 30 ms apart
    Then one owner has accepted the job in each play, now the former and now the present one

  # Guards against a job that is accepted for a service to which its queue no longer leads.
  Scenario: The former owner knows the move, and nobody has asked it
    Given two entry hosts, and the owners of booking, office and depot
    When the second host is cut off from the store, and the owners follow
    And the operator sends the queue to office
    And job 2 is submitted at the second host
    Then the second host answered 503
    And job 2 has been accepted by no owner

  Scenario: An entry host of the version before this one submits to the owner of this one
    Given two entry hosts, and the owners of booking, office and depot
    When a host of the version before this one submits job 3
    Then job 3 has been accepted by one owner
