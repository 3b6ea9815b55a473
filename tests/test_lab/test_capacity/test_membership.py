"""Tests of the benchmarks of membership and of the target registry."""

from __future__ import annotations

import json

from greengagelatch_lab.capacity.membership import main

#: limit of bytes per second that one entry instance sends to its peers
MAX_BYTES_PER_SECOND = 2048


def test_last_line_holds_all_tables(capsys):
    arguments = ["--seconds", "5", "--members", "9", "20", "--replicas", "200"]
    main([*arguments, "--linked"])
    result = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert [row["members"] for row in result["members"]] == [9, 20]
    assert all(
        row["churn_bytes_per_second"] < MAX_BYTES_PER_SECOND
        for row in result["members"]
    )
    (registry,) = result["targets"]
    # five services of forty targets; nine instances have to use nearly all of them
    assert 100 < registry["watched"] <= 202
    assert registry["polls_per_second"] <= 21
    assert result["links"] == []
