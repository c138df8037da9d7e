Feature: Partitions that a member of the owner group gives up

  Scenario: Records of a partition that is assigned elsewhere become durable before its owner stops
    # Without the record, the next owner waits for all leases that may have been renewed.
    Given a member of the owner group that owns partition 1
    When the partition is no longer assigned to it while a record waits
    Then the member has no owner and the record is durable
