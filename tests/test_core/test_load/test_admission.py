"""Tests of greengagelatch.load.admission."""

from __future__ import annotations

import pytest

from greengagelatch.config.objects import Pipeline, Stage, StageKind
from greengagelatch.config.policy_resolution import Weights
from greengagelatch.errors import RefusalCode
from greengagelatch.load.admission import AdmissionRule, Arrival, EstimateAdmission
from greengagelatch.verdict import Verdict


class KnownService:
    """A service whose waits and durations are known."""

    def __init__(self, *, busy=False, wait=0.0, usual=1.0, safe=2.0) -> None:
        self.busy = busy
        self.wait = wait
        self.usual = usual
        self.safe = safe

    def is_busy(self, now):
        return self.busy

    def estimate_duration(self, kind, allotted, percentile, now):
        return self.usual

    def estimate_safe_duration(self, kind, allotted, now):
        return self.safe

    def estimate_wait(self, workspace, priority, work, now):
        return self.wait


def create_stage(name, *inputs):
    kind = StageKind.PLAIN
    return Stage(name=name, kind=kind, service=name, inputs=inputs)


PIPELINE = Pipeline(
    name="quote", stages=(create_stage("prices"), create_stage("draft", "prices"))
)


def check(deadline, *, weights=None, **services):
    services = {"prices": KnownService(usual=0.1, safe=0.2)} | services
    admission = EstimateAdmission(
        rule=AdmissionRule(), find_service=services.__getitem__
    )
    arrival = Arrival(
        workspace="w",
        pipeline=PIPELINE,
        priority=0,
        deadline=deadline,
        weights=weights or Weights(),
    )
    return admission.check(arrival, 0.0)


def test_idle_targets_admit_requests_that_may_meet_the_deadline():
    assert check(1.2, draft=KnownService()) is None
    refusal = check(1.0, draft=KnownService())
    assert refusal.code is RefusalCode.DEADLINE
    assert refusal.verdict is Verdict.NOT_RUN


def test_wait_at_a_later_stage_refuses_before_the_first_one_runs():
    """Guards against running early stages of requests that a later one refuses.

    Drafts queue for two seconds and a request has three seconds left. Admission
    that estimates only the next stage would admit it.
    """
    busy = KnownService(busy=True, wait=2.0, safe=2.0)
    assert check(6.0, draft=busy) is None
    refusal = check(3.0, draft=busy)
    assert refusal.code is RefusalCode.OVERLOADED
    assert refusal.retry_after_ms == 2000


@pytest.mark.parametrize(
    ("weights", "admitted"), [(Weights(1.0, 0.0), True), (Weights(0.0, 1.0), False)]
)
def test_weights_decide_on_borderline_requests(weights, admitted):
    busy = KnownService(busy=True, safe=2.0)
    assert (check(2.4, weights=weights, draft=busy) is None) is admitted
