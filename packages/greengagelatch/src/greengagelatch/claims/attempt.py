"""State machine that acquires a claim for a request, or finds the one that exists."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from . import Token
from .operations import Acquire, OperationResult, ResultKind
from .registry import AttemptRecord, AttemptState

__all__ = ("Action", "Attempt", "choose_candidates", "mask_pending")

#: times that an attempt may find the key's holder given back and then lose the key
#: to another attempt
MAX_TAKEOVERS = 8

#: fallback instances asked to commit for one that can't reach the store, besides
#: the shard's preferred writer
MAX_FALLBACKS = 2


class Action(Enum):
    """Next action of an attempt."""

    #: choose the instances that may commit the operation
    CHOOSE_CANDIDATES = "choose-ways"
    #: send the operation to the instance :attr:`Attempt.candidate`, which commits it
    ACQUIRE = "acquire"
    #: ask the instance of :attr:`Attempt.holder` for its outcome
    ASK_HOLDER = "ask-holder"
    RUN = "run"
    #: answer with the holder's stored outcome
    REPLAY = "replay"
    #: another attempt is still running at the end of the wait
    REFUSE_IN_PROGRESS = "refuse-in-progress"
    #: another attempt may have run, and its outcome is lost
    REFUSE_UNSETTLED = "refuse-unsettled"
    REFUSE_KEY_REUSED = "refuse-key-reused"
    #: the shard is at its limit of claims
    REFUSE_FULL = "refuse-full"
    #: no instance that was tried could reach the store
    STORE_UNREACHABLE = "out-of-reach"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """State of an attempt to acquire a claim; each method returns the next state."""

    operation: Acquire
    #: instances that may commit the operation, in order of preference
    candidates: tuple[str, ...] = ()
    tried: int = 0
    action: Action = Action.CHOOSE_CANDIDATES
    holder: Token | None = None
    outcome: bytes = b""
    takeovers: int = 0
    #: whether the claim may be in the store without a confirmation
    maybe_committed: bool = False

    @property
    def candidate(self) -> str:
        """Instance that is asked to commit the operation now."""
        return self.candidates[self.tried]

    def handle_candidates(self, candidates: tuple[str, ...]) -> Attempt:
        """Start with the instances that may commit; an empty tuple means none can."""
        if not candidates:
            return self._switch(Action.STORE_UNREACHABLE)
        return dataclasses.replace(
            self, action=Action.ACQUIRE, candidates=candidates, tried=0
        )

    def handle_result(self, result: OperationResult | None) -> Attempt:
        """Handle the result of the operation; ``None`` means that no answer came.

        An unanswered operation may still be committed later. Sending it to the
        next instance is safe: it is idempotent, as a head holds each attempt once.
        """
        kind = result.kind if result else ResultKind.UNSETTLED
        match kind:
            case ResultKind.GRANTED:
                return dataclasses.replace(
                    self, action=Action.RUN, maybe_committed=True
                )
            case ResultKind.HELD if result.holder != self.operation.token:
                return dataclasses.replace(
                    self, action=Action.ASK_HOLDER, holder=result.holder
                )
            case ResultKind.KEY_REUSED:
                return self._switch(Action.REFUSE_KEY_REUSED)
            case ResultKind.FULL:
                return self._switch(Action.REFUSE_FULL)
        state = self
        if kind is ResultKind.UNSETTLED:
            state = dataclasses.replace(self, maybe_committed=True)
        if self.tried + 1 < len(self.candidates):
            return dataclasses.replace(state, tried=self.tried + 1)
        return state._switch(Action.STORE_UNREACHABLE)

    def handle_holder(self, record: AttemptRecord | None) -> Attempt:
        """Handle the record of the holder's attempt; ``None`` means it is unknown."""
        if record is None:
            return self._switch(Action.REFUSE_UNSETTLED)
        match record.state:
            case AttemptState.FINISHED if record.outcome:
                state = self._switch(Action.REPLAY)
                return dataclasses.replace(state, outcome=record.outcome)
            case AttemptState.FINISHED:
                return self._switch(Action.REFUSE_UNSETTLED)
            case AttemptState.GIVEN_BACK if self.takeovers < MAX_TAKEOVERS:
                return dataclasses.replace(
                    self,
                    action=Action.CHOOSE_CANDIDATES,
                    operation=dataclasses.replace(self.operation, replaces=self.holder),
                    takeovers=self.takeovers + 1,
                )
            case AttemptState.GIVEN_BACK:
                return self._switch(Action.REFUSE_UNSETTLED)
        return self._switch(Action.REFUSE_IN_PROGRESS)

    def restart(self) -> Attempt:
        """Start again with a new choice of instances."""
        return self._switch(Action.CHOOSE_CANDIDATES)

    def _switch(self, action: Action) -> Attempt:
        return dataclasses.replace(self, action=action)


def choose_candidates(own: str, ranked: tuple[str, ...]) -> tuple[str, ...]:
    """Return the instances that may commit for ``own``, in order of preference.

    The shard's preferred writer comes first, as it batches many claims into one
    write. The instance itself comes next: it reads the store, which resolves an
    operation that the writer did not answer. Other instances follow, in case only
    this data centre is disconnected from the store.
    """
    preferred = ranked[0] if ranked else own
    candidates = [preferred]
    if preferred != own:
        candidates.append(own)
    fallbacks = [one for one in ranked if one not in candidates]
    return (*candidates, *fallbacks[:MAX_FALLBACKS])


def mask_pending(record: AttemptRecord | None) -> AttemptRecord | None:
    """Return the record of an attempt as it is reported to others.

    A pending attempt may be granted its claim at any moment, so it is reported as
    running.
    """
    if record is not None and record.state is AttemptState.PENDING:
        return dataclasses.replace(record, state=AttemptState.RUNNING)
    return record
