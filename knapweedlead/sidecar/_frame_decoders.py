"""Decoding of the frames between daemons.

A frame that cannot be decoded raises a `FrameError` and nothing else, whatever a peer
has put into it, so that it costs no more than itself.
"""

import functools
import math
import zlib
from collections.abc import Callable
from typing import Any, TypeVar

import attrs

from knapweedlead.checks import (
    check_amount,
    check_count,
    check_final_status,
    check_flag,
    check_list,
    check_name,
    check_number,
    describe,
)
from knapweedlead.mesh import (
    FINGERPRINT_BYTES,
    AttemptTimes,
    Completion,
    DemandSum,
    DepartedStart,
    Failure,
    FleetChange,
    FleetState,
    LostRun,
    Member,
    Quarantined,
    Reason,
    RouteDemand,
    Sender,
    ServerAnswer,
    ServerEnd,
    ServerState,
    Ticket,
    checked_departure,
    checked_member,
)
from knapweedlead.positions import MAX_ERA, StorePosition
from knapweedlead.sidecar._wire import FrameKind, PeerState

MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024
"""Largest configuration that a frame may expand to."""
MAX_CALLS = 1_000_000
"""Largest number of calls, slots or tokens in a frame."""

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    OverflowError,
    RecursionError,
    zlib.error,
)
_Decoder = TypeVar("_Decoder", bound=Callable[..., Any])

_CALL_TYPES = [int, str, str, str, str, int, bool, float, bytes, bytes, bool]
_ANSWER_TYPES = [int, dict, bytes]
_SHORT_PROBE_FIELDS = 3
"""Fields of a probe with the sender's name but without its data centre; probes after
the first one of a link have neither."""
_SERVER_FIELDS = len(attrs.fields(ServerState))
_RUN_FIELDS = len(attrs.fields(LostRun))
_DEPARTURE_FIELDS = 1 + len(attrs.fields(DepartedStart))
_MEMBER_FIELDS = len(attrs.fields(Member))


class FrameError(ValueError):
    """A frame that cannot be decoded; its text names the kind of the frame."""


def decodes(kind: FrameKind) -> Callable[[_Decoder], _Decoder]:
    """Return a decorator of a decoder, whose errors become a `FrameError`."""

    def decorate(decoder: _Decoder) -> _Decoder:
        @functools.wraps(decoder)
        def decode(*args: Any) -> Any:
            try:
                return decoder(*args)
            except _DECODE_ERRORS as error:
                detail = f"{type(error).__name__}: {error}"
                raise FrameError(f"{kind.name.lower()} frame: {detail}") from error

        return decode  # type: ignore[return-value]

    return decorate


def decode_kind(frame: list[Any]) -> int:
    """Return the kind of a frame, which may be unknown.

    Raises
    ------
    FrameError
    """
    if type(frame[0]) is not int:
        raise FrameError(f"expected the kind of a frame, got {describe(frame[0])}")
    return frame[0]


def decode_number(frame: list[Any]) -> int:
    """Return the number of the call that a frame is about.

    Raises
    ------
    FrameError
    """
    number = frame[1] if len(frame) > 1 else None
    if type(number) is not int:
        raise FrameError(f"expected the number of a call, got {describe(number)}")
    return number


@decodes(FrameKind.CALL)
def decode_call(frame: list[Any], sender: Sender, now: float) -> Ticket:
    """Return the call in a frame; `sender` receives its outcome."""
    fields = frame[1 : 1 + len(_CALL_TYPES)]
    _check_types(fields, _CALL_TYPES)
    number, request_id, service, route, account, priority, *rest = fields
    is_idempotent, remaining, head, body, is_head_method = rest
    return Ticket(
        number=number,
        sender=sender,
        request_id=request_id,
        service=service,
        route=route,
        account=account,
        priority=priority,
        is_idempotent=is_idempotent,
        deadline=now + check_number(remaining),
        head=head,
        body=body,
        is_head_method=is_head_method,
    )


@decodes(FrameKind.ANSWER)
def decode_answer(frame: list[Any]) -> tuple[ServerAnswer, AttemptTimes]:
    """Return the answer in a frame, and the times of the attempt."""
    status, headers, body, _, _, waited, ran = frame[2:9]
    _check_types([status, headers, body], _ANSWER_TYPES)
    times = AttemptTimes(check_number(waited), check_number(ran))
    return ServerAnswer(check_final_status(status), headers, body), times


def _check_types(fields: list[Any], expected: list[type]) -> None:
    found = list(map(type, fields))
    if found != expected:
        names = [kind.__name__ for kind in found]
        raise TypeError(f"expected {[t.__name__ for t in expected]}, got {names}")


