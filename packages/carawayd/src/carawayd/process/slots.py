"""Slots of the data centre's targets that this process may use, and the selectable targets."""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from mode import Service

from carawayd.process.messages import Header, Heartbeat
from carawayshore.assignment import list_serving
from carawayshore.membership import Incarnation, list_members
from carawayshore.shares import (
    Outgoing,
    Permit,
    ShareLedger,
    ShareSettings,
    SlotLoan,
    SlotRecall,
    SlotRequest,
    SlotReturn,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.process.inventory import Inventory
    from carawayd.process.membership import Membership
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

IDLE_TICK_INTERVAL = timedelta(milliseconds=250)
BUSY_TICK_INTERVAL = timedelta(milliseconds=25)
# A target that refused a request, because it drains or changes pools, is not used for this long.
REFUSAL_PAUSE = timedelta(seconds=1)
# A heartbeat reports the load of this many targets, in rotation. At the planned fleet size, each of
# two entry hosts may use 364 targets; reporting all of them would exceed the limit of 9 KB/s of
# control traffic.
LOADS_PER_HEARTBEAT = 40
# A load reported by a peer is ignored after this time.
LOAD_LIFETIME = timedelta(seconds=3)


class AcquiredSlot(NamedTuple):
    """A permit and the ledger that issued it."""

    ledger: ShareLedger
    permit: Permit


class Slots(Service):
    """Tracks the slots that this process may use, and exchanges loans with the peers.

    The view and the assignment determine the slots.

    Parameters
    ----------
    reader : StreamReader
        Of the stream of the own data centre.
    membership : Membership
    inventory : Inventory
    peers : Peers
    settings : Settings
    clock : Clock
    """

    def __init__(
        self,
        reader: StreamReader,
        *,
        membership: Membership,
        inventory: Inventory,
        peers: Peers,
        settings: Settings,
        clock: Clock,
    ) -> None:
        super().__init__()
        self.count_demand: Callable[[], dict[str, int]] = dict
        self.on_change: Callable[[], None] = lambda: None
        self.in_use: dict[str, int] = {}
        self._reader = reader
        self._membership = membership
        self._inventory = inventory
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._ledger: ShareLedger | None = None
        self._ledger_incarnation = 0
        self._serving: dict[str, list[str]] = {}
        self._suspended_until: dict[str, timedelta] = {}
        self._had_slot = False
        self._peer_loads: dict[str, dict[str, tuple[int, timedelta]]] = {}
        self._rotation = 0
        membership.get_loads = self._choose_loads
        peers.add_handler(Heartbeat, self._record_loads)
        for message_type in (SlotRequest, SlotLoan, SlotReturn, SlotRecall):
            peers.add_handler(message_type, self._handle_message)
        reader.add_batch_listener(self._update)

    def _update(self) -> None:
        """Updates the ledger and the serving targets from the folded state."""
        self._serving = {}
        if not self._membership.is_member():
            self._ledger = None
            return
        if self._ledger is None or self._ledger_incarnation != self._membership.incarnation:
            self._ledger_incarnation = self._membership.incarnation
            settings = ShareSettings(loan_lifetime=self._settings.options.loan_lifetime)
            self._ledger = ShareLedger(self._membership.identity, self._clock, settings)
        targets = {name: host.slots for name, host in self._reader.folded.hosts.items()}
        members = list_members(self._reader.folded)
        if self._membership.identity in members:
            self._ledger.set_view(members, targets)
        self.on_change()

    def list_targets(self, pool: str) -> list[str]:
        """Returns the hosts of a pool that may currently be given work."""
        if pool not in self._serving:
            self._serving[pool] = list_serving(self._reader.folded, pool)
        now = self._clock.elapsed()
        return [
            name
            for name in self._serving[pool]
            if not self._inventory.is_leaving(name)
            and (name not in self._suspended_until or now >= self._suspended_until[name])
        ]

    def find_address(self, target: str) -> str | None:
        """Returns the address of a target, or None if it was removed."""
        host = self._reader.folded.hosts.get(target)
        return host.address if host else None

    def count_slots(self, target: str) -> int:
        host = self._reader.folded.hosts.get(target)
        return host.slots if host else 0

    def _choose_loads(self) -> dict[str, int]:
        """Returns the requests in progress by target, a rotating subset if there are many."""
        names = list(self.in_use)
        if len(names) > LOADS_PER_HEARTBEAT:
            self._rotation = (self._rotation + LOADS_PER_HEARTBEAT) % len(names)
            names = (names[self._rotation :] + names)[:LOADS_PER_HEARTBEAT]
        return {name: self.in_use[name] for name in names}

    def _record_loads(self, header: Header, body: Heartbeat) -> None:
        if header.data_centre != self._settings.data_centre:
            return
        now = self._clock.elapsed()
        known = self._peer_loads.get(header.member, {})
        current = {name: item for name, item in known.items() if now - item[1] < LOAD_LIFETIME}
        if len(body.loads) < LOADS_PER_HEARTBEAT:
            # The heartbeat covers all targets in use by the peer, so the others have no load.
            current = {}
        current.update((name, (count, now)) for name, count in body.loads.items())
        self._peer_loads[header.member] = current

    def count_peer_load(self, target: str) -> int:
        """Returns the requests that peers reported in progress at a target."""
        oldest = self._clock.elapsed() - LOAD_LIFETIME
        return sum(
            loads[target][0]
            for loads in self._peer_loads.values()
            if target in loads and loads[target][1] > oldest
        )

    def has_received_slot(self) -> bool:
        """Returns whether this process has had a slot since it joined, or there is no worker.

        A member waits for one loan lifetime before it uses slots that a former owner may still
        use; the load balancer should not send requests before that.
        """
        if not self._had_slot and self._ledger is not None:
            workers = self._inventory.list_workers()
            known = self._inventory.read_at is not None
            self._had_slot = (known and not workers) or any(
                self._ledger.count_available_at(target) for target in self._reader.folded.hosts
            )
        return self._had_slot

    def count_available(self, targets: list[str]) -> dict[str, int]:
        """Returns how many requests may currently be started at each target."""
        if self._ledger is None:
            return dict.fromkeys(targets, 0)
        return self._ledger.count_available(targets)

    def acquire(self, target: str) -> AcquiredSlot | None:
        """Acquires a slot for one request; None if none is free or this process may not serve."""
        if self._ledger is None or not self._membership.may_serve():
            return None
        permit = self._ledger.acquire(target)
        if permit is None:
            return None
        self.in_use[target] = self.in_use.get(target, 0) + 1
        return AcquiredSlot(self._ledger, permit)

    def release(self, held: AcquiredSlot) -> None:
        """Releases a slot once its request has ended."""
        held.ledger.release(held.permit)
        target = held.permit.target
        self.in_use[target] -= 1
        if not self.in_use[target]:
            del self.in_use[target]

    def suspend_target(self, target: str) -> None:
        """Excludes a target that refused a request or was unreachable, for ``REFUSAL_PAUSE``."""
        self._suspended_until[target] = self._clock.elapsed() + REFUSAL_PAUSE

    def _handle_message(self, header: Header, body) -> None:
        if self._ledger is None or header.data_centre != self._settings.data_centre:
            return
        sender = Incarnation(header.member, header.incarnation)
        self._send(self._ledger.handle(body, sender))
        if isinstance(body, SlotLoan | SlotReturn):
            self.on_change()

    def _send(self, messages: list[Outgoing]) -> None:
        for peer, body in messages:
            self._peers.send(peer.member, body)

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            demand = self.count_demand()
            if self._ledger is not None:
                self._send(self._ledger.tick(demand))
                if demand:
                    self.on_change()
            now = self._clock.elapsed()
            self._suspended_until = {
                name: end for name, end in self._suspended_until.items() if end > now
            }
            await self._clock.sleep(BUSY_TICK_INTERVAL if demand else IDLE_TICK_INTERVAL)

    def return_loans(self) -> None:
        """Returns idle loans and stops lending, before a planned stop."""
        if self._ledger is not None:
            self._send(self._ledger.stop())

    def list_usable_slots(self) -> dict[str, list]:
        """Returns the slots held at each target, for the state dump."""
        if self._ledger is None:
            return {}
        return {name: self._ledger.list_usable_slots(name) for name in self._reader.folded.hosts}
