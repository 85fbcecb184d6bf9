Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: Changes survive a leader that is <lost> and <returned>
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And operator maela has added 3 exceptions
    When the leader is <lost>
    And operator yann has added 3 exceptions
    And the lost instance is <returned>
    And operator maela has added 3 exceptions
    Then every accepted change is in the history once
    And all entries have the newest version in force
    And the cluster has 3 voters and none lags

    Examples:
      | lost            | returned    |
      | killed          | restarted   |
      | stopped         | restarted   |
      | frozen          | resumed     |
      | cut-off         | reconnected |
      | cut-off-outward | reconnected |
      | cut-off-inward  | reconnected |

  Scenario: Concurrent changes with the same base version, and a change that is sent repeatedly
    Given a cluster of 3 control and 2 entry instances with 8 workers
    When two operators apply the same base version at once, 20 times
    Then exactly one of each pair is accepted and the other learns of it
    When the same change is sent through both entries at once
    Then all answers are the same
    And every accepted change is in the history once

  Scenario: A second instance is lost right after the replica of another was replaced
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And operator maela has added 3 exceptions
    When control instance c2 is erased
    And the replica of c2 is replaced
    Then the cluster has 3 voters and none lags
    When control instance c3 is killed
    And operator yann has added 3 exceptions
    Then every accepted change is in the history once
    And all entries have the newest version in force

  Scenario: A rolling restart of the control instances after hundreds of changes
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And operator maela has added 300 exceptions
    When all instances are restarted one after the other
    And operator yann has added 3 exceptions
    Then every accepted change is in the history once
    And the cluster has 3 voters and none lags

  Scenario: An order that was made from an older version does not undo a later one
    Given a cluster of 3 control and 2 entry instances with 8 workers
    When data centre brest-a is taken out, taken in, and an older order to take it out arrives
    Then the older order is refused and data centre brest-a is in service
