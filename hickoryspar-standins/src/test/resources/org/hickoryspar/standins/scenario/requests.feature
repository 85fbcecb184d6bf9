Feature: Every request gets one response, which reports its outcome correctly

  Scenario Outline: A non-idempotent request runs at most once when <instance> is <lost>
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And 3 minions that answer after 600 ms
    When 60 non-idempotent requests are sent through both entries
    And 300 ms later instance <instance> is <lost>
    And each request without an answer is sent again with its key through e2
    Then no key ran more than once
    And no request that was reported as not run has run
    And every answer was that of its own request

    Examples:
      | instance   | lost    |
      | e1         | killed  |
      | the-leader | killed  |
      | the-leader | frozen  |
      | the-leader | cut-off |
      | a-minion   | killed  |

  Scenario: An entry that is cut off from control stops forwarding requests
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And 3 minions that answer after 0 ms
    When instance e1 is cut-off
    Then requests through e1 are reported as not run within 5 s
    And requests through e1 reach no minion
    When the cut ends
    Then requests through e1 are answered again

  Scenario: No request reaches a data centre that is out of service, even through an entry that is cut off
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And 3 minions that answer after 0 ms
    When instance e1 is cut-off
    And operator maela takes brest-a out
    Then after 5 s no request through either entry reaches the minion in brest-a

  Scenario: A minion that leaves receives no new work
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And 3 minions that answer after 0 ms
    When requests are sent while minion m1 leaves
    Then every request was answered

  Scenario: A rolling restart of all daemons loses no request
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And 3 minions that answer after 50 ms
    When requests are sent through ready entries while all instances are restarted one by one
    Then every request was answered
