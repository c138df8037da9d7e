Feature: Entry hosts can be replaced at any time

  Scenario: An entry host answers a peer that its settings do not name
    # Guards against a replacement under a new name that receives no heartbeats: its barriers would
    # never complete, and no view would settle.
    Given an entry host whose settings name no peer
    When a new entry host whose settings name the first one starts
    Then each receives the heartbeats of the other
