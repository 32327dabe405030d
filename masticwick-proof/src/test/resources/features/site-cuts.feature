@site-cuts
Feature: Each failure domain goes on serving what it can in a cut

  Scenario Outline: Hosts are replaced while <what>
    Given a site of its own with cuts
      | domains     | toto-centro quetzal-norte solola-lago |
      | workers     | 1                                     |
      | entry hosts | 2                                     |
    And the versions in force are watched
    When "<from platform>" are cut from the platform
    And "<from domains>" are cut from the other failure domains
    And <seconds> s go by
    Then every host serves new work
    When one host of each failure domain dies and is replaced
    Then every host serves new work
    When <publish>
    And <seconds> s go by
    And all cuts are healed
    Then every host knows every other one as ready
    And each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And every host serves new work
    And no version ever went down
    And no task was started twice

    Examples:
      | what                                            | from platform                         | from domains                          | seconds | publish                     |
      | all failure domains are cut from all else       | toto-centro quetzal-norte solola-lago | toto-centro quetzal-norte solola-lago | 8       | an operator publishes a note |
      | the log is out of reach of all                  | toto-centro quetzal-norte solola-lago |                                       | 8       | an operator publishes a note |
      | one is cut from the platform and the others     | toto-centro                           | toto-centro                           | 8       | an operator publishes a note |
