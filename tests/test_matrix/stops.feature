Feature: A fault at a step of a planned stop
  An entry instance is to stop while requests are in flight on it, one of them longer
  than the balancer takes to notice.

  Scenario Outline: <fault> when an instance is "<step>"
    Given three entry instances in two data centres
    When "<fault>" comes at the step "<step>"
    Then every promise is kept

    Examples:
      | fault                            | step      |
      | slow stage                       | leaving   |
      | failing stage                    | leaving   |
      | bursting stage                   | leaving   |
      | process killed                   | leaving   |
      | process paused                   | leaving   |
      | store down                       | leaving   |
      | store slow                       | leaving   |
      | write applied but answer lost    | leaving   |
      | operators racing                 | leaving   |
      | connection gone silent           | leaving   |
      | list lagging                     | leaving   |
      | data centres cut from each other | leaving   |
      | cut from the platform            | leaving   |
      | cut from both                    | leaving   |
      | slow stage                       | finishing |
      | failing stage                    | finishing |
      | bursting stage                   | finishing |
      | process killed                   | finishing |
      | process paused                   | finishing |
      | store down                       | finishing |
      | store slow                       | finishing |
      | write applied but answer lost    | finishing |
      | operators racing                 | finishing |
      | connection gone silent           | finishing |
      | list lagging                     | finishing |
      | data centres cut from each other | finishing |
      | cut from the platform            | finishing |
      | cut from both                    | finishing |
