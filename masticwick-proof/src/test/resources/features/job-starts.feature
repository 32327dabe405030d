Feature: A task starts at most once

  Scenario Outline: A job that is submitted again while it runs and after its answer
    Given a shared site
      | domains               | toto-centro quetzal-norte |
      | entry hosts           | 2                         |
      | peers.silence_limit_ms | 2000                     |
    When job first of 5 tasks of 300 ms within 20000 ms is submitted to toto-centro/0
    And 1 tasks of job first were started
    And job first is submitted again to <host>
    Then job first is answered complete
    And the second submission of job first is answered complete
    When job first is submitted again to <host>
    Then the second submission of job first is answered complete
    And 5 tasks of job first were started once
    And no task was started twice

    Examples:
      | host            |
      | toto-centro/0   |
      | toto-centro/1   |
      | quetzal-norte/0 |
