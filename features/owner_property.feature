Feature: Owners keep their promises whatever the workers accept

  Scenario: Owners change, clocks jump and links fail while workers accept everything
    # Guards against starts beyond a worker's capacity (rule LIMIT), two runs of a task at once
    # (TWICE), and accepted jobs that are never completed (LOST), with workers that start what they
    # are told, links that lose or delay orders, workers that end, leave the list or start again with
    # another size, jumps of the time of day, and owners that follow each other.
    When 40 random interleavings of owners and workers run with seed 11
    Then the owners kept every promise
