Feature: A fault at a step of a request
  A keyed booking that may not be repeated is on its way through one of three entry
  instances when the fault comes. Other requests, a change of the configuration and a
  target that leaves go on beside it; the fault ends after a few seconds.

  Scenario Outline: <fault> when a request is at "<step>"
    Given three entry instances in two data centres
    When "<fault>" comes at the step "<step>"
    Then every promise is kept

    Examples:
      | fault                            | step           |
      | slow stage                       | received       |
      | failing stage                    | received       |
      | bursting stage                   | received       |
      | process killed                   | received       |
      | process paused                   | received       |
      | store down                       | received       |
      | store slow                       | received       |
      | write applied but answer lost    | received       |
      | operators racing                 | received       |
      | connection gone silent           | received       |
      | list lagging                     | received       |
      | data centres cut from each other | received       |
      | cut from the platform            | received       |
      | cut from both                    | received       |
      | slow stage                       | claimed        |
      | failing stage                    | claimed        |
      | bursting stage                   | claimed        |
      | process killed                   | claimed        |
      | process paused                   | claimed        |
      | store down                       | claimed        |
      | store slow                       | claimed        |
      | write applied but answer lost    | claimed        |
      | operators racing                 | claimed        |
      | connection gone silent           | claimed        |
      | list lagging                     | claimed        |
      | data centres cut from each other | claimed        |
      | cut from the platform            | claimed        |
      | cut from both                    | claimed        |
      | slow stage                       | queued         |
      | failing stage                    | queued         |
      | bursting stage                   | queued         |
      | process killed                   | queued         |
      | process paused                   | queued         |
      | store down                       | queued         |
      | store slow                       | queued         |
      | write applied but answer lost    | queued         |
      | operators racing                 | queued         |
      | connection gone silent           | queued         |
      | list lagging                     | queued         |
      | data centres cut from each other | queued         |
      | cut from the platform            | queued         |
      | cut from both                    | queued         |
      | slow stage                       | connecting     |
      | failing stage                    | connecting     |
      | bursting stage                   | connecting     |
      | process killed                   | connecting     |
      | process paused                   | connecting     |
      | store down                       | connecting     |
      | store slow                       | connecting     |
      | write applied but answer lost    | connecting     |
      | operators racing                 | connecting     |
      | connection gone silent           | connecting     |
      | list lagging                     | connecting     |
      | data centres cut from each other | connecting     |
      | cut from the platform            | connecting     |
      | cut from both                    | connecting     |
      | slow stage                       | sent           |
      | failing stage                    | sent           |
      | bursting stage                   | sent           |
      | process killed                   | sent           |
      | process paused                   | sent           |
      | store down                       | sent           |
      | store slow                       | sent           |
      | write applied but answer lost    | sent           |
      | operators racing                 | sent           |
      | connection gone silent           | sent           |
      | list lagging                     | sent           |
      | data centres cut from each other | sent           |
      | cut from the platform            | sent           |
      | cut from both                    | sent           |
      | slow stage                       | first token    |
      | failing stage                    | first token    |
      | bursting stage                   | first token    |
      | process killed                   | first token    |
      | process paused                   | first token    |
      | store down                       | first token    |
      | store slow                       | first token    |
      | write applied but answer lost    | first token    |
      | operators racing                 | first token    |
      | connection gone silent           | first token    |
      | list lagging                     | first token    |
      | data centres cut from each other | first token    |
      | cut from the platform            | first token    |
      | cut from both                    | first token    |
      | slow stage                       | between tokens |
      | failing stage                    | between tokens |
      | bursting stage                   | between tokens |
      | process killed                   | between tokens |
      | process paused                   | between tokens |
      | store down                       | between tokens |
      | store slow                       | between tokens |
      | write applied but answer lost    | between tokens |
      | operators racing                 | between tokens |
      | connection gone silent           | between tokens |
      | list lagging                     | between tokens |
      | data centres cut from each other | between tokens |
      | cut from the platform            | between tokens |
      | cut from both                    | between tokens |
      | slow stage                       | between stages |
      | failing stage                    | between stages |
      | bursting stage                   | between stages |
      | process killed                   | between stages |
      | process paused                   | between stages |
      | store down                       | between stages |
      | store slow                       | between stages |
      | write applied but answer lost    | between stages |
      | operators racing                 | between stages |
      | connection gone silent           | between stages |
      | list lagging                     | between stages |
      | data centres cut from each other | between stages |
      | cut from the platform            | between stages |
      | cut from both                    | between stages |
      | slow stage                       | answering      |
      | failing stage                    | answering      |
      | bursting stage                   | answering      |
      | process killed                   | answering      |
      | process paused                   | answering      |
      | store down                       | answering      |
      | store slow                       | answering      |
      | write applied but answer lost    | answering      |
      | operators racing                 | answering      |
      | connection gone silent           | answering      |
      | list lagging                     | answering      |
      | data centres cut from each other | answering      |
      | cut from the platform            | answering      |
      | cut from both                    | answering      |
      | slow stage                       | answered       |
      | failing stage                    | answered       |
      | bursting stage                   | answered       |
      | process killed                   | answered       |
      | process paused                   | answered       |
      | store down                       | answered       |
      | store slow                       | answered       |
      | write applied but answer lost    | answered       |
      | operators racing                 | answered       |
      | connection gone silent           | answered       |
      | list lagging                     | answered       |
      | data centres cut from each other | answered       |
      | cut from the platform            | answered       |
      | cut from both                    | answered       |
