@job
Feature: A job is complete or failed, never partial

  Scenario Outline: The home <home> is killed before every task was started
    Given a shared site
      | domains                     | toto-centro quetzal-norte |
      | entry hosts                 | 4                         |
      | peers.heartbeat_interval_ms | 101                       |
      | peers.silence_limit_ms      | 1000                      |
    When the workers of quetzal-norte have faults {"refuse_all_full":true}
    And job part of 40 tasks of 1500 ms within 30000 ms is submitted to <home>
    And 4 tasks of job part were started
    And entry host <home> is killed
    And job part is submitted to <host> until it has ended
    Then job part is answered failed with home-lost
    And the failure of job part names the started tasks as succeeded and no other
    When job part is submitted to <host> until it has ended
    Then all answers to job part but the first are the same
    And no task was started twice
    When the workers have no faults

    Examples:
      | home          | host            |
      | toto-centro/2 | quetzal-norte/1 |

  Scenario Outline: A caller goes away and comes back
    Given a shared site
      | domains                | toto-centro quetzal-norte |
      | entry hosts            | 2                         |
      | peers.heartbeat_interval_ms | 100                  |
      | peers.silence_limit_ms | 1000                      |
    When job away of 4 tasks of 900 ms within 20000 ms is submitted to toto-centro/0 by a caller that goes away
    And job away is submitted again to <host>
    And the state of job away is asked of <host>
    And job away is submitted again to toto-centro/0
    And the state of job away is asked of quetzal-norte/1
    Then every answer to job away is complete
    And all answers to job away are the same
    And 4 tasks of job away were started once

    Examples:
      | host            |
      | toto-centro/0   |
      | toto-centro/1   |
      | quetzal-norte/0 |

  Scenario: Tasks that fail fail their job as a whole
    Given a shared site
      | domains                | toto-centro quetzal-norte |
      | entry hosts            | 2                         |
      | peers.heartbeat_interval_ms | 100                  |
      | peers.silence_limit_ms | 1000                      |
    When worker toto-centro/0 has faults {"fail_all":true}
    And job failing of 16 tasks of 300 ms within 20000 ms is submitted to toto-centro/0
    Then job failing is answered failed with job-failed
    When the workers have no faults
    And job failing is submitted again to quetzal-norte/0
    Then all answers to job failing are the same
    And at most 16 tasks of job failing were started once

  Scenario: A job cancelled at another host tells all callers the same
    Given a shared site
      | domains                | toto-centro quetzal-norte |
      | entry hosts            | 2                         |
      | peers.heartbeat_interval_ms | 100                  |
      | peers.silence_limit_ms | 1000                      |
    When job stopped of 3 tasks of 5000 ms within 20000 ms is submitted to toto-centro/0
    And 3 tasks of job stopped were started
    And job stopped is cancelled at quetzal-norte/0
    Then job stopped is answered failed with cancelled-after-start
    When job stopped is submitted again to toto-centro/1
    Then all answers to job stopped are the same
    And 3 tasks of job stopped were started once, and none later
