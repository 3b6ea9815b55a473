"""Refusals of opaque requests: status, body and ``Retry-After``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.relay.requests import RefusedError
from greengagelatch.verdict import Verdict

from ..adapters.caller_answers import CONTENT_TYPE, describe_refusal, encode

if TYPE_CHECKING:
    from greengagelatch.relay.part_quarantine import PartHold

    from .exchange import RelayExchange

__all__ = (
    "create_error",
    "create_part_error",
    "create_quarantine_error",
    "create_trial_error",
    "encode_refusal",
    "find_refusal_status",
)

_STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNAUTHORIZED: 401,
    RefusalCode.UNKNOWN_PIPELINE: 404,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.QUOTA: 429,
}
#: least seconds after which callers may retry while a prompt part is in quarantine
MIN_TRIAL_RETRY_AFTER = 1.0
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504


def find_refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status; one that implies "not run" only if that is proven."""
    status = _STATUS_BY_CODE.get(refusal.code)
    if status is not None:
        return status
    if refusal.verdict is Verdict.NOT_RUN:
        return STATUS_UNAVAILABLE
    if refusal.code is RefusalCode.DEADLINE:
        return STATUS_GATEWAY_TIMEOUT
    return STATUS_BAD_GATEWAY


def encode_refusal(
    request_id: str, refusal: Refusal
) -> tuple[tuple[tuple[str, str], ...], bytes]:
    """Return the response headers and body of a refusal."""
    headers = [("Content-Type", CONTENT_TYPE)]
    if refusal.retry_after_ms is not None and refusal.verdict is Verdict.NOT_RUN:
        headers.append(("Retry-After", f"{refusal.retry_after_ms / 1000:.3f}"))
    return tuple(headers), encode(describe_refusal(request_id, refusal))


def create_error(
    exchange: RelayExchange,
    code: RefusalCode,
    message: str,
    *,
    retry_after: float | None = None,
    field: str = "",
    value: str = "",
) -> RefusedError:
    """Return the error that refuses ``exchange`` with its current verdict.

    :param retry_after: seconds after which a retry may succeed
    """
    refusal = Refusal(
        code=code,
        message=message,
        verdict=exchange.verdict,
        field=field,
        value=value,
        retry_after_ms=None if retry_after is None else round(retry_after * 1000),
    )
    return RefusedError(refusal)


def create_quarantine_error(exchange: RelayExchange, seconds: float) -> RefusedError:
    """Return the error that refuses a request suspected of crashing targets.

    :param seconds: remaining time in quarantine
    """
    return create_error(
        exchange,
        RefusalCode.QUARANTINED,
        f"targets have crashed on this request; quarantined for {seconds:.0f} s more",
        retry_after=seconds,
        field="digest",
        value=exchange.digest,
    )


def create_part_error(exchange: RelayExchange, hold: PartHold) -> RefusedError:
    """Return the error that refuses a request as a part of its prompt crashes targets.

    A retry before the next trial would be refused as well.
    """
    seconds = max(hold.trial_seconds, MIN_TRIAL_RETRY_AFTER)
    return create_error(
        exchange,
        RefusalCode.QUARANTINED,
        "targets have crashed on a part of the prompt; it is tried again in"
        f" {seconds:.0f} s",
        retry_after=seconds,
        field="parts",
        value=hold.part.part_id,
    )


def create_trial_error(exchange: RelayExchange, seconds: float) -> RefusedError:
    """Return the error that refuses a suspected request while another send of it runs.

    :param seconds: time after which its outcome should be known
    """
    return create_error(
        exchange,
        RefusalCode.QUARANTINED,
        "targets have crashed on this request; the outcome of another attempt is not"
        " known yet",
        retry_after=seconds,
        field="digest",
        value=exchange.digest,
    )
