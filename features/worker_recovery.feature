Feature: A worker takes tasks again soon after each kind of fault

  # Guards against workers that are listed and well and stay unused, so that tasks wait although
  # there is room (rule LOST, incident 019).
  Scenario Outline: A worker that reports and has a current entry is used within 3 s
    When a worker that runs tasks has <fault>
    Then its link is usable within 3 s after it reports and its entry is current
    And a task that needs the whole worker has begun there within 3 s
    And the fault has led to no broken promise

    Examples: faults
      | fault                                                           |
      | a crash and return under its identifier                         |
      | a short crash and return under its identifier                   |
      | a crash and return under another identifier                     |
      | a short cut                                                     |
      | a cut that outlasts the leases                                  |
      | connections that are refused                                    |
      | responses that are lost                                         |
      | calls that are carried out late                                 |
      | a link that flaps                                               |
      | entries that are not written                                    |
      | an entry that cannot be read for a while                        |
      | a drain and return under its identifier                         |
      | a restart with half of its size                                 |
      | a capacity that shrinks and grows again                         |
      | a run that no record knows                                      |
      | an entry of another start                                       |
      | an identifier that returns after another worker had the address |
      | a cordon that nobody renews                                     |
      | an owner that is killed                                         |
