"""Explanations where a request would be sent now, and why."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from greengagelatch.errors import RefusalCode
from greengagelatch.relay.deployment import RouteKind
from greengagelatch.relay.engine_costs import EngineDemand
from greengagelatch.relay.rehearsals import ChoiceRehearsal
from greengagelatch.relay.requests import (
    OpaqueRequest,
    Prompt,
    PromptPart,
    RefusedError,
)

from .exchange import RelayExchange
from .refusals import find_refusal_status

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer

    from .filters import RouteFilter

__all__ = ("InvalidQuestionError", "RequestExplainer")

#: characters of an API key that an answer shows
SHOWN_KEY_CHARACTERS = 4
STATUS_BAD_REQUEST = 400


class InvalidQuestionError(Exception):
    """Raised when a question can't be answered.

    :param status: HTTP status of the answer
    """

    def __init__(self, status: int, message: str, field: str, value: Any) -> None:
        super().__init__(message)
        self.status = status
        self.field = field
        self.value = value


class RequestExplainer:
    """Tells where a request would be sent now, by the code that sends requests.

    Nothing is sent, and no state is changed.

    :param list_unrecorded: returns the targets of a service at which streams that may
        be resumed can't begin yet
    """

    def __init__(
        self,
        *,
        instance_id: str,
        route_filter: RouteFilter,
        load_balancer: LoadBalancer,
        list_unrecorded: Callable[[str], frozenset[Incarnation]],
        clock: Clock,
    ) -> None:
        self._instance_id = instance_id
        self._route_filter = route_filter
        self._load_balancer = load_balancer
        self._list_unrecorded = list_unrecorded
        self._clock = clock

    def explain(self, question: Mapping[str, Any]) -> dict[str, Any]:
        """Return the explanation as JSON.

        :param question: ``host`` and ``path`` of the request, and optionally its
            ``key`` and ``prompt``
        :raises InvalidQuestionError: if it would be refused at its route or key, or the
            question is malformed
        """
        exchange = self._resolve(question)
        route, allowed = exchange.route, exchange.data_centres
        split = route.split or (("", 1.0),)
        return {
            "instance": self._instance_id,
            "generation": exchange.deployment.version,
            "route": {
                "name": route.name,
                "host": route.host,
                "prefix": route.prefix,
                "kind": route.kind.value,
                "stages": [stage.service for stage in route.stages],
            },
            "workspace": exchange.workspace,
            "rank": exchange.rank,
            "data_centres": None if allowed is None else sorted(allowed),
            "choices": [
                {"share": share, **self._explain_choice(exchange, service)}
                for service, share in split
            ],
        }

    def _resolve(self, question: Mapping[str, Any]) -> RelayExchange:
        now = self._clock.now()
        request = OpaqueRequest(
            request_id="",
            method="GET",
            host=_read(question, "host", str, None),
            target=_read(question, "path", str, None),
            headers=(),
            body=b"",
            received=now,
            timeout=float("inf"),
            key=_read(question, "key", str, ""),
            prompt=_read_prompt(question),
        )
        exchange = RelayExchange(request=request, writer=None)
        try:
            self._route_filter.resolve(exchange)
        except RefusedError as error:
            raise _describe_refusal(error, request) from error
        return exchange

    def _explain_choice(self, exchange: RelayExchange, service: str) -> dict[str, Any]:
        route, now = exchange.route, self._clock.now()
        rehearsal = ChoiceRehearsal(self._load_balancer)
        lacks_room = rehearsal.lacks_room(
            service, frozenset(), now, exchange.data_centres
        )
        demand = EngineDemand(
            exchange.request.prompt or Prompt(),
            data_centres=exchange.data_centres,
            repeatable=route.repeatable,
        )
        unrecorded: frozenset[Incarnation] = frozenset()
        if route.resumable:
            unrecorded = self._list_unrecorded(service)
        candidates = rehearsal.explain(
            service,
            demand,
            now,
            is_engine=route.kind is RouteKind.STREAMING,
            unrecorded=unrecorded,
        )
        chosen = [one.target for one in candidates if one.chosen]
        outcome = "sent" if chosen else "held" if lacks_room else "refused"
        return {
            "service": service,
            "outcome": outcome,
            "target": chosen[0] if chosen else None,
            "candidates": [asdict(one) for one in candidates],
        }


def _describe_refusal(
    error: RefusedError, request: OpaqueRequest
) -> InvalidQuestionError:
    refusal = error.refusal
    field, value = refusal.field or "", refusal.value
    if refusal.code is RefusalCode.UNAUTHORIZED:
        field, value = "key", request.key[:SHOWN_KEY_CHARACTERS]
        if len(request.key) > SHOWN_KEY_CHARACTERS:
            value += "…"
    elif refusal.code is RefusalCode.UNKNOWN_PIPELINE:
        field, value = "host, path", f"{request.host}, {request.target}"
    status = error.status or find_refusal_status(refusal)
    return InvalidQuestionError(status, refusal.message, field, value)


def _read(
    fields: Mapping[str, Any], name: str, kind: type | tuple[type, ...], default: Any
) -> Any:
    value = fields.get(name, default)
    if not isinstance(value, kind) or isinstance(value, bool):
        expected = kind.__name__ if isinstance(kind, type) else "number"
        message = f"must be of type {expected}"
        raise InvalidQuestionError(STATUS_BAD_REQUEST, message, name, value)
    return value


def _read_prompt(question: Mapping[str, Any]) -> Prompt | None:
    if question.get("prompt") is None:
        return None
    prompt = _read(question, "prompt", dict, None)
    parts = []
    for part in _read(prompt, "parts", list, []):
        if not isinstance(part, dict):
            message = "each part must have an id and tokens"
            raise InvalidQuestionError(STATUS_BAD_REQUEST, message, "parts", part)
        tokens = _read(part, "tokens", int, None)
        parts.append(PromptPart(_read(part, "id", str, None), tokens))
    return Prompt(
        model=_read(prompt, "model", str, ""),
        tokens_in=_read(prompt, "tokens_in", int, sum(part.tokens for part in parts)),
        max_tokens_out=_read(prompt, "max_tokens_out", int, 0),
        parts=tuple(parts),
    )