@decodes(FrameKind.FAILURE)
def decode_failure(frame: list[Any]) -> Failure:
    """Return the failure in a frame; an unknown reason is decoded as a failed run."""
    _, _, reason, may_have_run, was_sent, retry_after = frame[:6]
    try:
        known = Reason(reason)
    except ValueError:
        return Failure(Reason.FAILED, True, True)
    return Failure(known, bool(may_have_run), bool(was_sent), check_amount(retry_after))


def decode_load(frame: list[Any], start: int) -> tuple[int, int]:
    """Return the running and queued calls in the fields of a frame from `start`.

    Raises
    ------
    FrameError
    """
    try:
        running, queued = frame[start : start + 2]
        return check_count(running, MAX_CALLS), check_count(queued, MAX_CALLS)
    except ValueError as error:
        raise FrameError(f"load in a frame: {error}") from error


@decodes(FrameKind.STATE)
def decode_peer_state(frame: list[Any]) -> PeerState:
    """Return the state in a frame; fields of later versions are ignored."""
    requested_at, lead, revision, is_watching = frame[1:5]
    era, version = _appended(frame, 5 + _SERVER_FIELDS, 2)
    return PeerState(
        check_number(requested_at),
        check_number(lead),
        _position(era, revision),
        check_flag(is_watching),
        _checked_server_state(*frame[5 : 5 + _SERVER_FIELDS]),
        check_count(version),
    )


def _appended(frame: list[Any], start: int, count: int) -> list[Any]:
    """Return appended fields of a frame; 0 for those that an earlier version lacks."""
    fields = frame[start : start + count]
    return fields + [0] * (count - len(fields))


def _position(era: Any, revision: Any) -> StorePosition:
    return StorePosition(check_count(era, MAX_ERA), check_count(revision))


def _checked_server_state(*fields: Any) -> ServerState:
    """Return the state of a server; the last fields may be missing."""
    server = ServerState(*fields)
    for name in (server.instance, server.service):
        if name != "":
            check_name(name)
    for calls in (server.running, server.queued, server.limit):
        check_count(calls, MAX_CALLS)
    for flag in (server.is_open, server.is_cold, server.is_leaving):
        check_flag(flag)
    for amount in (server.service_time, server.failure_share):
        check_amount(amount)
    if server.rate_limit != math.inf:
        check_amount(server.rate_limit)
    check_count(server.born)
    return server


@decodes(FrameKind.FLEET_STATE)
def decode_fleet_state(frame: list[Any], known: FleetState) -> FleetState | None:
    """Return the fleet state in a frame; None if it is older than the known state.

    The configuration is copied from `known` if `known` has the same position of the
    configuration; the frame may then leave the configuration out. A frame without the
    configuration is outdated if a newer one has become known since it was requested.
    Members that cannot be decoded are left out.
    """
    revision, configuration_revision, compressed, evacuated, rows = frame[1:6]
    era, configuration_era = _appended(frame, 6, 2)
    members = _decode_members(rows)
    unlisted = _names_at(frame, 8)
    position = _position(era, revision)
    configuration_position = _position(configuration_era, configuration_revision)
    configuration = known.configuration
    if configuration_position != known.configuration_position:
        if not compressed and position < known.position:
            return None
        configuration = _decompressed(compressed)
    return FleetState(
        position=position,
        configuration=configuration,
        configuration_position=configuration_position,
        evacuated=frozenset(map(check_name, check_list(evacuated))),
        member_by_name={member.name: member for member in members},
        known_names=frozenset(member.name for member in members).union(unlisted),
        departure_by_key=_departures_at(frame, 9),
    )


def _names_at(frame: list[Any], index: int) -> tuple[str, ...]:
    """Return an appended list of names; empty if an earlier version lacks it."""
    names = frame[index] if len(frame) > index else []
    return tuple(map(check_name, check_list(names)))


def _departures_at(frame: list[Any], index: int) -> dict[str, DepartedStart]:
    """Return appended departures by key; none if an earlier version lacks them."""
    rows = frame[index] if len(frame) > index else []
    return {
        check_name(key): checked_departure(*fields)
        for key, *fields in (row[:_DEPARTURE_FIELDS] for row in check_list(rows))
    }


