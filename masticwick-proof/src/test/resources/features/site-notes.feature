@site-notes
Feature: An accepted release note is in force everywhere within seconds and never reverts

  Background:
    Given a shared site
      | domains                                 | toto-centro quetzal-norte solola-lago |
      | workers                                 | 1                                     |
      | entry hosts                             | 1                                     |
      | platform.snapshot_interval_record_count | 4                                     |
    And the versions in force are watched

  Scenario: Conflicting notes of several operators at the same moment
    When 4 operators publish conflicting notes at the same moment
    Then exactly one note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And the version has grown by 1
    And no version ever went down

  Scenario Outline: A note is published while <what>
    When the platform has faults <faults>
    And an operator publishes a note
    And <seconds> s go by
    And the platform has faults {"down": false, "blackhole": false, "append_delay_ms": 5}
    Then each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And the version has grown by 1
    And every host serves new work
    And no version ever went down

    Examples:
      | what                                             | faults                    | seconds |
      | the reply is lost after the append took effect   | {"lose_replies": 1}       | 0       |
      | several replies are lost                         | {"lose_replies": 3}       | 0       |
      | appends take longer than publishers wait         | {"append_delay_ms": 2500} | 8       |
      | the log is down                                  | {"down": true}            | 12      |
      | requests to the log hang                         | {"blackhole": true}       | 12      |

  Scenario Outline: The log comes back with an older end, <how>
    When an operator publishes a note
    Then each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    When <loss>
    Then the log holds again what is in force
    And all verdicts stand on every host and what is accepted is in force within 11 s
    When an operator publishes a note
    And 1 fresh host of toto-centro takes work
    Then each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And the version has grown by at least 2
    And every host serves new work
    And no version ever went down

    Examples:
      | how                  | loss                                                             |
      | without an outage    | the log loses its last note                                      |
      | after an outage      | the log is down for 3 s and comes back without its last note     |

  Scenario: Notes are published on a log that has just lost one
    When an operator publishes a note
    Then each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    When the log loses its last note
    And 2 operators publish conflicting notes at the same moment
    Then the log holds again what is in force
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And no version ever went down

  Scenario Outline: Records expire and a fresh host starts: <what>
    When an operator publishes a note
    Then all verdicts stand on every host and what is accepted is in force within 11 s
    When <what>
    And 1 fresh host of quetzal-norte takes work
    And an operator publishes a note
    Then each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And every host serves new work
    And no version ever went down

    Examples:
      | what                                        |
      | all but the last 8 records of the log expire |
      | all records of the log expire               |

  Scenario: Hosts start while the log is down
    When the platform has faults {"down": true}
    And 2 fresh hosts of solola-lago take work
    Then every host serves new work
    When the platform has faults {"down": false}
    And an operator publishes a note
    Then each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And no version ever went down

  Scenario: A failure domain that is cut from the log follows by its peers
    When "toto-centro" is cut from the platform
    And an operator publishes a note
    Then each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And no version ever went down

  Scenario: Connections with the platform go silent
    When the connections of "toto-centro quetzal-norte solola-lago" with the platform go silent
    And an operator publishes a note
    Then each note is accepted
    And all verdicts stand on every host and what is accepted is in force within 11 s
    And no version ever went down
