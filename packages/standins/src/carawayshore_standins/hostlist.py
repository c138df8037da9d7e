"""Stand-in of the platform's host list, which lags behind changes."""

from __future__ import annotations

import json
import sys
from collections import deque
from datetime import datetime, timedelta
from typing import Any

from aiohttp import web

from carawayshore.findings import Finding, FindingsError
from carawayshore.options import Field
from carawayshore_standins.common import (
    ADDRESS_FIELDS,
    PLATFORM_FAULTS,
    Standin,
    build_error_response,
    format_now,
    read_fields,
    run_standin,
)

ENTRY_FIELDS = (
    Field("host", "name", "Name of the host.", required=True),
    Field("kind", "choice", "Kind.", default="worker", choices=("worker", "entry")),
    Field("data_centre", "name", "Data centre of the host.", required=True),
    Field("rack", "text", "Rack of the host.", default=""),
    Field("pool", "text", "Pool of the host; empty for an entry host.", default=""),
    Field("address", "address", "Address of the host's service.", required=True),
    Field("state", "choice", "State.", default="live", choices=("live", "leaving")),
    Field("processors", "number", "Processors.", default=16),
    Field("memory_gib", "number", "Memory.", unit="GiB", default=64),
    Field("accelerators", "integer", "Accelerators.", default=0),
    Field("slots", "integer", "Requests run concurrently.", default=8),
    Field("connections", "integer", "Connections that carry requests.", default=64),
)
SETTINGS = ADDRESS_FIELDS + (
    Field("hosts", "entry_list", "Hosts listed at the start.", fields=ENTRY_FIELDS),
    Field(
        "lag_seconds",
        "number",
        "Delay until a change appears in the list.",
        unit="s",
        default=0,
        maximum=86_400,
    ),
)
FAULTS = PLATFORM_FAULTS + (
    Field("stale", "boolean", "Freeze the list: show no further changes.", default=False),
    Field(
        "lag_seconds",
        "number",
        "Lag of later changes, overriding the setting; -1 keeps the setting.",
        unit="s",
        default=-1,
        minimum=-1,
        maximum=86_400,
    ),
)


class HostList(Standin):
    """Host list that shows changes after a lag and can be frozen or have an outage.

    Changes take effect in the actual list at once and are queued until the served list may show
    them.
    """

    name = "host list"
    settings_fields = SETTINGS
    fault_fields = FAULTS

    def __init__(self, settings: dict[str, Any], clock: Any) -> None:
        super().__init__(settings, clock)
        self._actual = {entry["host"]: entry for entry in settings["hosts"]}
        self._served = dict(self._actual)
        self._pending: deque[tuple[timedelta, str, dict[str, Any] | None]] = deque()
        self._frozen_at: datetime | None = None
        self._changes: deque[dict[str, Any]] = deque(maxlen=settings["record_limit"])
        self._reads = 0

    def list_routes(self) -> list[web.RouteDef]:
        return [
            web.get("/v1/hosts", self._list),
            web.put("/v1/hosts/{host}", self._put),
            web.delete("/v1/hosts/{host}", self._delete),
        ]

    def read_record(self) -> dict[str, Any]:
        return {"reads": self._reads, "changes": list(self._changes), "hosts": self._actual}

    def clear_record(self) -> None:
        self._changes.clear()
        self._reads = 0

    def apply_faults(self, request: web.Request) -> None:
        if not self.faults["stale"]:
            self._frozen_at = None
        elif self._frozen_at is None:
            self._apply_due_changes()
            self._frozen_at = self._as_of()

    @property
    def _lag(self) -> timedelta:
        lag = self.faults["lag_seconds"]
        return timedelta(seconds=self.settings["lag_seconds"] if lag < 0 else lag)

    def _as_of(self) -> datetime:
        """Returns the time whose state the served list shows."""
        return self._frozen_at or self.clock.now() - self._lag

    def _apply_due_changes(self) -> None:
        """Applies the changes whose lag has passed to the served list, unless it is frozen."""
        while self._frozen_at is None and self._pending:
            due, host, entry = self._pending[0]
            if due > self.clock.elapsed():
                return
            self._pending.popleft()
            if entry is None:
                self._served.pop(host, None)
            else:
                self._served[host] = entry

    def _record_change(self, host: str, entry: dict[str, Any] | None) -> None:
        if entry is None:
            self._actual.pop(host, None)
        else:
            self._actual[host] = entry
        due = self.clock.elapsed() + self._lag
        if self._pending:
            # Keeps changes in order when a fault shortens the lag.
            due = max(due, self._pending[-1][0])
        self._pending.append((due, host, entry))
        self._changes.append({"at": format_now(self.clock), "host": host, "entry": entry})

    async def _list(self, request: web.Request) -> web.Response:
        self._reads += 1
        self._apply_due_changes()
        data_centre = request.query.get("data_centre")
        hosts = [e for e in self._served.values() if data_centre in (None, e["data_centre"])]
        as_of = self._as_of().isoformat(timespec="milliseconds").replace("+00:00", "Z")
        return web.json_response({"as_of": as_of, "hosts": hosts})

    async def _put(self, request: web.Request) -> web.Response:
        host = request.match_info["host"]
        try:
            members = json.loads(await request.read())
        except ValueError as error:
            raise FindingsError("body", [Finding("", str(error), "a JSON object")]) from error
        if not isinstance(members, dict):
            raise FindingsError("body", [Finding("", members, "an object")])
        merged = self._actual.get(host, {}) | members | {"host": host}
        entry = read_fields(ENTRY_FIELDS, merged, "body")
        self._record_change(host, entry)
        return web.json_response(entry)

    async def _delete(self, request: web.Request) -> web.Response:
        host = request.match_info["host"]
        if host not in self._actual:
            return build_error_response(404, f"host {host!r} is not listed")
        self._record_change(host, None)
        return web.json_response({})


if __name__ == "__main__":
    sys.exit(run_standin(HostList))
