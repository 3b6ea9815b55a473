"""The steps by which an instance gets a claim for a request, or learns of another."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from . import Token
from .operations import Acquire, OperationResult, ResultKind
from .registry import AttemptState, Record

__all__ = ("Action", "Attempt", "choose_ways", "describe_holder")

#: how often a key may be found given back and then lost to yet another attempt
MAX_ROUNDS = 8

#: instances asked to write for one that can't reach the store, its own choice of
#: the usual writer not counted
MAX_RELAYS = 2


class Action(Enum):
    """What an attempt has to do next."""

    #: find out which instances may commit the operation
    CHOOSE_WAYS = "choose-ways"
    #: have the operation committed by the instance :attr:`Attempt.way`
    ACQUIRE = "acquire"
    #: ask the instance of :attr:`Attempt.holder` for its outcome
    ASK_HOLDER = "ask-holder"
    RUN = "run"
    #: answer with the outcome of the holder
    REPLAY = "replay"
    #: another attempt is running, and the time to wait for it is over
    REFUSE_IN_PROGRESS = "refuse-in-progress"
    #: another attempt may have run, and nobody knows its outcome
    REFUSE_UNSETTLED = "refuse-unsettled"
    REFUSE_KEY_REUSED = "refuse-key-reused"
    #: the shard has no room for claims
    REFUSE_FULL = "refuse-full"
    #: nobody could reach the store
    OUT_OF_REACH = "out-of-reach"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """An attempt on its way to a claim; every answer returns the next state."""

    operation: Acquire
    #: instances that may commit the operation, in the order of trying
    ways: tuple[str, ...] = ()
    tried: int = 0
    action: Action = Action.CHOOSE_WAYS
    holder: Token | None = None
    outcome: bytes = b""
    rounds: int = 0
    #: whether the claim may be in the store although no answer says so
    doubtful: bool = False

    @property
    def way(self) -> str:
        """The instance that is to commit the operation now."""
        return self.ways[self.tried]

    def take_ways(self, ways: tuple[str, ...]) -> Attempt:
        """Go on with the instances that may commit; empty: none can."""
        if not ways:
            return self._turn(Action.OUT_OF_REACH)
        return dataclasses.replace(self, action=Action.ACQUIRE, ways=ways, tried=0)

    def take_result(self, result: OperationResult | None) -> Attempt:
        """Go on with what became of the operation; ``None``: no answer.

        An operation without an answer may still be committed later. The next
        instance may commit it all the same: a head holds an attempt only once.
        """
        kind = result.kind if result else ResultKind.UNSETTLED
        match kind:
            case ResultKind.GRANTED:
                return dataclasses.replace(self, action=Action.RUN, doubtful=True)
            case ResultKind.HELD if result.holder != self.operation.token:
                return dataclasses.replace(
                    self, action=Action.ASK_HOLDER, holder=result.holder
                )
            case ResultKind.KEY_REUSED:
                return self._turn(Action.REFUSE_KEY_REUSED)
            case ResultKind.FULL:
                return self._turn(Action.REFUSE_FULL)
        state = self
        if kind is ResultKind.UNSETTLED:
            state = dataclasses.replace(self, doubtful=True)
        if self.tried + 1 < len(self.ways):
            return dataclasses.replace(state, tried=self.tried + 1)
        return state._turn(Action.OUT_OF_REACH)

    def take_holder(self, record: Record | None) -> Attempt:
        """Go on with what is known of the holder's attempt; ``None``: nothing."""
        if record is None:
            return self._turn(Action.REFUSE_UNSETTLED)
        match record.state:
            case AttemptState.FINISHED if record.outcome:
                state = self._turn(Action.REPLAY)
                return dataclasses.replace(state, outcome=record.outcome)
            case AttemptState.FINISHED:
                return self._turn(Action.REFUSE_UNSETTLED)
            case AttemptState.GIVEN_BACK if self.rounds < MAX_ROUNDS:
                return dataclasses.replace(
                    self,
                    action=Action.CHOOSE_WAYS,
                    operation=dataclasses.replace(self.operation, replaces=self.holder),
                    rounds=self.rounds + 1,
                )
            case AttemptState.GIVEN_BACK:
                return self._turn(Action.REFUSE_UNSETTLED)
        return self._turn(Action.REFUSE_IN_PROGRESS)

    def try_again(self) -> Attempt:
        """Begin anew with the first way."""
        return self._turn(Action.CHOOSE_WAYS)

    def _turn(self, action: Action) -> Attempt:
        return dataclasses.replace(self, action=action)


def choose_ways(own: str, ranked: tuple[str, ...]) -> tuple[str, ...]:
    """Return the instances that may write for ``own``, in the order of trying.

    First the usual writer, which groups many claims into one write; then the
    instance itself, which settles what the writer left open by reading the store;
    then others, in case this data centre alone is cut off from the store.
    """
    usual = ranked[0] if ranked else own
    ways = [usual]
    if usual != own:
        ways.append(own)
    relays = [one for one in ranked if one not in ways]
    return (*ways, *relays[:MAX_RELAYS])


def describe_holder(record: Record | None) -> Record | None:
    """Return what another instance may be told of an attempt of this one.

    An attempt that still seeks its claim may be granted it at any moment, so it
    counts as running.
    """
    if record is not None and record.state is AttemptState.PENDING:
        return dataclasses.replace(record, state=AttemptState.RUNNING)
    return record
