"""Parameters of one request, read from its path, its headers and the configuration."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from carawayd.request.answers import Reason, Refusal
from carawayshore.outcome import Outcome

if TYPE_CHECKING:
    from aiohttp import web

    from carawayd.version.configuration import ActiveVersion
    from carawayshore.configuration import ServiceOptions

PREFIX = "/services/"
KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Carawayshore-Deadline"
TEAM_HEADER = "Carawayshore-Team"
KIND_HEADER = "Carawayshore-Kind"
DECLARED_HEADER = "Carawayshore-Declared"
REPEATABLE_HEADER = "Carawayshore-Repeatable"
HOPS_HEADER = "Carawayshore-Hops"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
MAX_KEY_LENGTH = 200
MAX_KIND_LENGTH = 100
MAX_DEADLINE = timedelta(days=1)


class Plan(NamedTuple):
    """One request: its service, its deadline, and whether it may be repeated.

    Parameters
    ----------
    request : str
        Identifier, unique over all processes.
    service, path : str
        Name of the service, and path of the request below it.
    kind : str
        Class of requests with similar run time, used for predictions; by default the method and the
        first segment of the path.
    team : str
        Name of the caller's team, empty if there is none.
    options : ServiceOptions
        Settings of the service in the configuration.
    deadline : timedelta
        Monotonic time of this process by which the caller wants the response.
    declared : timedelta, optional
        Run time that the caller declared.
    key : str
        Idempotency key, empty if there is none.
    repeatable : bool
        Whether an attempt that may have run may be repeated.
    hops : int
        Number of entry hosts that forwarded the request before this one.
    """

    request: str
    service: str
    path: str
    kind: str
    team: str
    options: ServiceOptions
    deadline: timedelta
    declared: timedelta | None
    key: str
    repeatable: bool
    hops: int


def _build_refusal(detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, status=400, detail=detail)


def _read_seconds(request: web.Request, header: str) -> timedelta | None:
    text = request.headers.get(header)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= MAX_DEADLINE.total_seconds():
        accepted = f"seconds above 0 and up to {MAX_DEADLINE.total_seconds():g}"
        raise _build_refusal(f"{header} is {text!r}, accepted: {accepted}")
    return timedelta(seconds=seconds)


def _read_key(request: web.Request) -> str:
    key = request.headers.get(KEY_HEADER, "")
    if KEY_HEADER in request.headers and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise _build_refusal(
            f"{KEY_HEADER} has {len(key)} characters, accepted: 1 to {MAX_KEY_LENGTH}"
        )
    return key


def _read_hops(request: web.Request) -> int:
    text = request.headers.get(HOPS_HEADER, "0")
    if text not in ("0", "1", "2"):
        raise _build_refusal(f"{HOPS_HEADER} is {text!r}, accepted: 0, 1, 2")
    return int(text)


def _choose_kind(request: web.Request, path: str) -> str:
    first = path.lstrip("/").partition("/")[0]
    return request.headers.get(KIND_HEADER, f"{request.method} {first}")[:MAX_KIND_LENGTH]


def build_plan(
    request: web.Request, identifier: str, version: ActiveVersion, started: timedelta
) -> Plan:
    """Returns the plan of a request that was received at the monotonic time ``started``.

    Raises
    ------
    Refusal
        If the service does not exist or a header is malformed.
    """
    service, _, path = request.raw_path.removeprefix(PREFIX).partition("/")
    options = version.configuration["services"].get(service.partition("?")[0])
    if options is None:
        names = ", ".join(sorted(version.configuration["services"]))
        raise Refusal(
            Outcome.NOT_RUN,
            Reason.NO_SERVICE,
            status=404,
            detail=f"service {service!r} does not exist, accepted: {names}",
        )
    key = _read_key(request)
    deadline = _read_seconds(request, DEADLINE_HEADER)
    repeatable = request.method in IDEMPOTENT_METHODS
    repeatable = repeatable or request.headers.get(REPEATABLE_HEADER, "").lower() == "true"
    return Plan(
        identifier,
        service,
        "/" + path,
        _choose_kind(request, path.partition("?")[0]),
        request.headers.get(TEAM_HEADER, "")[:MAX_KIND_LENGTH],
        options,
        started + (deadline or timedelta(seconds=options["deadline_seconds"])),
        _read_seconds(request, DECLARED_HEADER),
        key,
        repeatable and not key,
        _read_hops(request),
    )
