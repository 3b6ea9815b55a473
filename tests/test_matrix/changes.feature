Feature: A fault at a step of a configuration change
  An operator makes a change through one of three entry instances when the fault
  comes. Requests, another change and a target that leaves go on beside it; the fault
  ends after a few seconds.

  Scenario Outline: <fault> when a change is at "<step>"
    Given three entry instances in two data centres
    When "<fault>" comes at the step "<step>"
    Then every promise is kept

    Examples:
      | fault                            | step           |
      | slow stage                       | submitted      |
      | failing stage                    | submitted      |
      | bursting stage                   | submitted      |
      | process killed                   | submitted      |
      | process paused                   | submitted      |
      | store down                       | submitted      |
      | store slow                       | submitted      |
      | write applied but answer lost    | submitted      |
      | operators racing                 | submitted      |
      | connection gone silent           | submitted      |
      | list lagging                     | submitted      |
      | data centres cut from each other | submitted      |
      | cut from the platform            | submitted      |
      | cut from both                    | submitted      |
      | slow stage                       | shards written |
      | failing stage                    | shards written |
      | bursting stage                   | shards written |
      | process killed                   | shards written |
      | process paused                   | shards written |
      | store down                       | shards written |
      | store slow                       | shards written |
      | write applied but answer lost    | shards written |
      | operators racing                 | shards written |
      | connection gone silent           | shards written |
      | list lagging                     | shards written |
      | data centres cut from each other | shards written |
      | cut from the platform            | shards written |
      | cut from both                    | shards written |
      | slow stage                       | head swapped   |
      | failing stage                    | head swapped   |
      | bursting stage                   | head swapped   |
      | process killed                   | head swapped   |
      | process paused                   | head swapped   |
      | store down                       | head swapped   |
      | store slow                       | head swapped   |
      | write applied but answer lost    | head swapped   |
      | operators racing                 | head swapped   |
      | connection gone silent           | head swapped   |
      | list lagging                     | head swapped   |
      | data centres cut from each other | head swapped   |
      | cut from the platform            | head swapped   |
      | cut from both                    | head swapped   |
      | slow stage                       | spreading      |
      | failing stage                    | spreading      |
      | bursting stage                   | spreading      |
      | process killed                   | spreading      |
      | process paused                   | spreading      |
      | store down                       | spreading      |
      | store slow                       | spreading      |
      | write applied but answer lost    | spreading      |
      | operators racing                 | spreading      |
      | connection gone silent           | spreading      |
      | list lagging                     | spreading      |
      | data centres cut from each other | spreading      |
      | cut from the platform            | spreading      |
      | cut from both                    | spreading      |
      | slow stage                       | in force       |
      | failing stage                    | in force       |
      | bursting stage                   | in force       |
      | process killed                   | in force       |
      | process paused                   | in force       |
      | store down                       | in force       |
      | store slow                       | in force       |
      | write applied but answer lost    | in force       |
      | operators racing                 | in force       |
      | connection gone silent           | in force       |
      | list lagging                     | in force       |
      | data centres cut from each other | in force       |
      | cut from the platform            | in force       |
      | cut from both                    | in force       |
