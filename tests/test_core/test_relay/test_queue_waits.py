"""Tests of greengagelatch.relay.queue_waits."""

from __future__ import annotations

import pytest

from greengagelatch.relay.queue_waits import QueueWait, RankWait

WAIT = QueueWait(1.0, 2.0, 0.3, (RankWait(0.45, 0.2, 0.4), RankWait(0.9, 1.2, 2.0)))


@pytest.mark.parametrize(
    ("rank", "urgent", "total"),
    [(0.0, 0.0, 0.0), (0.45, 0.2, 0.4), (0.5, 0.2, 0.4), (0.9, 1.2, 2.0)],
)
def test_piece_waits_behind_its_own_and_more_urgent_ranks(rank, urgent, total):
    assert WAIT.find_at_rank(rank) == QueueWait(urgent, total, 0.3)


def test_all_ranks_wait_alike_where_none_yields():
    wait = QueueWait(1.0, 2.0, 0.3)
    assert wait.find_at_rank(0.0) is wait
