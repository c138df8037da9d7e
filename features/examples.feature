Feature: The examples and the reference pages agree with the code

  Scenario Outline: The example of <deployment> passes the validation of the command and the daemon
    # Guards against an example that a new version of the daemon rejects.
    When the command checks the configuration of <deployment>
    And the daemon checks the settings of <deployment>
    Then both checks end with status 0
    And the configuration of <deployment> has <data_centres> data centres and 5 services
    And its settings name <entry_hosts> entry hosts in <data_centres> data centres

    Examples:
      | deployment | data_centres | entry_hosts |
      | ugnsrent   | 4            | 8           |
      | tullahoma  | 3            | 7           |

  Scenario: The reference pages describe the fields as they are
    # Guards against docs/SETTINGS.md and docs/CONFIGURATION.md that are out of date.
    When the reference pages are checked
    Then no page is out of date

  Scenario: The page for the person on call names only what exists
    # Guards against a page that refers the person on call to a counter or reason that does not
    # exist.
    When the names on the page for the person on call are collected
    Then each counter, reason, dump member and subcommand exists
