"""Slots of targets shared by the entry hosts of a data centre: ownership, loans and their lapse.

The members of a view own numbered slots by rendezvous hashing. A lender does not use a lent slot
until it is returned or the loan lapses. The borrower counts a loan's lifetime from the moment it
sent the request that the loan answers, the lender from the later moment of lending, so however
long a message is delayed, the borrower's end comes first.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.hashing import choose_candidate
from carawayshore.membership import Incarnation

if TYPE_CHECKING:
    from carawayshore.clock import Clock

ZERO = timedelta()
# Numbers of a process start here times its incarnation, so that a message meant for an earlier
# process of the same member matches nothing in a later one.
NUMBERS_PER_INCARNATION = 2**32


class ShareSettings(NamedTuple):
    """Settings of :class:`ShareLedger`.

    Parameters
    ----------
    loan_lifetime : timedelta
        Time after which a loan lapses unless renewed.
    loan_margin : timedelta
        Time by which the borrower's end of a loan comes earlier; covers clock rates that differ.
    idle_return : timedelta
        An idle loan that is not needed is returned after this time.
    takeover_limit : timedelta
        A new owner stops waiting for the word of a silent peer after this time.
    peers_asked : int
        Peers asked for slots of a target in one tick.
    """

    loan_lifetime: timedelta = timedelta(seconds=2)
    loan_margin: timedelta = timedelta(seconds=0.1)
    idle_return: timedelta = timedelta(seconds=0.25)
    takeover_limit: timedelta = timedelta(seconds=10)
    peers_asked: int = 2


class SlotRequest(NamedTuple):
    """Asks for ``slots`` more slots of a target and for the renewal of loans."""

    target: str
    slots: int
    request: int
    renewals: tuple[int, ...] = ()


class SlotLoan(NamedTuple):
    """Lends a slot, or renews its loan, in answer to a request; ``lifetime`` in seconds."""

    target: str
    slot: int
    loan: int
    lifetime: float
    request: int


class SlotReturn(NamedTuple):
    """Says that the sender does not use what ``loan`` stands for, and will not."""

    target: str
    loan: int


class SlotRecall(NamedTuple):
    """Asks for the return of a loan, or of the slots that the sender now owns."""

    target: str
    loan: int


Message = SlotRequest | SlotLoan | SlotReturn | SlotRecall


class Outgoing(NamedTuple):
    """A message and the process it is for."""

    peer: Incarnation
    message: Message


class Permit(NamedTuple):
    """Right to have one request in progress at a target; ``loan`` is None for an own slot."""

    target: str
    slot: int
    lender: Incarnation | None = None
    loan: int | None = None


class HeldSlot(NamedTuple):
    """A slot that this process uses or may use now."""

    slot: int
    in_use: bool
    borrowed: bool


class _Lent:
    def __init__(self, target: str, slot: int, borrower: Incarnation, until: timedelta) -> None:
        self.target = target
        self.slot = slot
        self.borrower = borrower
        self.until = until


class _Borrowed:
    def __init__(self, target: str, slot: int, until: timedelta, now: timedelta) -> None:
        self.target = target
        self.slot = slot
        self.until = until
        self.idle_since = now
        self.recalled = False


class _Takeover:
    """Slots of a target that this member owns but that others may still use."""

    def __init__(self, loan: int) -> None:
        self.loan = loan
        self.slots: set[int] = set()
        self.waiting: set[Incarnation] = set()
        self.usable_at = ZERO
        self.limit_at = ZERO

    def is_complete(self, now: timedelta) -> bool:
        return now >= self.usable_at and (not self.waiting or now >= self.limit_at)


class ShareLedger:
    """The slots that one process may use.

    Parameters
    ----------
    member : Incarnation
        This process.
    clock : Clock
    settings : ShareSettings

    Examples
    --------
    >>> from datetime import timedelta
    >>> from carawayshore.testing import ManualClock
    >>> clock, me = ManualClock(), Incarnation("umea-1", 7)
    >>> ledger = ShareLedger(me, clock, ShareSettings())
    >>> ledger.set_view([me], {"w1": 8})
    >>> ledger.available("w1")
    0
    >>> clock.advance(timedelta(seconds=3))
    >>> permit = ledger.acquire("w1")
    >>> ledger.available("w1")
    7
    """

    def __init__(self, member: Incarnation, clock: Clock, settings: ShareSettings) -> None:
        self._member = member
        self._clock = clock
        self._settings = settings
        self._peers: list[Incarnation] = []
        self._names: list[str] = []
        self._targets: dict[str, int] = {}
        self._owners: dict[str, list[str]] = {}
        self._owned: dict[str, list[int]] = {}
        self._takeovers: dict[str, _Takeover] = {}
        self._permits: dict[tuple[str, int], Permit] = {}
        self._lent: dict[int, _Lent] = {}
        self._lent_slots: dict[tuple[str, int], int] = {}
        self._borrowed: dict[tuple[Incarnation, int], _Borrowed] = {}
        self._closed: dict[tuple[Incarnation, int], timedelta] = {}
        self._sent: dict[int, timedelta] = {}
        self._demand: Mapping[str, int] = {}
        self._number = member.incarnation * NUMBERS_PER_INCARNATION
        self._rotation = 0
        self._stopping = False
        # Counts that hold until a change of the target's slots or until the time kept with them.
        self._counts: dict[str, tuple[int, timedelta]] = {}

    # Views

    def set_view(self, members: Collection[Incarnation], targets: Mapping[str, int]) -> None:
        """Takes over a view of the data centre.

        Parameters
        ----------
        members : collection of Incarnation
            The members that have not ended, this process included.
        targets : mapping of str to int
            Slots of each target.

        Raises
        ------
        ValueError
            If this process is not one of ``members``.
        """
        if self._member not in members:
            raise ValueError(f"{self._member} is not one of the members {sorted(members)}")
        now = self._clock.elapsed()
        self._peers = sorted(set(members) - {self._member})
        self._counts.clear()
        self._end_absent_peers(now)
        names = sorted(member.member for member in members)
        if names != self._names or targets != self._targets:
            self._targets = dict(targets)
            self._owners = {
                target: [choose_candidate(f"{target}/{slot}", names) for slot in range(slots)]
                for target, slots in targets.items()
            }
            self._names = names
            self._own_slots(now)

    def _own_slots(self, now: timedelta) -> None:
        previous = self._owned
        self._owned = {
            target: [n for n, owner in enumerate(owners) if owner == self._member.member]
            for target, owners in self._owners.items()
        }
        for target, slots in self._owned.items():
            added = set(slots) - set(previous.get(target, ()))
            if added:
                self._start_takeover(target, added, now)
        for target, takeover in list(self._takeovers.items()):
            takeover.slots &= set(self._owned.get(target, ()))
            if not takeover.slots:
                del self._takeovers[target]

    def _start_takeover(self, target: str, added: set[int], now: timedelta) -> None:
        takeover = _Takeover(self._next_number())
        if target in self._takeovers:
            takeover.slots = self._takeovers[target].slots
        takeover.slots = takeover.slots | added
        takeover.waiting = set(self._peers)
        takeover.usable_at = now + self._longest_loan()
        takeover.limit_at = now + max(self._settings.takeover_limit, self._longest_loan())
        self._takeovers[target] = takeover

    def _longest_loan(self) -> timedelta:
        return self._settings.loan_lifetime + self._settings.loan_margin

    def _end_absent_peers(self, now: timedelta) -> None:
        current = set(self._peers)
        for takeover in self._takeovers.values():
            if takeover.waiting - current:
                # Requests that the ended process started may still run at the target.
                takeover.usable_at = max(takeover.usable_at, now + self._longest_loan())
                takeover.waiting &= current
        for key in [key for key in self._borrowed if key[0] not in current]:
            del self._borrowed[key]

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    # Use of slots

    def _list_own(self, target: str, now: timedelta) -> Sequence[int]:
        """Returns the own slots that are not pending and not lent."""
        takeover = self._takeovers.get(target)
        pending = () if takeover is None or takeover.is_complete(now) else takeover.slots
        owned = self._owned.get(target, ())
        if not pending and not self._lent_slots:
            return owned
        return [
            slot for slot in owned if slot not in pending and not self._is_lent(target, slot, now)
        ]

    def _list_free(self, target: str, now: timedelta) -> list[int]:
        """Returns the own slots that a request may be started in now."""
        own = self._list_own(target, now)
        if not self._permits:
            return list(own)
        return [slot for slot in own if (target, slot) not in self._permits]

    def _is_lent(self, target: str, slot: int, now: timedelta) -> bool:
        loan = self._lent_slots.get((target, slot))
        return loan is not None and now < self._lent[loan].until

    def _list_borrowed(
        self, target: str, now: timedelta
    ) -> list[tuple[tuple[Incarnation, int], _Borrowed]]:
        return [
            (key, loan)
            for key, loan in self._borrowed.items()
            if loan.target == target and now < loan.until
        ]

    def list_held(self, target: str) -> list[HeldSlot]:
        """Returns the slots that this process uses or may use now, for the state dump.

        A slot in use under a loan that has lapsed is not among them.
        """
        now = self._clock.elapsed()
        held = {
            slot: HeldSlot(slot, (target, slot) in self._permits, False)
            for slot in self._list_own(target, now)
        }
        for (_, slot), permit in self._permits.items():
            if permit.target == target and permit.loan is None:
                held[slot] = HeldSlot(slot, True, False)
        for _, loan in self._list_borrowed(target, now):
            in_use = (target, loan.slot) in self._permits
            if in_use or not loan.recalled:
                held[loan.slot] = HeldSlot(loan.slot, in_use, True)
        return [held[slot] for slot in sorted(held)]

    def available(self, target: str) -> int:
        """Returns how many requests may be started at ``target`` now."""
        return self._count_available(target, self._clock.elapsed())

    def count_available(self, targets: Iterable[str]) -> dict[str, int]:
        """Returns how many requests may be started at each of ``targets`` now."""
        now = self._clock.elapsed()
        return {target: self._count_available(target, now) for target in targets}

    def _count_available(self, target: str, now: timedelta) -> int:
        known = self._counts.get(target)
        if known is not None and now < known[1]:
            return known[0]
        free = len(self._list_free(target, now))
        if self._borrowed:
            free += sum(
                not loan.recalled and (target, loan.slot) not in self._permits
                for _, loan in self._list_borrowed(target, now)
            )
        self._counts[target] = (free, self._find_next_end(target, now))
        return free

    def _find_next_end(self, target: str, now: timedelta) -> timedelta:
        """Returns when a loan or a takeover of a target ends without any further message."""
        ends = [lent.until for lent in self._lent.values() if lent.target == target]
        ends += [loan.until for loan in self._borrowed.values() if loan.target == target]
        takeover = self._takeovers.get(target)
        if takeover is not None:
            ends += [takeover.usable_at, takeover.limit_at]
        return min((end for end in ends if end > now), default=timedelta.max)

    def acquire(self, target: str) -> Permit | None:
        """Returns the right to start a request at ``target`` now, or None if no slot is free."""
        now = self._clock.elapsed()
        for slot in self._list_free(target, now):
            return self._use(Permit(target, slot))
        for (lender, number), loan in self._list_borrowed(target, now):
            if not loan.recalled and (target, loan.slot) not in self._permits:
                return self._use(Permit(target, loan.slot, lender, number))
        return None

    def _use(self, permit: Permit) -> Permit:
        self._permits[permit.target, permit.slot] = permit
        self._counts.pop(permit.target, None)
        return permit

    def release(self, permit: Permit) -> None:
        """Ends the use of a slot.

        Raises
        ------
        ValueError
            If ``permit`` is not in use.
        """
        if self._permits.get((permit.target, permit.slot)) != permit:
            raise ValueError(f"{permit} is not in use")
        del self._permits[permit.target, permit.slot]
        self._counts.pop(permit.target, None)
        loan = self._borrowed.get((permit.lender, permit.loan)) if permit.lender else None
        if loan is not None:
            loan.idle_since = self._clock.elapsed()

    # Messages

    def handle(self, message: Message, sender: Incarnation) -> list[Outgoing]:
        """Takes note of a message and returns the messages to send.

        Messages of processes that are not in the view are ignored: the sender repeats what
        matters, and what it believes about ownership may be older.
        """
        if sender not in self._peers:
            return []
        self._counts.clear()
        now = self._clock.elapsed()
        if isinstance(message, SlotRequest):
            return self._lend(message, sender, now)
        if isinstance(message, SlotLoan):
            return self._borrow(message, sender, now)
        if isinstance(message, SlotRecall):
            return self._answer_recall(message, sender, now)
        self._take_back(message, sender)
        return []

    def _lend(self, message: SlotRequest, peer: Incarnation, now: timedelta) -> list[Outgoing]:
        loans = []
        for number in message.renewals:
            lent = self._lent.get(number)
            if lent is None or lent.borrower != peer or now >= lent.until:
                continue
            if lent.slot in self._owned.get(lent.target, ()):
                lent.until = now + self._settings.loan_lifetime
                loans.append((number, lent))
        free = self._list_free(message.target, now)
        spare = len(free) - self._demand.get(message.target, 0)
        if not self._stopping:
            for slot in free[: max(0, min(spare, message.slots))]:
                number = self._next_number()
                until = now + self._settings.loan_lifetime
                lent = self._lent[number] = _Lent(message.target, slot, peer, until)
                self._forget_loan_of(message.target, slot)
                self._lent_slots[message.target, slot] = number
                loans.append((number, lent))
        seconds = self._settings.loan_lifetime.total_seconds()
        return [
            Outgoing(peer, SlotLoan(lent.target, lent.slot, number, seconds, message.request))
            for number, lent in loans
        ]

    def _forget_loan_of(self, target: str, slot: int) -> None:
        lapsed = self._lent_slots.pop((target, slot), None)
        if lapsed is not None:
            del self._lent[lapsed]

    def _borrow(self, message: SlotLoan, peer: Incarnation, now: timedelta) -> list[Outgoing]:
        key = (peer, message.loan)
        sent = self._sent.get(message.request)
        if sent is None or key in self._closed:
            return []
        until = sent + timedelta(seconds=message.lifetime) - self._settings.loan_margin
        if until <= now:
            return []
        known = self._borrowed.get(key)
        if known is not None:
            known.until = max(known.until, until)
        else:
            self._borrowed[key] = _Borrowed(message.target, message.slot, until, now)
        return []

    def _answer_recall(
        self, message: SlotRecall, peer: Incarnation, now: timedelta
    ) -> list[Outgoing]:
        key = (peer, message.loan)
        loan = self._borrowed.get(key)
        if loan is not None:
            loan.recalled = True
            return self._return_if_idle(key, now)
        # The loan itself may still be under way and must not be accepted after this answer.
        self._close(key, now)
        if self._uses_slots_of(peer, message.target, now):
            return []
        return [Outgoing(peer, SlotReturn(message.target, message.loan))]

    def _uses_slots_of(self, peer: Incarnation, target: str, now: timedelta) -> bool:
        """Returns whether this process uses or has lent slots that ``peer`` owns now."""
        owners = self._owners.get(target, [])
        return any(
            owner == peer.member
            and (self._uses_as_owner(target, slot) or self._is_lent(target, slot, now))
            for slot, owner in enumerate(owners)
        )

    def _uses_as_owner(self, target: str, slot: int) -> bool:
        permit = self._permits.get((target, slot))
        return permit is not None and permit.loan is None

    def _return_if_idle(self, key: tuple[Incarnation, int], now: timedelta) -> list[Outgoing]:
        loan = self._borrowed[key]
        permit = self._permits.get((loan.target, loan.slot))
        if permit is not None and (permit.lender, permit.loan) == key:
            return []
        del self._borrowed[key]
        self._close(key, now)
        return [Outgoing(key[0], SlotReturn(loan.target, key[1]))]

    def _close(self, key: tuple[Incarnation, int], now: timedelta) -> None:
        """Refuses a loan that arrives late; older ones answer requests that are forgotten."""
        self._closed[key] = now + self._longest_loan()

    def _take_back(self, message: SlotReturn, peer: Incarnation) -> None:
        takeover = self._takeovers.get(message.target)
        if takeover is not None and takeover.loan == message.loan:
            takeover.waiting.discard(peer)
        lent = self._lent.get(message.loan)
        if lent is not None and lent.borrower == peer:
            self._forget_loan_of(lent.target, lent.slot)

    # Periodic work

    def tick(self, demand: Mapping[str, int]) -> list[Outgoing]:
        """Returns the messages that are due; call several times in each loan lifetime.

        Parameters
        ----------
        demand : mapping of str to int
            Requests that wait for a slot of each target.
        """
        now = self._clock.elapsed()
        self._demand = dict(demand)
        self._counts.clear()
        self._forget_past(now)
        messages = self._recall_pending()
        for target in self._list_active(demand):
            missing = demand.get(target, 0) - self.available(target)
            if missing > 0:
                messages += self._recall_lent(target, missing, now)
            messages += self._return_idle(target, -missing, now)
            messages += self._ask(target, 0 if self._stopping else missing, now)
        self._rotation += 1
        # Slots were returned after they were counted above.
        self._counts.clear()
        return messages

    def _list_active(self, demand: Mapping[str, int]) -> list[str]:
        """Returns the targets with demand or loans; the others need no message."""
        active = {loan.target for loan in self._lent.values()}
        active.update(loan.target for loan in self._borrowed.values())
        active.update(target for target, waiting in demand.items() if waiting)
        return sorted(active & self._targets.keys())

    def stop(self) -> list[Outgoing]:
        """Ends lending and borrowing before a planned stop; returns idle loans."""
        self._stopping = True
        self._counts.clear()
        now = self._clock.elapsed()
        for loan in self._borrowed.values():
            loan.recalled = True
        keys = list(self._borrowed)
        return [message for key in keys for message in self._return_if_idle(key, now)]

    def _forget_past(self, now: timedelta) -> None:
        for number in [n for n, lent in self._lent.items() if now >= lent.until]:
            lent = self._lent[number]
            self._forget_loan_of(lent.target, lent.slot)
        for key in [key for key, loan in self._borrowed.items() if now >= loan.until]:
            del self._borrowed[key]
        lifetime = self._settings.loan_lifetime
        self._sent = {n: at for n, at in self._sent.items() if now - at < lifetime}
        self._closed = {key: until for key, until in self._closed.items() if now < until}
        done = [name for name, item in self._takeovers.items() if item.is_complete(now)]
        for target in done:
            del self._takeovers[target]

    def _recall_pending(self) -> list[Outgoing]:
        return [
            Outgoing(peer, SlotRecall(target, takeover.loan))
            for target, takeover in self._takeovers.items()
            for peer in sorted(takeover.waiting)
        ]

    def _recall_lent(self, target: str, missing: int, now: timedelta) -> list[Outgoing]:
        loans = [(n, lent) for n, lent in self._lent.items() if lent.target == target]
        return [
            Outgoing(lent.borrower, SlotRecall(target, number)) for number, lent in loans[:missing]
        ]

    def _return_idle(self, target: str, surplus: int, now: timedelta) -> list[Outgoing]:
        messages: list[Outgoing] = []
        for key, loan in self._list_borrowed(target, now):
            idle = now - loan.idle_since >= self._settings.idle_return
            if loan.recalled or (surplus > len(messages) and idle):
                messages += self._return_if_idle(key, now)
        return messages

    def _ask(self, target: str, missing: int, now: timedelta) -> list[Outgoing]:
        """Returns requests for more slots and for renewals, one for each peer concerned."""
        renewals: dict[Incarnation, list[int]] = {}
        for (lender, number), loan in self._list_borrowed(target, now):
            if not loan.recalled or (target, loan.slot) in self._permits:
                renewals.setdefault(lender, []).append(number)
        asked = self._choose_lenders(target) if missing > 0 else []
        messages = []
        for peer in sorted({*asked, *renewals}):
            number = self._next_number()
            self._sent[number] = now
            wanted = missing if peer in asked else 0
            request = SlotRequest(target, wanted, number, tuple(renewals.get(peer, ())))
            messages.append(Outgoing(peer, request))
        return messages

    def _choose_lenders(self, target: str) -> Iterable[Incarnation]:
        """Returns owners of the target's slots in turn, so that a silent one is passed over."""
        owners = set(self._owners[target])
        peers = [peer for peer in self._peers if peer.member in owners]
        start = self._rotation * self._settings.peers_asked % max(len(peers), 1)
        return (peers[start:] + peers[:start])[: self._settings.peers_asked]
