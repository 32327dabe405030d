@site-cuts
Feature: Each failure domain goes on serving what it can in a cut

  Scenario Outline: Hosts are replaced while <what>
    Given a site of its own with cuts
      | domains                     | toto-centro quetzal-norte solola-lago |
      | workers                     | 1                                     |
      | entry hosts                 | 2                                     |
      | peers.heartbeat_interval_ms | 200                                   |
      | peers.silence_limit_ms      | 500                                   |
    And the versions in force are watched
    When "<from platform>" are cut from the platform
    And "<cut>" are cut from the other failure domains
    Then the hosts of "<cut>" no longer know the others
    And every host serves new work
    When one host of each failure domain dies and is replaced
    Then every host serves new work
    When an operator publishes a note
    Then each note is accepted
    And 2 s go by
    And no note is in force in "<from platform>"
    When all cuts are healed
    Then every host knows every other one as ready
    And all verdicts stand on every host and what is accepted is in force within 30 s
    And every host serves new work
    And no version ever went down
    And no task was started twice

    Examples:
      | what                                        | from platform                         | cut                                   |
      | all failure domains are cut from all else   | toto-centro quetzal-norte solola-lago | toto-centro quetzal-norte solola-lago |
      | one is cut from the platform and the others | toto-centro                           | toto-centro                           |
