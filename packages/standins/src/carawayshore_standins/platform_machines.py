"""Stand-in for the users' machines service: lists machines, moves them, starts their upkeep."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Time from an order to the start of the next worker on the machine.
MOVE_S, UPKEEP_S = 1.5, 2.0
SILENT_RESPONSE_DELAY_S = 30.0
MILLICORES = 16_000


class PlatformMachine:
    """One machine; ``worker`` is the name of the worker on it, empty for none."""

    def __init__(self, name: str, pool: str) -> None:
        self.name = name
        self.pool = pool
        self.state = "up"
        self.worker = ""
        self.starts = 0
        # Waves in which its upkeep has begun.
        self.waves: list[int] = []

    def describe(self) -> dict[str, Any]:
        return {
            "machine": self.name,
            "pool": self.pool,
            "state": self.state,
            "zone": "umea",
            "labels": ["a", "r1-1"],
            "capacity": {"cpu": MILLICORES, "memMb": 65536, "gpus": 0},
            "id": self.worker,
        }


class PlatformMachines:
    """Machines of several pools, with fault injection.

    Parameters
    ----------
    start_worker : callable
        Called with a machine whose next worker is to start.
    end_worker : callable
        Called with a machine on which everything ends at once.

    Attributes
    ----------
    mode : str
        ``silent`` delays every response by 30 s, ``unanswered`` carries orders out after
        ``late_seconds`` and sends no response, ``busy`` refuses every order.
    orders : list of tuple
        Machine, path and fencing token of every order that was carried out.
    """

    def __init__(
        self,
        start_worker: Callable[[PlatformMachine], Awaitable[None]],
        end_worker: Callable[[PlatformMachine], Awaitable[None]],
    ) -> None:
        self.machines: dict[str, PlatformMachine] = {}
        self.mode = ""
        self.late_seconds = 4.0
        self.orders: list[tuple[str, str, int]] = []
        self._start_worker = start_worker
        self._end_worker = end_worker
        self._fences: dict[str, int] = {}
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        application = web.Application()
        application.add_routes(
            [
                web.get("/api/machines", self._list),
                web.post("/api/machine-move", self._move),
                web.post("/api/machine-upkeep", self._begin_upkeep),
            ]
        )
        host, _, port = address.rpartition(":")
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    async def _list(self, request: web.Request) -> web.Response:
        if self.mode == "silent":
            await asyncio.sleep(SILENT_RESPONSE_DELAY_S)
        machines = [machine.describe() for machine in self.machines.values()]
        return web.json_response({"machines": machines, "nextPageToken": ""})

    async def _move(self, request: web.Request) -> web.Response:
        body = await request.json()

        def needs_order(machine: PlatformMachine) -> bool:
            return machine.pool != body["pool"]

        def change(machine: PlatformMachine) -> None:
            machine.pool = body["pool"]

        return await self._order(request, body, needs_order, change, "moving", MOVE_S)

    async def _begin_upkeep(self, request: web.Request) -> web.Response:
        body = await request.json()

        def needs_order(machine: PlatformMachine) -> bool:
            return body["wave"] not in machine.waves

        def change(machine: PlatformMachine) -> None:
            machine.waves.append(body["wave"])

        return await self._order(request, body, needs_order, change, "upkeep", UPKEEP_S)

    async def _order(
        self,
        request: web.Request,
        body: dict[str, Any],
        needs_order: Callable[[PlatformMachine], bool],
        change: Callable[[PlatformMachine], None],
        state: str,
        seconds: float,
    ) -> web.Response:
        if self.mode == "silent":
            await asyncio.sleep(SILENT_RESPONSE_DELAY_S)
        machine = self.machines.get(body["machine"])
        if machine is None:
            return web.json_response({}, status=400)
        fence = int(request.headers["Fencing-Token"])
        if fence < self._fences.get(machine.name, 0):
            return web.json_response({"reason": "fence"}, status=409)
        self._fences[machine.name] = fence

        async def carry_out() -> None:
            # A late order may find its operation already done.
            if not needs_order(machine):
                return
            self.orders.append((machine.name, request.path, fence))
            change(machine)
            machine.state = state
            await self._end_worker(machine)
            asyncio.get_running_loop().call_later(
                seconds, lambda: asyncio.ensure_future(self._come_back(machine))
            )

        if not needs_order(machine):
            return web.json_response({})
        if self.mode == "busy" or machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        if self.mode == "unanswered":
            asyncio.get_running_loop().call_later(
                self.late_seconds, lambda: asyncio.ensure_future(carry_out())
            )
            await asyncio.sleep(SILENT_RESPONSE_DELAY_S)
        await carry_out()
        return web.json_response({})

    async def _come_back(self, machine: PlatformMachine) -> None:
        machine.state = "up"
        await self._start_worker(machine)
