"""Lists that lack some of their items: of the machines of a wave, and of newest records."""

from __future__ import annotations

import asyncio
import json
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from malformed_builders import build_machine_document
from owner_builders import ManualClock, build_settings

from carawayd.platform.common import PlatformError
from carawayd.platform.machines import MachinesClient
from carawayd.platform.store import StoreClient
from carawayd.process.discovery import KnownWave
from carawayd.process.fleetmanager import FleetManager
from carawayd.process.upkeeprecords import UpkeepRecords
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayshore.workflows.model import Wave

WAVE = 4
PAGE_ITEMS = 2


class PagedMachines(MachinesClient):
    """Client of a machines service that lists ``PAGE_ITEMS`` machines on a page.

    Attributes
    ----------
    items : list
        Items as the service writes them.
    is_endless : bool
        Whether each page is followed by another one.
    """

    def __init__(self) -> None:
        self.items: list[Any] = []
        self.is_endless = False

    async def send_request(self, method: str, path: str, **_: Any):
        start = int(path.partition("pageToken=")[2] or 0)
        end = start + PAGE_ITEMS
        page = {
            "machines": self.items[start:end],
            "nextPageToken": str(end) if end < len(self.items) or self.is_endless else "",
        }
        return SimpleNamespace(status=200, headers={}), json.dumps(page).encode()


class StatusStore:
    """Store that keeps what was published."""

    def __init__(self) -> None:
        self.published: list[bytes] = []

    async def append(self, topic: str, partition: int, data: bytes) -> int:
        self.published.append(data)
        return len(self.published)


class WaveHarness:
    """Holder of the fleet with a wave, whose decisions the test asks for."""

    def __init__(self, machines: list[str], cap: int) -> None:
        self.clock = ManualClock(100.0)
        self.client = PagedMachines()
        self.store = StatusStore()
        wave = KnownWave(Wave(WAVE, tuple(machines), 20.0, cap), timedelta())
        discovery = SimpleNamespace(
            deployment=SimpleNamespace(services={}),
            waves={WAVE: wave},
            find_partition=lambda service: None,
        )
        self.manager = FleetManager(
            self.store,
            self.client,
            discovery,
            None,
            None,
            build_settings(),
            self.clock,
            WorkflowMetrics(),
        )
        self.manager._orders = SimpleNamespace(list_unanswered=set)
        ledger = SimpleNamespace(mark_dirty=lambda key, encode: None)
        self.manager._upkeep_records = UpkeepRecords(ledger)
        self.list(*machines)

    def list(self, *machines: str, **changes: Any) -> None:
        self.client.items = [build_machine_document(name, **changes) for name in machines]

    def begin(self, *machines: str) -> None:
        """Records that the upkeep of machines has begun."""
        for machine in machines:
            self.manager._upkeep_records.record(WAVE, machine)

    def manage(self, seconds: float = 0.0) -> bool:
        """Reads the fleet and manages its waves; returns whether the list could be read."""
        self.clock.seconds += seconds

        async def manage() -> bool:
            try:
                await self.manager._read_fleet()
            except PlatformError:
                return False
            await self.manager._manage_waves()
            return True

        return asyncio.run(manage())

    @property
    def is_completed(self) -> bool:
        return any(b"completed" in data for data in self.store.published)

    @property
    def chosen(self) -> set[str]:
        return set(self.manager._pending_upkeep)


class PagedRecords(StoreClient):
    """Client of a store that answers with the given pages in turn, each followed by more."""

    def __init__(self, *pages: list[str]) -> None:
        self._pages = iter(pages)

    async def send_request(self, method: str, path: str, **_: Any):
        items = [{"key": key, "value": "dg=="} for key in next(self._pages)]
        page = {"items": items, "hasMore": True, "endOffset": 9}
        return SimpleNamespace(status=200, headers={}), json.dumps(page).encode()
