"""Machines whose orders wait for a connection, or fail in a way that nobody expects."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from fleet_manager_builders import FleetHarness, RecordingMachines

from carawayd.process.machineorders import MAX_ORDER_DELAY

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.process.fleetmanager import FleetManager


class HeldMachines(RecordingMachines):
    """Sends an order of ``held_holder`` once ``connected`` is set, if it still may be sent.

    Attributes
    ----------
    waiting : asyncio.Event
        Set when an order waits for the connection.
    error : Exception or None
        Raised instead of sending an order.
    """

    def __init__(self, held_holder: str) -> None:
        super().__init__()
        self.connected, self.waiting = asyncio.Event(), asyncio.Event()
        self.error: Exception | None = None
        self._held_holder = held_holder

    async def begin_upkeep(
        self, machine: str, wave: int, *, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> None:
        if self.error is not None:
            raise self.error
        if holder == self._held_holder:
            self.waiting.set()
            await self.connected.wait()
        await super().begin_upkeep(machine, wave, holder=holder, fence=fence, may_send=may_send)


async def regain_while_order_waits(
    fleet: FleetHarness, former: FleetManager, machine: str
) -> FleetManager:
    """Has another holder order a machine while an order of the former one waits, then returns it.

    The former holder gets the fleet back before its order has a connection.
    """
    machines = fleet.machines
    sending = asyncio.ensure_future(fleet.begin_upkeep(former, machine, 3))
    await machines.waiting.wait()
    await former.set_holder(False, 1)
    between = await fleet.start_holder(2)
    # The order that waits has no response as far as the record tells.
    fleet.clock.advance += MAX_ORDER_DELAY + timedelta(seconds=1)
    await fleet.begin_upkeep(between, machine, 3)
    await between.set_holder(False, 2)
    await former.set_holder(True, 3)
    await former.loaded.wait()
    await former._ledger.maybe_start()
    machines.connected.set()
    await sending
    return former
