@job
Feature: Promises over random runs

  Scenario Outline: Kills, freezes, silent connections and resubmissions with seed <seed>
    Given a site of its own
      | domains                          | toto-centro quetzal-norte |
      | entry hosts                      | 2                         |
      | relays                           | yes                       |
      | peers.heartbeat_interval_ms      | 100                       |
      | peers.silence_limit_ms           | 1000                      |
      | dispatch.endpoint_silence_min_ms | 300                       |
    When jobs and faults come at random for 20 s with seed <seed>
    Then each job is answered complete, failed, or refused without a start
    And no task was started twice

    Examples:
      | seed |
      | 7    |
