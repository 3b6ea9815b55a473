"""Messages by which instances share stage work and exchange state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..peers.codec import Message, check_rows, check_type, register
from .brittle_services import BrittleNews
from .incarnations import Incarnation
from .permit_messages import RATE_LIMIT_KINDS
from .pieces import Bundle, Piece, PieceFailure, PieceResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .groups import MakerGroup

__all__ = (
    "BrittleServicesUpdate",
    "CrashReportsUpdate",
    "PeerSyncAnswer",
    "PeerSyncQuery",
    "BundleCancelled",
    "BundleResults",
    "BundleInputsRead",
    "BundleRequest",
    "ResultsReleased",
    "StageWaits",
    "decode_brittle",
    "decode_bundle",
    "decode_results",
    "encode_brittle",
    "encode_bundle",
    "encode_results",
)

#: most pieces of one bundle that are accepted from a peer
MAX_PIECES = 4096


@register("pieces-wanted")
@dataclass(frozen=True, slots=True)
class BundleRequest(Message):
    """Asks the owner of a group of makers to have a bundle made.

    Monotonic clocks of two instances can't be compared, so times are sent as the
    seconds remaining when the message is encoded.
    """

    bundle_id: str = ""
    service: str = ""
    request_id: str = ""
    stage: int = 0
    segments: tuple[int, ...] = ()
    key: str = ""
    inputs: tuple[str, ...] = ()
    result_bytes: int = 0
    aim_seconds: float = 0.0
    latest_seconds: float = 0.0
    #: until the inputs of the pieces expire; ``None``: they do not
    inputs_seconds: float | None = None
    #: pairs of id and start of the makers that hold the inputs
    input_makers: tuple[Any, ...] = ()
    rank: float = 0.0
    data_centre: str = ""
    moved_bytes: int = 0
    begun: bool = False
    #: data centre of the group of makers; empty: all makers of the service
    group: str = ""
    #: digest of the request; empty: sent by an earlier release
    digest: str = ""
    #: data centres of the makers that may make it; ``None``: all
    allowed: tuple[Any, ...] | None = None

    def __post_init__(self) -> None:
        for text in (self.bundle_id, self.service, self.request_id, self.key):
            check_type(text, str)
        check_type(self.digest, str)
        check_type(self.data_centre, str)
        check_type(self.group, str)
        for number in (self.stage, self.result_bytes, self.moved_bytes):
            check_type(number, int)
        for number in (self.aim_seconds, self.latest_seconds, self.rank):
            check_type(number, (int, float))
        check_type(self.allowed, (tuple, list, type(None)))
        for data_centre in self.allowed or ():
            check_type(data_centre, str)
        check_type(self.inputs_seconds, (int, float, type(None)))
        for rows in (self.segments, self.inputs, self.input_makers):
            check_type(rows, (tuple, list))
        for row in self.input_makers:
            _check_maker(row)
        if not 0 < len(self.segments) <= MAX_PIECES:
            raise ValueError(
                f"bundle has {len(self.segments)} pieces, not 1 to {MAX_PIECES}"
            )


@register("pieces-made")
@dataclass(frozen=True, slots=True)
class BundleResults(Message):
    """Answers with the results of a bundle, in the order of its segments."""

    #: see :func:`encode_results`
    results: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.results, (tuple, list))


@register("stage-waits")
@dataclass(frozen=True, slots=True)
class StageWaits(Message):
    """Reports the wait of a new piece in the queues of the sender."""

    #: from earlier releases: rows of service, seconds of queue that can still meet the
    #: objective, and seconds of the whole queue
    waits: tuple[Any, ...] = ()
    #: rows of service, data centre of its makers (empty: all of them), both waits as
    #: above, and the seconds that a call takes
    queues: tuple[Any, ...] = ()
    #: rows of service, data centre, priority rank and both waits at this rank, where
    #: less urgent requests yield; the ranks of a queue rise
    ranks: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        _check_rows(self.waits, (str,), 2)
        _check_rows(self.ranks, (str, str), 3)
        _check_rows(self.queues, (str, str), 3)


@register("pieces-read")
@dataclass(frozen=True, slots=True)
class BundleInputsRead(Message):
    """Tells the sender of a bundle that its inputs are not needed any more."""

    bundle_id: str = ""


@register("pieces-dropped")
@dataclass(frozen=True, slots=True)
class BundleCancelled(Message):
    """Cancels a bundle at its owner."""

    bundle_id: str = ""


@register("results-freed")
@dataclass(frozen=True, slots=True)
class ResultsReleased(Message):
    """Releases results at the owner that had them made."""

    service: str = ""
    #: see :func:`encode_results`
    results: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.service, str)
        check_type(self.results, (tuple, list))


@register("news-query")
@dataclass(frozen=True, slots=True)
class PeerSyncQuery(Message):
    """Asks a peer for changes of the store after these revisions."""

    configuration_revision: int = 0
    listing_revision: int = 0
    crashes_revision: int = 0
    evacuations_revision: int = 0
    versions_revision: int = 0

    def __post_init__(self) -> None:
        check_type(self.configuration_revision, int)
        check_type(self.listing_revision, int)
        check_type(self.crashes_revision, int)
        check_type(self.evacuations_revision, int)
        check_type(self.versions_revision, int)


@register("news")
@dataclass(frozen=True, slots=True)
class PeerSyncAnswer(Message):
    """Answers with what the sender knows beyond the revisions of the query."""

    #: seconds since the sender was last known to be up to date with the store;
    #: ``None``: sent by an earlier release
    heard_seconds: float | None = None
    configuration_revision: int = 0
    #: compressed; empty if the receiver is up to date
    configuration: bytes = b""
    listing_revision: int = 0
    #: whether ``targets`` contains a listing
    listed: bool = False
    #: see :func:`~greengagelatch.relay.target_rows.encode_target`
    targets: tuple[Any, ...] = ()
    #: key, revision and value of crash reports, oldest first
    crashes: tuple[Any, ...] = ()
    #: 0: sent by an earlier release, or not newer than the revision of the query
    evacuations_revision: int = 0
    #: pairs of evacuated data centre and revision of its evacuation
    evacuations: tuple[Any, ...] = ()
    #: id and start of cold targets, and the seconds for which each may still be cold
    cold_targets: tuple[Any, ...] = ()
    #: see :func:`encode_brittle`
    brittle_services: tuple[Any, ...] = ()
    #: see :func:`~greengagelatch.relay.target_rows.encode_versions`
    target_versions: tuple[Any, ...] = ()
    #: see :func:`~greengagelatch.relay.permit_messages.encode_rate_limits`
    rate_limits: tuple[Any, ...] = ()
    #: 0: sent by an earlier release, or not newer than the revision of the query
    versions_revision: int = 0
    #: record of the versions of services, as in the store, and the revision at which it
    #: was written
    versions: bytes = b""
    versions_written: int = 0

    def __post_init__(self) -> None:
        check_type(self.versions_revision, int)
        check_type(self.versions, bytes)
        check_type(self.versions_written, int)
        check_rows(self.rate_limits, RATE_LIMIT_KINDS)
        check_rows(self.target_versions, (str, int, str))
        check_type(self.crashes, (tuple, list))
        check_type(self.evacuations_revision, int)
        _check_rows(self.evacuations, (str, int), 0)
        _check_rows(self.cold_targets, (str, int), 1)
        _check_rows(self.brittle_services, (str, int), 2)
        check_type(self.heard_seconds, (int, float, type(None)))
        check_type(self.configuration, bytes)
        check_type(self.configuration_revision, int)
        check_type(self.listing_revision, int)
        check_type(self.targets, (tuple, list))


@register("crashes-seen")
@dataclass(frozen=True, slots=True)
class CrashReportsUpdate(Message):
    """Crash reports that have not been written to the store yet."""

    #: key and value of each, as they are to be stored
    rows: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.rows, (tuple, list))


@register("brittle-services")
@dataclass(frozen=True, slots=True)
class BrittleServicesUpdate(Message):
    """Services whose targets are brittle, as the sender knows."""

    #: see :func:`encode_brittle`
    rows: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        _check_rows(self.rows, (str, int), 2)


def encode_brittle(news: Iterable[BrittleNews]) -> tuple[Any, ...]:
    """Return brittle services as rows of a message.

    A row holds the service, its limit, the seconds since it was last said, and those
    of the longest run.
    """
    return tuple(
        (one.service, one.limit, round(one.age, 3), round(one.run_seconds, 3))
        for one in news
    )


def decode_brittle(rows: Iterable[Any]) -> list[BrittleNews]:
    """Return the brittle services in rows of a message."""
    return [
        BrittleNews(
            service=service, limit=max(0, limit), age=age, run_seconds=run_seconds
        )
        for service, limit, age, run_seconds in rows
    ]


def encode_bundle(bundle: Bundle, group: MakerGroup, now: float) -> BundleRequest:
    """Return the message that asks the owner of a group for a bundle."""
    first = bundle.pieces[0]
    return BundleRequest(
        bundle_id=bundle.bundle_id,
        service=bundle.service,
        request_id=first.request_id,
        stage=first.stage,
        segments=tuple(piece.segment for piece in bundle.pieces),
        key=first.key,
        inputs=first.inputs,
        result_bytes=bundle.result_bytes,
        aim_seconds=bundle.soft_deadline - now,
        latest_seconds=bundle.hard_deadline - now,
        inputs_seconds=_find_seconds(bundle.inputs_expire_at, now),
        input_makers=tuple(
            (one.target_id, one.started_ms) for one in bundle.input_makers
        ),
        rank=bundle.rank,
        data_centre=bundle.data_centre,
        moved_bytes=bundle.moved_bytes,
        begun=bundle.begun,
        group=group.data_centre,
        digest=bundle.digest,
        allowed=None
        if bundle.data_centres is None
        else tuple(sorted(bundle.data_centres)),
    )


def decode_bundle(message: BundleRequest, now: float) -> Bundle:
    """Return the bundle in a message."""
    pieces = tuple(
        Piece(
            request_id=message.request_id,
            stage=message.stage,
            segment=segment,
            key=message.key,
            inputs=tuple(message.inputs),
        )
        for segment in message.segments
    )
    return Bundle(
        bundle_id=message.bundle_id,
        service=message.service,
        pieces=pieces,
        result_bytes=message.result_bytes,
        soft_deadline=now + message.aim_seconds,
        hard_deadline=now + message.latest_seconds,
        inputs_expire_at=_find_moment(message.inputs_seconds, now),
        input_makers=tuple(Incarnation(*row) for row in message.input_makers),
        rank=message.rank,
        data_centre=message.data_centre,
        moved_bytes=message.moved_bytes,
        begun=message.begun,
        digest=message.digest,
        data_centres=None if message.allowed is None else frozenset(message.allowed),
    )


def _find_seconds(moment: float, now: float) -> float | None:
    return None if moment == float("inf") else moment - now


def _find_moment(seconds: float | None, now: float) -> float:
    return float("inf") if seconds is None else now + seconds


def encode_results(results: tuple[PieceResult, ...]) -> tuple[Any, ...]:
    """Return results as rows of a message.

    A row holds the handle, the maker's data centre, and the maker's id and start. The
    row of a piece that was not made holds an empty string and the reason.
    """
    return tuple(
        (one.handle, one.data_centre, one.maker.target_id, one.maker.started_ms)
        if one.failure is None
        else ("", one.failure.value)
        for one in results
    )


def decode_results(rows: tuple[Any, ...], count: int) -> tuple[PieceResult, ...] | None:
    """Return the results of a message; ``None`` if it is invalid."""
    if len(rows) != count:
        return None
    results = []
    for row in rows:
        try:
            results.append(_decode_result(row))
        except (TypeError, ValueError):
            return None
    return tuple(results)


def _decode_result(row: Any) -> PieceResult:
    """Return the result of one row.

    :raises TypeError: if a value can't be unpacked
    :raises ValueError: if the row is invalid
    """
    check_type(row, (tuple, list))
    handle, detail, *maker = row
    check_type(handle, str)
    check_type(detail, str)
    if not handle:
        return PieceResult(failure=PieceFailure(detail))
    _check_maker(maker)
    return PieceResult(handle=handle, data_centre=detail, maker=Incarnation(*maker))


def _check_maker(row: Any) -> None:
    """Check a pair of a maker's id and start.

    :raises ValueError: if the pair is invalid
    """
    check_type(row, (tuple, list))
    target_id, started_ms = row
    check_type(target_id, str)
    check_type(started_ms, int)
    if isinstance(started_ms, bool) or started_ms < 0:
        raise ValueError(f"invalid start of maker {target_id!r}: {started_ms!r}")


def _check_rows(rows: Any, names: tuple[type, ...], numbers: int) -> None:
    """Check that each row holds names followed by numbers.

    :raises ValueError: if a row does not
    """
    check_rows(rows, (*names, *((int, float),) * numbers))