def _decompressed(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(compressed, MAX_CONFIGURATION_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"expected a configuration of at most {MAX_CONFIGURATION_BYTES} bytes"
        )
    return data


def _decode_members(rows: Any) -> list[Member]:
    """Return the members in rows, without those that cannot be decoded."""
    members = []
    for row in check_list(rows):
        try:
            members.append(checked_member(*check_list(row)[:_MEMBER_FIELDS]))
        except (ValueError, TypeError):
            continue
    return members


@decodes(FrameKind.FLEET_CHANGE)
def decode_change(frame: list[Any]) -> tuple[StorePosition, FleetChange]:
    """Return the base position of the changes in a frame, and the changes.

    Members that cannot be decoded are left out.
    """
    base, revision, configuration_revision, evacuated, returned, rows, left = frame[1:8]
    base_era, era, configuration_era = _appended(frame, 8, 3)
    change = FleetChange(
        position=_position(era, revision),
        configuration_position=_position(configuration_era, configuration_revision),
        evacuated=tuple(map(check_name, check_list(evacuated))),
        returned=tuple(map(check_name, check_list(returned))),
        joined=tuple(_decode_members(rows)),
        left=tuple(map(check_name, check_list(left))),
        remembered=_names_at(frame, 11),
        forgotten=_names_at(frame, 12),
        departed=_departures_at(frame, 13),
        dropped=_names_at(frame, 14),
    )
    return _position(base_era, base), change


@decodes(FrameKind.DEMAND_REPORT)
def decode_demand(frame: list[Any]) -> tuple[str, DemandSum]:
    """Return the sender and the sum of demands in a frame of any demand kind."""
    sender, demand_by_service, rows = frame[1:4]
    estimate_by_route = {}
    weight_by_route = {}
    for route, row in rows.items():
        slot_time, ratio_by_child, weight = row[:3]
        estimate = RouteDemand(check_amount(slot_time), _amounts(ratio_by_child))
        estimate_by_route[check_name(route)] = estimate
        weight_by_route[route] = check_amount(weight)
    demand = _amounts(demand_by_service)
    return check_name(sender), DemandSum(demand, estimate_by_route, weight_by_route)


def _amounts(by_name: dict[Any, Any]) -> dict[str, float]:
    return {check_name(name): check_amount(value) for name, value in by_name.items()}


@decodes(FrameKind.PROBE)
def decode_probe(frame: list[Any]) -> tuple[float, str, str]:
    """Return the time of a probe, and the sender's name and data centre.

    Both are empty unless the probe is the first one of its link.
    """
    sent_at = check_number(frame[1])
    if len(frame) <= _SHORT_PROBE_FIELDS:
        return sent_at, "", ""
    name, data_centre = frame[2:4]
    return sent_at, check_name(name), check_name(data_centre)


@decodes(FrameKind.FLEET_STATE_REQUEST)
def decode_state_request(frame: list[Any]) -> StorePosition:
    """Return the position of the configuration that the sender knows."""
    (era,) = _appended(frame, 2, 1)
    return _position(era, frame[1])


@decodes(FrameKind.TOKEN_REQUEST)
def decode_token_request(frame: list[Any]) -> tuple[str, int, bool]:
    """Return account and number of tokens requested, and for which calls."""
    account, wanted, is_important = frame[1:4]
    return (
        check_name(account),
        check_count(wanted, MAX_CALLS),
        check_flag(is_important),
    )


@decodes(FrameKind.TOKEN_GRANT)
def decode_token_grant(frame: list[Any]) -> tuple[str, int, bool, float]:
    """Return account and number of tokens lent, for which calls, and when more are."""
    account, lent, is_important, retry_after = frame[1:5]
    return (
        check_name(account),
        check_count(lent, MAX_CALLS),
        check_flag(is_important),
        check_amount(retry_after),
    )


@decodes(FrameKind.SERVER_DEPARTED)
def decode_departure(frame: list[Any]) -> tuple[str, int]:
    """Return instance and start time of a server that leaves."""
    instance, born = frame[1:3]
    return check_name(instance), check_count(born)


@decodes(FrameKind.SERVER_ENDED)
def decode_server_end(frame: list[Any]) -> ServerEnd:
    """Return the end of a server in a frame, with the runs that it lost."""
    instance, born, rows = frame[1:4]
    runs = tuple(_lost_run(*row[:_RUN_FIELDS]) for row in check_list(rows))
    return ServerEnd(check_name(instance), check_count(born), runs)


def _lost_run(name: Any, started_ago: Any, ended_ago: Any, is_known: Any) -> LostRun:
    return LostRun(
        _fingerprint(name),
        check_amount(started_ago),
        check_amount(ended_ago),
        check_flag(is_known),
    )


@decodes(FrameKind.REQUESTS_COMPLETED)
def decode_completion(frame: list[Any]) -> Completion:
    """Return the suspect requests in a frame that have completed."""
    return Completion(tuple(map(_fingerprint, check_list(frame[1]))))


@decodes(FrameKind.REQUESTS_QUARANTINED)
def decode_quarantined(frame: list[Any]) -> list[Quarantined]:
    """Return the requests in quarantine in a frame."""
    return [
        Quarantined(_fingerprint(row[0]), check_amount(row[1]))
        for row in check_list(frame[1])
    ]


def _fingerprint(value: Any) -> bytes:
    if type(value) is not bytes or len(value) != FINGERPRINT_BYTES:
        raise ValueError(f"expected a fingerprint, got {describe(value)}")
    return value
