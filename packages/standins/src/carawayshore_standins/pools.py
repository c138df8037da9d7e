"""Stand-in for the platform's pools service: drains, reboots and returns hosts."""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from datetime import timedelta
from typing import Any

import aiohttp
from aiohttp import web

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

DRAIN_POLL_INTERVAL = timedelta(milliseconds=100)
RETRY_INTERVAL = timedelta(milliseconds=250)
CONTROL_TIMEOUT_S = 2.0
MAX_LISTED_OPERATIONS = 16

HOST_FIELDS = (
    Field("host", "name", "Name of the host.", required=True),
    Field("pool", "name", "Pool of the host at the start.", required=True),
    Field("address", "address", "Address of the worker's control calls.", required=True),
)
SETTINGS = ADDRESS_FIELDS + (
    Field("hosts", "entry_list", "Hosts of the service.", fields=HOST_FIELDS),
    Field("hostlist", "base_url", "Host list to update with changes; absent: none."),
    Field("reboot_seconds", "number", "Duration of a reboot.", unit="s", default=1, maximum=86_400),
)
FAULTS = PLATFORM_FAULTS + LOSS_FAULTS
OPERATION_FIELDS = (
    Field("operation", "text", "Identifier of the operation.", required=True),
    Field("fence", "integer", "Fence of the claim.", required=True, maximum=2**63),
)
RETURN_FIELDS = OPERATION_FIELDS + (Field("pool", "name", "Pool to serve.", required=True),)


class Host:
    """State of one host in the pools service."""

    def __init__(self, entry: dict[str, Any]) -> None:
        self.name: str = entry["host"]
        self.pool: str = entry["pool"]
        self.address: str = entry["address"]
        self.state = "serving"
        self.fence = -1
        self.operations: dict[str, dict[str, Any]] = {}
        self.operation_task: asyncio.Task[None] | None = None

    def describe(self) -> dict[str, Any]:
        operations = list(self.operations.values())
        return {
            "host": self.name,
            "pool": self.pool,
            "state": self.state,
            "operation": operations[-1]["operation"] if operations else None,
            "fence": self.fence,
            "operations": operations[-MAX_LISTED_OPERATIONS:],
        }


