"""Stand-in for the platform's log service."""

from __future__ import annotations

import asyncio
import itertools
import math
import re
import sys
from collections import deque
from datetime import timedelta
from typing import Any

from aiohttp import web

from carawayshore.findings import Finding, FindingsError
from carawayshore.options import Field
from carawayshore_standins.common import (
    ADDRESS_FIELDS,
    LOSS_FAULTS,
    PLATFORM_FAULTS,
    LostResponseError,
    Standin,
    build_error_response,
    format_now,
    read_body,
    run_standin,
)

STREAM_PATTERN = re.compile(r"[a-z][a-z0-9.-]{0,80}")
MAX_READ_RECORDS = 10_000
DEFAULT_READ_RECORDS = 1_000
MAX_WAIT_SECONDS = 60.0

SETTINGS = ADDRESS_FIELDS + (
    Field(
        "appends_per_second",
        "number",
        "Sustained rate of appends over all streams.",
        unit="appends/s",
        default=300,
        minimum=0.001,
    ),
    Field("burst", "integer", "Appends accepted at once.", default=300, minimum=1),
    Field(
        "retention_records",
        "integer",
        "Records kept in each stream.",
        default=100_000,
        minimum=1,
    ),
)
FAULTS = (
    PLATFORM_FAULTS
    + LOSS_FAULTS
    + (
        Field(
            "retention",
            "integer",
            "Records kept in each stream instead of the setting; 0 keeps the setting.",
            default=0,
        ),
    )
)
_ENVELOPE_FIELDS = (
    Field(
        "id",
        "object",
        "Identity of the record.",
        required=True,
        fields=(
            Field("producer", "text", "Producer of the record.", required=True),
            Field("sequence", "integer", "Number of the record.", required=True, maximum=2**63),
        ),
    ),
    Field("type", "text", "Type of the record.", required=True),
    Field("body", "any_object", "Body of the record.", required=True),
)
APPEND_FIELDS = (
    Field(
        "records",
        "entry_list",
        "Envelopes, appended in this order.",
        required=True,
        fields=_ENVELOPE_FIELDS,
    ),
)


def _read_number(request: web.Request, name: str, default: float, maximum: float) -> float:
    text = request.query.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        accepted = f"a number from 0 to {maximum:g}"
        raise FindingsError("query", [Finding(f"/{name}", text, accepted)])
    return value


class Stream:
    """Records of one stream; offsets start at 0 and are never reused."""

    def __init__(self) -> None:
        self.first = 0
        self.records: deque[Any] = deque()
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, records: list[Any]) -> int:
        """Appends ``records`` and returns the offset of the first one."""
        offset = self.end
        self.records.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def trim(self, max_records: int) -> None:
        """Removes the oldest records until at most ``max_records`` are left."""
        while len(self.records) > max_records:
            self.records.popleft()
            self.first += 1

    def read(self, offset: int, limit: int) -> list[dict[str, Any]]:
        """Returns at most ``limit`` records from ``offset`` on."""
        start = offset - self.first
        items = itertools.islice(self.records, start, start + limit)
        return [{"offset": offset + n, "record": item} for n, item in enumerate(items)]


class LogService(Standin):
    """Append-only streams with long polling, retention, a rate limit and fault injection."""

    name = "log service"
    settings_fields = SETTINGS
    fault_fields = FAULTS

    def __init__(self, settings: dict[str, Any], clock: Any) -> None:
        super().__init__(settings, clock)
        self._streams: dict[str, Stream] = {}
        self._tokens = float(settings["burst"])
        self._refilled_at = clock.elapsed()
        self._appends: deque[dict[str, Any]] = deque(maxlen=settings["record_limit"])
        self._rate_rejections = 0

    def list_routes(self) -> list[web.RouteDef]:
        return [
            web.post("/v1/streams/{stream}/records", self._append),
            web.get("/v1/streams/{stream}/records", self._read),
        ]

    def read_record(self) -> dict[str, Any]:
        streams = {
            name: {"first": stream.first, "end": stream.end}
            for name, stream in self._streams.items()
        }
        return {
            "appends": list(self._appends),
            "rate_rejections": self._rate_rejections,
            "streams": streams,
        }

    def clear_record(self) -> None:
        self._appends.clear()
        self._rate_rejections = 0

    def apply_faults(self, request: web.Request) -> None:
        for stream in self._streams.values():
            stream.trim(self._retention)

    @property
    def _retention(self) -> int:
        return self.faults["retention"] or self.settings["retention_records"]

    def _get_stream(self, request: web.Request) -> Stream:
        name = request.match_info["stream"]
        if not STREAM_PATTERN.fullmatch(name):
            accepted = "lower case letters, digits, '.' and '-', at most 81"
            raise FindingsError("path", [Finding("/stream", name, accepted)])
        return self._streams.setdefault(name, Stream())

    def _take_token(self) -> float:
        """Takes a token of the rate limit; returns 0, or the seconds until one is available."""
        rate, now = self.settings["appends_per_second"], self.clock.elapsed()
        gained = (now - self._refilled_at).total_seconds() * rate
        self._tokens, self._refilled_at = min(self._tokens + gained, self.settings["burst"]), now
        if self._tokens < 1:
            return (1 - self._tokens) / rate
        self._tokens -= 1
        return 0.0

    async def _append(self, request: web.Request) -> web.Response:
        stream = self._get_stream(request)
        body = await read_body(request, APPEND_FIELDS)
        if not body["records"]:
            raise FindingsError("body", [Finding("/records", [], "at least one envelope")])
        wait = self._take_token()
        if wait:
            self._rate_rejections += 1
            headers = {"Retry-After": str(math.ceil(wait))}
            return build_error_response(429, "append rate exceeded", headers, retry_after=wait)
        first = stream.append(body["records"])
        entry = {"stream": request.match_info["stream"], "first": first, "end": stream.end}
        lost = self.should_lose_response(f"{entry['stream']}:{first}")
        self._appends.append(entry | {"at": format_now(self.clock), "answer_lost": lost})
        stream.trim(self._retention)
        if lost:
            raise LostResponseError
        return web.json_response({"first": first, "end": entry["end"]})

    async def _read(self, request: web.Request) -> web.Response:
        stream = self._get_stream(request)
        offset = int(_read_number(request, "from", 0, 2**62))
        limit = int(_read_number(request, "limit", DEFAULT_READ_RECORDS, MAX_READ_RECORDS))
        wait = _read_number(request, "wait", 0, MAX_WAIT_SECONDS)
        if offset >= stream.end and wait:
            await self._await_change(stream, offset, wait)
        bounds = {"first": stream.first, "end": stream.end}
        if self.faults["outage"]:
            return build_error_response(503, f"{self.name} has an outage")
        if offset < stream.first:
            return build_error_response(
                410, f"records before {stream.first} were removed", **bounds
            )
        return web.json_response({"records": stream.read(offset, limit), **bounds})

    async def _await_change(self, stream: Stream, offset: int, seconds: float) -> None:
        """Waits until the stream has a record at ``offset``, for at most ``seconds``."""
        timer = asyncio.ensure_future(self.clock.sleep(timedelta(seconds=seconds)))
        try:
            while offset >= stream.end and not timer.done():
                change = asyncio.ensure_future(stream.changed.wait())
                await asyncio.wait({timer, change}, return_when=asyncio.FIRST_COMPLETED)
                change.cancel()
        finally:
            timer.cancel()


if __name__ == "__main__":
    sys.exit(run_standin(LogService))
