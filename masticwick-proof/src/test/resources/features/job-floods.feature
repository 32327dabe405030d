@job
Feature: Silent connections, cancellation waves, bursts and stragglers

  Scenario Outline: The caller's connection is silent (<mode>)
    Given a shared site
      | domains                | toto-centro quetzal-norte |
      | entry hosts            | 2                         |
      | peers.heartbeat_interval_ms | 100                  |
      | peers.silence_limit_ms | 1000                      |
    When job quiet of 3 tasks of 200 ms is submitted to toto-centro/0 over a connection with <mode>
    And job quiet is submitted again to <host>
    Then every answer to job quiet is complete
    And 3 tasks of job quiet were started once

    Examples:
      | mode                | host            |
      | SWALLOW_TO_TARGET   | toto-centro/0   |
      | SWALLOW_FROM_TARGET | toto-centro/0   |
      | SWALLOW_FROM_TARGET | quetzal-norte/0 |
      | BLACKHOLE_NEW       | toto-centro/1   |

  Scenario: A wave of cancellations
    Given a shared site
      | workers                       | 8       |
      | slots                         | 32      |
      | entry hosts                   | 1       |
      | dispatch.queue_wait_max_ms    | 3600000 |
    When 2000 jobs of 1 tasks of 20000 ms are submitted to toto-centro/0 without waiting
    And 200 tasks of the jobs were started
    And the jobs are cancelled in a wave at toto-centro/0
    Then each job is answered as cancelled, and none that was told not to have run was started
    And the workers of toto-centro run nothing
    And the workers of toto-centro got at most one cancellation for 4 tasks
    And no task was started twice

  Scenario: A burst from all sides
    Given a shared site
      | domains                | toto-centro quetzal-norte |
      | entry hosts            | 2                         |
      | peers.heartbeat_interval_ms | 100                  |
      | peers.silence_limit_ms | 1000                      |
    When a burst of 400 jobs of 3 tasks of 20 ms comes to all hosts, each job to two of them
    Then each job is answered complete, or refused without a start
    And no task was started twice

  Scenario: Stragglers are waited for and not started again
    Given a shared site
      | domains                | toto-centro quetzal-norte |
      | entry hosts            | 2                         |
      | peers.heartbeat_interval_ms | 100                  |
      | peers.silence_limit_ms | 1000                      |
    When worker toto-centro/1 has faults {"slow_factor":15}
    And job slow of 16 tasks of 200 ms within 20000 ms is submitted to toto-centro/0
    Then every answer to job slow is complete
    When the workers have no faults
    Then 16 tasks of job slow were started once
    And no task was started twice