class PoolsService(Standin):
    """Drains, reboots and returns hosts by calls to their workers and to the host list."""

    name = "pools service"
    settings_fields = SETTINGS
    fault_fields = FAULTS

    def __init__(self, settings: dict[str, Any], clock: Any) -> None:
        super().__init__(settings, clock)
        self._hosts = {entry["host"]: Host(entry) for entry in settings["hosts"]}
        self._operations: deque[dict[str, Any]] = deque(maxlen=settings["record_limit"])
        self._session: aiohttp.ClientSession | None = None

    def list_routes(self) -> list[web.RouteDef]:
        return [
            web.get("/v1/hosts/{host}", self._get),
            web.post("/v1/hosts/{host}/drain", self._drain),
            web.post("/v1/hosts/{host}/reboot", self._reboot),
            web.post("/v1/hosts/{host}/return", self._return),
        ]

    def read_record(self) -> dict[str, Any]:
        hosts = {name: host.describe() for name, host in self._hosts.items()}
        return {"operations": list(self._operations), "hosts": hosts}

    def clear_record(self) -> None:
        self._operations.clear()

    async def on_startup(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S),
        )

    async def on_shutdown(self) -> None:
        operation_tasks = [
            host.operation_task for host in self._hosts.values() if host.operation_task
        ]
        for operation_task in operation_tasks:
            operation_task.cancel()
        await asyncio.gather(*operation_tasks, return_exceptions=True)
        if self._session:
            await self._session.close()

    def _find_host(self, request: web.Request) -> Host:
        host = self._hosts.get(request.match_info["host"])
        if host is None:
            raise web.HTTPNotFound(reason=f"host {request.match_info['host']!r} is not known")
        return host

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(self._find_host(request).describe())

    async def _drain(self, request: web.Request) -> web.Response:
        return await self._handle_operation(request, "drain", OPERATION_FIELDS)

    async def _reboot(self, request: web.Request) -> web.Response:
        return await self._handle_operation(request, "reboot", OPERATION_FIELDS)

    async def _return(self, request: web.Request) -> web.Response:
        return await self._handle_operation(request, "return", RETURN_FIELDS)

    async def _handle_operation(
        self, request: web.Request, kind: str, fields: tuple[Field, ...]
    ) -> web.Response:
        host = self._find_host(request)
        body = await read_body(request, fields)
        if body["fence"] < host.fence:
            message = f"fence {body['fence']} is below {host.fence}"
            return build_error_response(409, message, fence=host.fence)
        host.fence = body["fence"]
        repeated = body["operation"] in host.operations
        if not repeated:
            self._start_operation(host, kind, body)
        lost = self.should_lose_response(body["operation"])
        entry = {"host": host.name, "kind": kind, "at": format_now(self.clock)}
        self._operations.append(entry | body | {"repeated": repeated, "answer_lost": lost})
        if lost:
            raise LostResponseError
        return web.json_response(host.describe(), status=202)

    def _start_operation(self, host: Host, kind: str, body: dict[str, Any]) -> None:
        operation = {"operation": body["operation"], "kind": kind, "fence": body["fence"]}
        host.operations[body["operation"]] = operation | {"state_before": host.state}
        if host.operation_task:
            host.operation_task.cancel()
        if kind == "drain":
            host.state = "draining"
            host.operation_task = asyncio.create_task(self._drain_host(host))
        elif kind == "reboot":
            host.state = "rebooting"
            host.operation_task = asyncio.create_task(self._reboot_host(host))
        else:
            host.pool = body["pool"]
            host.state = "serving"
            host.operation_task = asyncio.create_task(self._return_host(host))

    async def _drain_host(self, host: Host) -> None:
        await self._control_worker(host, "drain", {})
        await self._update_hostlist(host, {"state": "leaving"})
        while await self._is_busy(host):
            await self.clock.sleep(DRAIN_POLL_INTERVAL)
        host.state = "drained"

    async def _reboot_host(self, host: Host) -> None:
        seconds = self.settings["reboot_seconds"]
        await self._control_worker(host, "reboot", {"seconds": seconds})
        await self._update_hostlist(host, {"state": "leaving"})
        await self.clock.sleep(timedelta(seconds=seconds))
        host.state = "drained"

    async def _return_host(self, host: Host) -> None:
        await self._control_worker(host, "return", {"pool": host.pool})
        await self._update_hostlist(host, {"state": "live", "pool": host.pool})

    async def _is_busy(self, host: Host) -> bool:
        """Returns whether the worker runs requests or tasks; a failed call counts as busy."""
        try:
            async with self._session.get(f"http://{host.address}/v1/status") as response:
                status = await response.json()
        except aiohttp.ClientConnectorError:
            return False  # The worker process has ended, so nothing runs on the host.
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return True
        running = [task for task in status["tasks"] if task["state"] == "running"]
        return bool(status["in_use"] or running)

    async def _control_worker(self, host: Host, action: str, body: dict[str, Any]) -> None:
        """Sends a control call to the worker, with retries until a later operation replaces it.

        Gives up if the connection is refused, because a worker process that has ended requests its
        state from this service when it starts again.
        """
        await self._send(
            "post", f"http://{host.address}/v1/control/{action}", body, retry_refused=False
        )

    async def _update_hostlist(self, host: Host, members: dict[str, Any]) -> None:
        if self.settings["hostlist"]:
            url = f"{self.settings['hostlist']}/v1/hosts/{host.name}"
            await self._send("put", url, members, retry_refused=True)

    async def _send(
        self, method: str, url: str, body: dict[str, Any], *, retry_refused: bool
    ) -> None:
        """Repeats the call until the response is no server error.

        ``retry_refused`` tells whether a refused connection is retried too.
        """
        while True:
            try:
                async with self._session.request(method, url, json=body) as response:
                    if response.status < 500:
                        return
            except aiohttp.ClientConnectorError:
                if not retry_refused:
                    return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await self.clock.sleep(RETRY_INTERVAL)


if __name__ == "__main__":
    sys.exit(run_standin(PoolsService))
