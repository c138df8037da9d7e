"""Common base of the stand-ins: settings, fault injection, the record and the HTTP server."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import signal
import sys
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

from aiohttp import web

from carawayshore.clock import SystemClock
from carawayshore.findings import Finding, FindingsError, join_pointer
from carawayshore.options import Field, check, check_fields, fill_defaults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayshore.clock import Clock

MAX_BODY_BYTES = 256 * 1024  # Limit of the log service, used by all stand-ins.
KEEPALIVE_SECONDS = 3600.0  # Long, so that only faults close idle connections.
SHUTDOWN_SECONDS = 1.0

ADDRESS_FIELDS = (
    Field("address", "address", "Address to listen on.", required=True),
    Field(
        "listeners",
        "mapping",
        "Further addresses by name, so that a partition can affect some clients only.",
        fields=(Field("address", "address", "Address to listen on.", required=True),),
    ),
    Field("record_limit", "integer", "Entries kept in each list of the record.", default=200_000),
)
PARTITION_FAULTS = (
    Field("drop", "boolean", "Accept connections and close them.", default=False),
    Field("drop_listeners", "names", "Drop only requests that arrive at these listeners."),
    Field("seed", "integer", "Seed that selects the affected requests.", default=0),
)
LOSS_FAULTS = (
    Field("lose_answers", "integer", "Number of responses to lose.", default=0),
    Field("lose_answers_share", "number", "Share of responses to lose.", default=0.0, maximum=1),
)
PLATFORM_FAULTS = PARTITION_FAULTS + (
    Field("outage", "boolean", "Answer 503 to everything.", default=False),
    Field("slow", "number", "Delay added to each response.", unit="s", default=0.0, maximum=3600),
)


class LostResponseError(Exception):
    """Raised to close the connection without a response; effects of the request are kept."""


@check("base_url")
def _check_base_url(field: Field, value: Any, pointer: str) -> list[Finding]:
    if isinstance(value, str) and value.startswith("http://"):
        return []
    return [Finding(pointer, value, "a URL, for example http://127.0.0.1:8080")]


@check("any_object")
def _check_any_object(field: Field, value: Any, pointer: str) -> list[Finding]:
    return [] if isinstance(value, dict) else [Finding(pointer, value, "an object")]


@check("optional_object")
def _check_optional_object(field: Field, value: Any, pointer: str) -> list[Finding]:
    if value is None or isinstance(value, dict):
        return []
    return [Finding(pointer, value, "an object or null")]


@check("address_list")
def _check_address_list(field: Field, value: Any, pointer: str) -> list[Finding]:
    if not isinstance(value, list) or not value:
        return [Finding(pointer, value, "a list of at least one address")]
    fields = (Field("address", "address", "Address.", required=True),)
    return [
        Finding(join_pointer(pointer, index), item, finding.accepted)
        for index, item in enumerate(value)
        for finding in check_fields(fields, {"address": item})
    ]


@check("entry_list")
def _check_entry_list(field: Field, value: Any, pointer: str) -> list[Finding]:
    if not isinstance(value, list):
        return [Finding(pointer, value, "a list of objects")]
    return [
        finding
        for index, item in enumerate(value)
        for finding in check_fields(field.fields, item, join_pointer(pointer, index))
    ]


def _fill(fields: tuple[Field, ...], value: dict[str, Any]) -> dict[str, Any]:
    filled = fill_defaults(fields, value)
    for field in fields:
        if field.kind == "entry_list":
            entries = value.get(field.name) or []
            filled[field.name] = [fill_defaults(field.fields, entry) for entry in entries]
    return filled


def read_fields(fields: tuple[Field, ...], value: Any, source: str) -> dict[str, Any]:
    """Validates ``value`` and returns it with the defaults filled in.

    Raises
    ------
    FindingsError
        If ``value`` is not valid; contains all findings.
    """
    findings = check_fields(fields, value)
    if findings:
        raise FindingsError(source, findings)
    return _fill(fields, value)


def load_settings(fields: tuple[Field, ...], path: Path) -> dict[str, Any]:
    """Reads and validates a JSON settings file.

    Raises
    ------
    FindingsError
        If the file cannot be read or is not valid.
    """
    try:
        value = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise FindingsError(str(path), [Finding("", str(error), "a JSON object")]) from error
    return read_fields(fields, value, str(path))


def draw_share(seed: int, name: str) -> float:
    """Returns a reproducible pseudo-random number in [0, 1) derived from ``seed`` and ``name``."""
    digest = hashlib.sha256(f"{seed}:{name}".encode()).digest()
    return int.from_bytes(digest[:8], "big") / 2**64


def format_now(clock: Clock) -> str:
    """Returns the current time in RFC 3339 format, in UTC with microseconds."""
    return clock.now().isoformat(timespec="microseconds").replace("+00:00", "Z")


def build_error_response(
    status: int, message: str, headers: dict[str, str] | None = None, **members: Any
) -> web.Response:
    """Returns a response with the error object that all stand-ins use."""
    return web.json_response({"error": message, **members}, status=status, headers=headers)


def build_findings_response(error: FindingsError) -> web.Response:
    """Returns a 400 response that lists all findings."""
    findings = [{"pointer": f.pointer, "accepted": f.accepted} for f in error.findings]
    return build_error_response(400, str(error), findings=findings)


async def read_body(request: web.Request, fields: tuple[Field, ...]) -> dict[str, Any]:
    """Validates the JSON body of ``request`` and returns it with the defaults filled in.

    Raises
    ------
    FindingsError
        If the body is not valid.
    """
    try:
        value = json.loads(await request.read() or b"{}")
    except ValueError as error:
        raise FindingsError("body", [Finding("", str(error), "a JSON object")]) from error
    return read_fields(fields, value, "body")


async def _serve(standin: Standin) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop_requested.set)
    addresses = await standin.start_server()
    print(json.dumps({"event": "listening", "addresses": addresses}), flush=True)
    await stop_requested.wait()
    await standin.stop()


def run_standin(standin_type: type[Standin]) -> int:
    """Runs one stand-in until SIGINT or SIGTERM; returns the exit status."""
    parser = argparse.ArgumentParser(description=f"Stand-in: {standin_type.name}.")
    parser.add_argument("--settings", type=Path, required=True, help="JSON settings file")
    arguments = parser.parse_args()
    try:
        settings = load_settings(standin_type.settings_fields, arguments.settings)
    except FindingsError as error:
        print(error, file=sys.stderr)
        return 2
    asyncio.run(_serve(standin_type(settings, SystemClock())))
    return 0


class Standin:
    """Base class of the stand-ins.

    Parameters
    ----------
    settings : dict
        Validated settings with the defaults filled in.
    clock : Clock
    """

    name = ""
    settings_fields: tuple[Field, ...] = ADDRESS_FIELDS
    fault_fields: tuple[Field, ...] = PLATFORM_FAULTS

    def __init__(self, settings: dict[str, Any], clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.faults = read_fields(self.fault_fields, {}, "faults")
        self.runner: web.AppRunner | None = None
        self._listener_names: dict[int, str] = {}
        self._lost_count = 0

    def list_routes(self) -> list[web.RouteDef]:
        """Returns the routes of the service, without those that control faults and the record."""
        raise NotImplementedError

    def read_record(self) -> dict[str, Any]:
        """Returns the events recorded by the stand-in, against which tests check the system."""
        raise NotImplementedError

    def clear_record(self) -> None:
        """Deletes the recorded events."""
        raise NotImplementedError

    def apply_faults(self, request: web.Request) -> None:
        """Hook: called after ``request`` has set the faults."""

    async def on_startup(self) -> None:
        """Hook: called once, before the first address accepts connections."""

    async def on_listening(self) -> None:
        """Hook: called once, when all addresses accept connections."""

    async def on_shutdown(self) -> None:
        """Hook: called once, before the server shuts down."""

    def should_lose_response(self, name: str) -> bool:
        """Returns whether a fault suppresses the response to request ``name``; counts it if so."""
        if self.faults["lose_answers"] > 0:
            self.faults["lose_answers"] -= 1
            self._lost_count += 1
            return True
        share = self.faults["lose_answers_share"]
        lost = share > 0 and draw_share(self.faults["seed"], f"lose:{name}") < share
        self._lost_count += lost
        return lost

    def is_dropped(self, request: web.Request) -> bool:
        """Returns whether a network partition affects the listener of ``request``."""
        if self.faults["drop"]:
            return True
        if not self.faults["drop_listeners"] or request.transport is None:
            return False
        port = request.transport.get_extra_info("sockname")[1]
        return self._listener_names.get(port) in self.faults["drop_listeners"]

    def build_application(self) -> web.Application:
        application = web.Application(
            middlewares=[self._handle_errors], client_max_size=MAX_BODY_BYTES
        )
        application.add_routes(self.list_routes())
        application.add_routes(
            [
                web.post("/v1/faults", self._set_faults),
                web.get("/v1/faults", self._get_faults),
                web.get("/v1/record", self._get_record),
                web.delete("/v1/record", self._delete_record),
            ]
        )
        return application

    async def start_server(self) -> list[str]:
        """Starts the server and returns the addresses that it listens on."""
        self.runner = web.AppRunner(
            self.build_application(),
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await self.runner.setup()
        await self.on_startup()
        await self._listen("main", self.settings["address"])
        for name, listener in self.settings["listeners"].items():
            await self._listen(name, listener["address"])
        await self.on_listening()
        return [f"{host}:{port}" for host, port in self.runner.addresses]

    async def _listen(self, name: str, address: str) -> None:
        host, port = address.split(":")
        index = len(self.runner.addresses)
        await web.TCPSite(self.runner, host, int(port)).start()
        self._listener_names[self.runner.addresses[index][1]] = name

    async def stop(self) -> None:
        await self.on_shutdown()
        await self.runner.cleanup()

    @web.middleware
    async def _handle_errors(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        try:
            if request.path in ("/v1/faults", "/v1/record"):
                return await handler(request)
            return await self.handle(request, handler)
        except LostResponseError:
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        except FindingsError as error:
            return build_findings_response(error)
        except web.HTTPException as error:
            return build_error_response(error.status, error.reason)

    async def handle(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Handles ``request`` under the current faults.

        A partition is checked again after the handler, since it can start in the meantime.
        """
        if self.is_dropped(request):
            raise LostResponseError
        if self.faults["slow"]:
            await self.clock.sleep(timedelta(seconds=self.faults["slow"]))
        if self.faults["outage"]:
            return build_error_response(503, f"{self.name} has an outage")
        response = await handler(request)
        if self.is_dropped(request):
            raise LostResponseError
        return response

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = await read_body(request, self.fault_fields)
        self.apply_faults(request)
        return web.json_response(self.faults)

    async def _get_faults(self, request: web.Request) -> web.Response:
        return web.json_response(self.faults)

    async def _get_record(self, request: web.Request) -> web.Response:
        return web.json_response(self.read_record() | {"lost_answers": self._lost_count})

    async def _delete_record(self, request: web.Request) -> web.Response:
        self.clear_record()
        self._lost_count = 0
        return web.json_response({})
