Feature: A gang runs with all tasks or none, and nothing starts in a data centre that is out of service

  Scenario Outline: A gang runs with all tasks or none when the leader is <lost> <millis> ms after the submission
    Given a cluster of 3 control and 2 entry instances with 8 workers
    When a gang of 16 tasks on one rack for 4 s is submitted
    And <millis> ms later the leader is <lost>
    Then the job ends as completed
    And no part of a gang ran without the rest for more than 11 s
    And no task of the job ran twice at the same time

    Examples:
      | lost    | millis |
      | killed  | 0      |
      | killed  | 60     |
      | killed  | 2000   |
      | frozen  | 60     |
      | cut-off | 60     |

  Scenario: A worker stops responding while it runs a gang
    Given a cluster of 3 control and 2 entry instances with 8 workers
    When a gang of 8 tasks on one worker for 30 s is submitted
    And the gang runs
    And its worker goes silent
    Then the gang runs on other workers
    And no part of a gang ran without the rest for more than 11 s
    And no task of the job ran twice at the same time

  Scenario: A worker fails every task that it starts
    Given a cluster of 3 control and 2 entry instances with 8 workers
    And worker w0000 fails every task
    When 12 jobs of 1 accelerator for 1 s are submitted
    Then all jobs end as completed

  Scenario: A data centre is taken out of service while jobs are submitted
    Given a cluster of 3 control and 2 entry instances with 24 workers
    When jobs are submitted for 12 s and data centre brest-a is taken out after 4 s
    Then nothing started in brest-a later than 5 s after the answer
    When data centre brest-a is taken in
    Then jobs start in brest-a again

  Scenario: Concurrent cancellations leave no task of a gang running
    Given a cluster of 3 control and 2 entry instances with 8 workers
    When 12 gangs of 4 tasks for 60 s are submitted and all are cancelled at once
    Then each cancellation was answered truthfully
    And no task runs any more

  Scenario: Guaranteed resources are reclaimed from preemptible work
    Given a cluster of 3 control and 2 entry instances with 2 workers
    When team previews fills the fleet with preemptible work
    And a gang of 8 tasks on one worker for 2 s is submitted
    Then the job ends as completed
    And no part of a gang ran without the rest for more than 11 s
