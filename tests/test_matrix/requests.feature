Feature: A fault at a step of a request
  A keyed booking that may not be repeated is on its way through one of three entry
  instances when the fault comes. Other requests, a change of the configuration and a
  target that leaves go on beside it; the fault ends after a few seconds.

  Scenario Outline: <fault> when a request is at "<step>"
    Given three entry instances in two data centres
    When "<fault>" comes at the step "<step>"
    Then every promise is kept

    Examples:
      | fault                            | step            |
      | slow stage                       | sent            |
      | failing stage                    | between stages  |
      | bursting stage                   | received        |
      | process killed                   | claimed         |
      | process killed                   | sent            |
      | process killed                   | between stages  |
      | process paused                   | sent            |
      | store down                       | claimed         |
      | write applied but answer lost    | claimed         |
      | connection gone silent           | connecting      |
      | data centres cut from each other | sent            |
      | cut from both                    | between stages  |
