"""Records of the orders to machines, and the waits of a new holder that follow from them.

Two holders must not order one machine within its lease, and an order of a former holder must not
take effect after one of its successor. The machines service need not check fencing tokens, so this
holds without its help: an order is recorded before it is sent, and a new holder leaves the machines
alone that its predecessor ordered last. It waits from its own takeover, on its own monotonic clock,
since the time of day of another host may be wrong. The time that is left is recorded while it
passes, so that holders that follow each other do not begin the wait anew.
"""

from __future__ import annotations

import math
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from carawayd.partition.ledger import FLEET_TOPIC
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import MalformedDocument, parse_count

if TYPE_CHECKING:
    from carawayd.partition.ledger import Ledger
    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock

# Prefix of ledger keys for the last order to a machine.
ORDER_PREFIX = "order/"
# Values of these keys: the order may have been sent; its response has been received. The time in ms
# may follow for which the order may still be executed, or the machine be left alone. Without it the
# whole time counts. Earlier versions record none, and read any value with one as a sent order.
SENT, ANSWERED = b"sent", b"answered"
# An order without a response may still be executed for this long.
MAX_ORDER_DELAY = timedelta(seconds=13)
# Added to the lease of a machine, for the time that an answered order took.
LEASE_MARGIN = timedelta(milliseconds=200)
# Interval at which records are removed that a later holder need not wait for, and at which the time
# left of the others is recorded; longer than that of the control loop, since each append to the
# store is charged.
RECORD_INTERVAL = timedelta(seconds=1)
# The same after a takeover, so that holders that follow each other quickly make progress together.
FIRST_RECORD_DELAY = timedelta(milliseconds=200)


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
        # Machine to the time until which its record is needed by a later holder.
        self._needed_until: dict[str, timedelta] = {}
        # Machine to the end of the wait for an order of a predecessor.
        self._inherited_until: dict[str, timedelta] = {}
        # Machine to the time until which an order without a response may still be executed.
        self._unanswered_until: dict[str, timedelta] = {}
        # Machines for which an order has been recorded whose outcome is not known.
        self._in_flight: set[str] = set()
        self._recorded_at = clock.elapsed() + FIRST_RECORD_DELAY - RECORD_INTERVAL

    def restore(self, machine: str, value: bytes) -> None:
        """Applies the record of a predecessor's last order."""
        if not value:
            return
        now = self._clock.elapsed()
        is_answered = value.startswith(ANSWERED)
        lease_left = self._lease
        if is_answered:
            lease_left = _decode_time_left(machine, value, ANSWERED, self._lease)
        else:
            left = _decode_time_left(machine, value, SENT, MAX_ORDER_DELAY)
            self._unanswered_until[machine] = now + left
        until = max(now + lease_left, self._unanswered_until.get(machine, now))
        self._inherited_until[machine] = self._needed_until[machine] = until

    def is_blocked(self, machine: str) -> bool:
        """Returns whether an order of a predecessor still excludes one of this holder."""
        return self._clock.elapsed() < self._inherited_until.get(machine, timedelta())

    def list_blocked(self) -> set[str]:
        """Returns the machines that this holder may not order yet."""
        return {machine for machine in self._inherited_until if self.is_blocked(machine)}

    def record_sending(self, machine: str) -> None:
        """Queues the record of an order; the order may be sent once the record is durable."""
        self._in_flight.add(machine)
        # From here on a later holder has to wait for this order.
        self._inherited_until.pop(machine, None)
        self._record(machine, SENT, MAX_ORDER_DELAY)

    def record_answer(self, machine: str) -> None:
        """Queues the record that an order was answered, or not sent after all.

        Without it, a later holder leaves the machine alone for much longer.
        """
        self._in_flight.discard(machine)
        if not self._is_unanswered(machine):
            self._record(machine, ANSWERED, self._lease)

    def note_missing_answer(self, machine: str) -> None:
        """Notes that an order got no response, and so may still be executed."""
        self._in_flight.discard(machine)
        self._unanswered_until[machine] = self._clock.elapsed() + MAX_ORDER_DELAY

    def _record(self, machine: str, state: bytes, delay: timedelta) -> None:
        self._needed_until[machine] = self._clock.elapsed() + delay
        self._ledger.mark_dirty(ORDER_PREFIX + machine, lambda: state)

    def _is_unanswered(self, machine: str) -> bool:
        return self.measure_unanswered(machine) > timedelta()

    def measure_unanswered(self, machine: str) -> timedelta:
        """Returns for how long an order without a response may still be executed, 0 if for none."""
        left = self._unanswered_until.get(machine, timedelta()) - self._clock.elapsed()
        return max(timedelta(), left)

    def list_unanswered(self) -> set[str]:
        """Returns the machines for which an order without a response may still be executed."""
        return {machine for machine in self._unanswered_until if self._is_unanswered(machine)}

    def update_records(self) -> None:
        """Removes the records that a later holder need not wait for, and updates the others."""
        now = self._clock.elapsed()
        if now - self._recorded_at < RECORD_INTERVAL:
            return
        self._recorded_at = now
        for machine, until in list(self._needed_until.items()):
            if machine in self._in_flight:
                continue
            if self._is_unanswered(machine):
                encode = partial(self._encode_left, SENT, machine, self._unanswered_until)
                self._ledger.mark_dirty(ORDER_PREFIX + machine, encode)
            elif now >= until:
                del self._needed_until[machine]
                self._inherited_until.pop(machine, None)
                self._unanswered_until.pop(machine, None)
                self._ledger.mark_dirty(ORDER_PREFIX + machine, bytes)
            elif machine in self._inherited_until:
                encode = partial(self._encode_left, ANSWERED, machine, self._needed_until)
                self._ledger.mark_dirty(ORDER_PREFIX + machine, encode)

    def _encode_left(self, state: bytes, machine: str, ends: dict[str, timedelta]) -> bytes:
        left = max(timedelta(), ends.get(machine, timedelta()) - self._clock.elapsed())
        return state + b" %d" % math.ceil(left / timedelta(milliseconds=1))


def _decode_time_left(machine: str, value: bytes, state: bytes, longest: timedelta) -> timedelta:
    """Returns the time that a record of an order tells, the longest one if it tells none."""
    if value == state:
        return longest
    try:
        left = timedelta(milliseconds=parse_count(value.removeprefix(state + b" ")))
    except MalformedDocument as error:
        unreadable_records.note(FLEET_TOPIC, ORDER_PREFIX + machine, error)
        return longest
    return min(left, longest)
