"""Records of the orders to machines, and the waits of a new holder that follow from them.

Two holders must not order one machine within its lease, and an order of a former holder must not
take effect after one of its successor. The machines service need not check fencing tokens, so this
holds without its help: an order is recorded before it is sent, and a new holder leaves the machines
alone that its predecessor ordered last. It waits from its own takeover, on its own monotonic clock,
since the time of day of another host may be wrong.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock

# Prefix of ledger keys for the last order to a machine.
ORDER_PREFIX = "order/"
# Values of these keys: the order may have been sent; its response has been received.
SENT, ANSWERED = b"sent", b"answered"
# An order without a response may still be executed for this long.
MAX_ORDER_DELAY = timedelta(seconds=13)
# Added to the lease of a machine, for the time that an answered order took.
LEASE_MARGIN = timedelta(milliseconds=200)
# Interval at which answers and ended waits are recorded; longer than that of the control loop,
# since each append to the store is charged.
RECORD_INTERVAL = timedelta(seconds=1)


class _Order(NamedTuple):
    """Last order of this holder to a machine."""

    state: bytes
    ends_at: timedelta


class MachineOrders:
    """Orders to machines, by this holder and its predecessors.

    Parameters
    ----------
    clock : Clock
    settings : SiteSettings
        Gives the lease of a machine.
    ledger : Ledger
    """

    def __init__(
        self,
        clock: Clock,
        settings: SiteSettings,
        ledger: Ledger,
    ) -> None:
        self._clock = clock
        self._lease = timedelta(milliseconds=settings.machine_lease_ms) + LEASE_MARGIN
        self._ledger = ledger
        self._orders: dict[str, _Order] = {}
        # End of the wait for each machine that a predecessor ordered.
        self._inherited_until: dict[str, timedelta] = {}
        # Machines whose answer is not recorded yet.
        self._unrecorded: set[str] = set()
        self._recorded_at = clock.elapsed()

    def restore(self, machine: str, value: bytes) -> None:
        """Applies the record of a predecessor's last order."""
        if not value:
            return
        delay = self._lease if value == ANSWERED else max(self._lease, MAX_ORDER_DELAY)
        until = self._clock.elapsed() + delay
        self._inherited_until[machine] = until
        self._orders[machine] = _Order(value, until)

    def is_blocked(self, machine: str) -> bool:
        """Returns whether an order of a predecessor still excludes one of this holder."""
        return self._clock.elapsed() < self._inherited_until.get(machine, timedelta())

    def record_sending(self, machine: str) -> None:
        """Queues the record of an order; the order may be sent once the record is durable."""
        self._orders[machine] = _Order(SENT, self._clock.elapsed() + MAX_ORDER_DELAY)
        self._unrecorded.discard(machine)
        self._ledger.mark_dirty(ORDER_PREFIX + machine, lambda: SENT)

    def record_unsent(self, machine: str) -> None:
        """Notes that a recorded order was not sent after all."""
        self.record_answer(machine)

    def record_answer(self, machine: str) -> None:
        """Notes that the response to an order has been received."""
        self._orders[machine] = _Order(ANSWERED, self._clock.elapsed() + self._lease)
        self._unrecorded.add(machine)

    def list_unanswered(self) -> set[str]:
        """Returns the machines for which an order without a response may still be executed."""
        now = self._clock.elapsed()
        return {
            name
            for name, order in self._orders.items()
            if order.state != ANSWERED and now < order.ends_at
        }

    def record_progress(self) -> None:
        """Queues the records of answers, and removes those of orders that nobody waits for."""
        now = self._clock.elapsed()
        if now - self._recorded_at < RECORD_INTERVAL:
            return
        self._recorded_at = now
        for machine in self._unrecorded:
            self._ledger.mark_dirty(ORDER_PREFIX + machine, lambda: ANSWERED)
        self._unrecorded = set()
        for machine, order in list(self._orders.items()):
            if now >= order.ends_at:
                del self._orders[machine]
                self._inherited_until.pop(machine, None)
                self._ledger.mark_dirty(ORDER_PREFIX + machine, bytes)
