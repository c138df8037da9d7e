Feature: Machines for short tasks that no worker of a pool can hold

  # Guards against a pool that asks for machines at the peak of a burst, whose runs end by themselves, or
  # for a task that no machine can take, and against one that gives back what it has just asked for.
  Scenario Outline: Only a lack that no end of a short run relieves asks for machines
    Given a worker of 12 cores with <first>, and one with <second>
    When <waiting> tasks of <cores> cores wait, and <later> such tasks follow in a later step
    Then the pool lacks <missing> machines
    And it keeps <kept>

    Examples:
      | first | second | waiting | cores | later | missing | kept |
      | long-running runs | long-running runs | 1 | 7 | 0 | 1 | no worker |
      | long-running runs | long-running runs | 3 | 7 | 0 | 3 | no worker |
      | long-running runs | long-running runs | 0 | 7 | 3 | 1 | no worker |
      | long-running runs | long-running runs | 3 | 6 | 3 | 0 | no worker |
      | long-running runs | long-running runs | 3 | 13 | 3 | 0 | no worker |
      | long-running runs | short runs | 9 | 7 | 9 | 0 | no worker |
      | long-running runs | nothing | 3 | 7 | 0 | 0 | the second one |
      | long-running runs | nothing | 0 | 7 | 1 | 0 | the second one |
      | long-running runs | claims | 1 | 7 | 0 | 1 | no worker |
      | short runs | nothing | 3 | 7 | 3 | 0 | no worker |
      | long-running runs | a cordon | 1 | 7 | 0 | 1 | no worker |

  # Guards against holders of the fleet that reject the whole load of a service while hosts are replaced.
  Scenario Outline: The report of a load differs from that of earlier versions only while machines are lacking
    Given a load whose pool lacks <missing> machines for large tasks
    When the load is reported
    Then the report has <fields> fields
    And a holder of the fleet reads the same load

    Examples:
      | missing | fields |
      | 0 | 7 |
      | 1 | 8 |

  Scenario: A load of an earlier version asks for no machines for large tasks
    Given a load whose pool lacks 0 machines for large tasks
    When the load is reported
    Then a holder of the fleet reads the same load

  # Guards against a second machine for the same task while the first one is on its way, and against a
  # pool that gives the machine back before the turn of its task.
  Scenario Outline: A machine that comes counts for large tasks, and one that is kept stays
    Given a pool of 4 machines that needs 4, and 4 on standby
    When it lacks <missing> machines for large tasks, <coming> are coming, and <idle> of its workers are idle, of which <kept> are kept
    Then <chosen> machines move into the pool, and <returned> to standby

    Examples:
      | missing | coming | idle | kept | chosen | returned |
      | 0 | 0 | 0 | 0 | 0 | 0 |
      | 1 | 0 | 0 | 0 | 1 | 0 |
      | 2 | 1 | 0 | 0 | 1 | 0 |
      | 1 | 1 | 2 | 0 | 0 | 0 |
      | 0 | 1 | 2 | 0 | 0 | 1 |
      | 0 | 1 | 1 | 1 | 0 | 0 |
