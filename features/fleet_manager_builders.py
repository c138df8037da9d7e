"""Fleet managers on the stand-in of the store, with machines that record their orders."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from platform_builders import RUN_LIMIT_S

from carawayd.partition.ledger import OwnershipLost
from carawayd.platform.api import build_client
from carawayd.platform.common import PermissionEnded, PlatformError
from carawayd.process.fleetmanager import FleetManager
from carawayd.process.machineorders import RECORD_INTERVAL
from carawayd.process.site import SITE_FIELDS, SiteSettings
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.clock import SystemClock
from carawayshore.options import fill_defaults
from carawayshore.workflows.model import Wave
from carawayshore_standins.platform_store import PlatformStore
from carawayshore_standins.ports import PortReserver

if TYPE_CHECKING:
    from collections.abc import Callable


class ShiftedClock(SystemClock):
    """System clock that tests can advance, and whose time of day they can shift."""

    def __init__(self) -> None:
        self.advance = timedelta()
        self.jump = timedelta()

    def now(self) -> Any:
        return super().now() + self.advance + self.jump

    def elapsed(self) -> timedelta:
        return super().elapsed() + self.advance


class FakeOwnership:
    """Ownership of one holder, which is current until a test revokes it."""

    def __init__(self, member: str) -> None:
        self.member = member
        self.current = True

    def is_current(self) -> bool:
        return self.current


class RecordingMachines:
    """Accepts and records every order, whatever its fencing token.

    Attributes
    ----------
    loses_responses : bool
        Let every order fail without a response.
    """

    def __init__(self) -> None:
        self.orders: list[tuple[str, str, int]] = []
        self.loses_responses = False

    async def begin_upkeep(
        self, machine: str, wave: int, *, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> None:
        if not may_send():
            raise PermissionEnded("the permission to send ended")
        self.orders.append((machine, holder, fence))
        if self.loses_responses:
            raise PlatformError("no response")


class FleetHarness:
    """Successive holders of the fleet that share one store."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._ports = PortReserver()
        self.clock = ShiftedClock()
        self.machines = RecordingMachines()
        self.store = PlatformStore()
        self._address = self._ports.reserve()
        self._managers: list[FleetManager] = []
        self._clients: list[Any] = []
        self.run(self.store.start(self._address))

    def run(self, work: Any) -> Any:
        return self._loop.run_until_complete(asyncio.wait_for(work, RUN_LIMIT_S))

    def _build_settings(self) -> SiteSettings:
        document = {
            "member": "entry",
            "data_centre": "umea",
            "caller_address": "127.0.0.1:1",
            "ready_address": "127.0.0.1:1",
            "peer_host": "127.0.0.1",
            "peer_port": 1,
            "metrics_port": 1,
            "store": self._address,
            "partitions": 4,
        }
        return SiteSettings(**fill_defaults(SITE_FIELDS, document))

    async def start_holder(self, generation: int) -> FleetManager:
        """Returns a new holder that has taken over the fleet."""
        settings = self._build_settings()
        store = build_client("store", f"http://{self._address}", settings)
        self._clients.append(store)
        manager = FleetManager(
            store,
            self.machines,
            None,
            FakeOwnership(f"entry-{generation}"),
            None,
            settings,
            self.clock,
            WorkflowMetrics(),
        )
        self._managers.append(manager)
        await manager.set_holder(True, generation)
        # The manager itself is not started, so that only the scenario makes it decide.
        await manager.loaded.wait()
        await manager._ledger.maybe_start()
        return manager

    async def may_order(self, manager: FleetManager, machine: str) -> bool:
        try:
            return await manager._prepare_order(machine)
        except OwnershipLost:
            return False

    async def begin_upkeep(self, manager: FleetManager, machine: str, wave: int) -> None:
        await manager._start_upkeep(Wave(wave, (machine,), 20.0, 1), machine)
        await manager._ledger.flush()

    async def remove_settled_orders(self, manager: FleetManager) -> None:
        self.clock.advance += RECORD_INTERVAL
        manager._orders.update_records()
        await manager._ledger.flush()

    def close(self) -> None:
        self.run(self._close())
        self._ports.release()
        self._loop.close()

    async def _close(self) -> None:
        for manager in self._managers:
            await manager.stop()
        for client in self._clients:
            await client.close()
        await self.store.stop()
