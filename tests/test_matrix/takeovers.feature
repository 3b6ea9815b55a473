Feature: A fault at the moment in which a role is lost
  The entry instance that has the role is killed in the middle of it, and the fault
  comes on top at the same moment.

  Scenario Outline: <fault> on top of the "<step>"
    Given three entry instances in two data centres
    When "<fault>" comes at the step "<step>"
    Then every promise is kept

    Examples:
      | fault                            | step                                  |
      | slow stage                       | takeover of the claim writer          |
      | failing stage                    | takeover of the claim writer          |
      | bursting stage                   | takeover of the claim writer          |
      | process killed                   | takeover of the claim writer          |
      | process paused                   | takeover of the claim writer          |
      | store down                       | takeover of the claim writer          |
      | store slow                       | takeover of the claim writer          |
      | write applied but answer lost    | takeover of the claim writer          |
      | operators racing                 | takeover of the claim writer          |
      | connection gone silent           | takeover of the claim writer          |
      | list lagging                     | takeover of the claim writer          |
      | data centres cut from each other | takeover of the claim writer          |
      | cut from the platform            | takeover of the claim writer          |
      | cut from both                    | takeover of the claim writer          |
      | slow stage                       | takeover of the configuration watcher |
      | failing stage                    | takeover of the configuration watcher |
      | bursting stage                   | takeover of the configuration watcher |
      | process killed                   | takeover of the configuration watcher |
      | process paused                   | takeover of the configuration watcher |
      | store down                       | takeover of the configuration watcher |
      | store slow                       | takeover of the configuration watcher |
      | write applied but answer lost    | takeover of the configuration watcher |
      | operators racing                 | takeover of the configuration watcher |
      | connection gone silent           | takeover of the configuration watcher |
      | list lagging                     | takeover of the configuration watcher |
      | data centres cut from each other | takeover of the configuration watcher |
      | cut from the platform            | takeover of the configuration watcher |
      | cut from both                    | takeover of the configuration watcher |
      | slow stage                       | takeover of the order lease           |
      | failing stage                    | takeover of the order lease           |
      | bursting stage                   | takeover of the order lease           |
      | process killed                   | takeover of the order lease           |
      | process paused                   | takeover of the order lease           |
      | store down                       | takeover of the order lease           |
      | store slow                       | takeover of the order lease           |
      | write applied but answer lost    | takeover of the order lease           |
      | lease lapsed during a pause      | takeover of the order lease           |
      | operators racing                 | takeover of the order lease           |
      | connection gone silent           | takeover of the order lease           |
      | list lagging                     | takeover of the order lease           |
      | data centres cut from each other | takeover of the order lease           |
      | cut from the platform            | takeover of the order lease           |
      | cut from both                    | takeover of the order lease           |
