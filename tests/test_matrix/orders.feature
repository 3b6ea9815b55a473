Feature: A fault at a step of an order to an engine
  An operator has placed a model, and the holder of the lease gives the engines of its
  data centre their orders when the fault comes to it. Half of the cells have engines
  that check fencing numbers, the other half engines that ignore them.

  Scenario Outline: <fault> when an order is at "<step>"
    Given three entry instances in two data centres
    When "<fault>" comes at the step "<step>"
    Then every promise is kept

    Examples:
      | fault                            | step            |
      | slow stage                       | lease held      |
      | failing stage                    | lease held      |
      | bursting stage                   | lease held      |
      | process killed                   | lease held      |
      | process paused                   | lease held      |
      | store down                       | lease held      |
      | store slow                       | lease held      |
      | write applied but answer lost    | lease held      |
      | lease lapsed during a pause      | lease held      |
      | operators racing                 | lease held      |
      | connection gone silent           | lease held      |
      | list lagging                     | lease held      |
      | data centres cut from each other | lease held      |
      | cut from the platform            | lease held      |
      | cut from both                    | lease held      |
      | slow stage                       | order sending   |
      | failing stage                    | order sending   |
      | bursting stage                   | order sending   |
      | process killed                   | order sending   |
      | process paused                   | order sending   |
      | store down                       | order sending   |
      | store slow                       | order sending   |
      | write applied but answer lost    | order sending   |
      | lease lapsed during a pause      | order sending   |
      | operators racing                 | order sending   |
      | connection gone silent           | order sending   |
      | list lagging                     | order sending   |
      | data centres cut from each other | order sending   |
      | cut from the platform            | order sending   |
      | cut from both                    | order sending   |
      | slow stage                       | order sent      |
      | failing stage                    | order sent      |
      | bursting stage                   | order sent      |
      | process killed                   | order sent      |
      | process paused                   | order sent      |
      | store down                       | order sent      |
      | store slow                       | order sent      |
      | write applied but answer lost    | order sent      |
      | lease lapsed during a pause      | order sent      |
      | operators racing                 | order sent      |
      | connection gone silent           | order sent      |
      | list lagging                     | order sent      |
      | data centres cut from each other | order sent      |
      | cut from the platform            | order sent      |
      | cut from both                    | order sent      |
      | slow stage                       | order read back |
      | failing stage                    | order read back |
      | bursting stage                   | order read back |
      | process killed                   | order read back |
      | process paused                   | order read back |
      | store down                       | order read back |
      | store slow                       | order read back |
      | write applied but answer lost    | order read back |
      | lease lapsed during a pause      | order read back |
      | operators racing                 | order read back |
      | connection gone silent           | order read back |
      | list lagging                     | order read back |
      | data centres cut from each other | order read back |
      | cut from the platform            | order read back |
      | cut from both                    | order read back |
