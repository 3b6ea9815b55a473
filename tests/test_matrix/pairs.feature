Feature: Two faults at once at the costly steps
  A sample of all pairs; "make matrix" runs every one of them.

  Scenario Outline: <fault> and <other> at "<step>"
    Given three entry instances in two data centres
    When "<fault>" and "<other>" come at the step "<step>"
    Then every promise is kept

    Examples:
      | fault                            | other                            | step           |
      | operators racing                 | cut from the platform            | claimed        |
      | bursting stage                   | list lagging                     | claimed        |
      | process killed                   | cut from both                    | claimed        |
      | data centres cut from each other | cut from the platform            | claimed        |
      | connection gone silent           | cut from the platform            | claimed        |
      | store slow                       | data centres cut from each other | sent           |
      | slow stage                       | process paused                   | sent           |
      | store down                       | list lagging                     | sent           |
      | bursting stage                   | connection gone silent           | sent           |
      | connection gone silent           | cut from the platform            | sent           |
      | slow stage                       | write applied but answer lost    | between stages |
      | failing stage                    | connection gone silent           | between stages |
      | failing stage                    | process killed                   | between stages |
      | process paused                   | store slow                       | between stages |
      | store down                       | data centres cut from each other | between stages |
      | bursting stage                   | connection gone silent           | answering      |
      | process paused                   | write applied but answer lost    | answering      |
      | store slow                       | cut from both                    | answering      |
      | failing stage                    | bursting stage                   | answering      |
      | write applied but answer lost    | data centres cut from each other | answering      |
      | bursting stage                   | connection gone silent           | head swapped   |
      | slow stage                       | bursting stage                   | head swapped   |
      | bursting stage                   | store down                       | head swapped   |
      | process paused                   | data centres cut from each other | head swapped   |
      | bursting stage                   | cut from both                    | head swapped   |
