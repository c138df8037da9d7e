"""Slots of targets shared by the entry hosts of a data centre: ownership, loans and their expiry.

Rendezvous hashing assigns each numbered slot to an owner among the members of a view. A lender does
not use a lent slot until it is returned or the loan expires. The borrower counts the lifetime of a
loan from the time at which it sent the request, the lender from the later time at which it lent the
slot. The loan therefore always expires at the borrower first, even if messages are delayed.
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
# A process numbers requests and loans from this value times its incarnation, so that a message
# for an earlier process of the same member matches no request or loan of a later one.
NUMBERS_PER_INCARNATION = 2**32


class ShareSettings(NamedTuple):
    """Settings of :class:`ShareLedger`.

    Parameters
    ----------
    loan_lifetime : timedelta
        Time after which a loan expires unless renewed.
    loan_margin : timedelta
        Time by which a loan expires earlier at the borrower; covers differing clock rates.
    idle_timeout : timedelta
        Time after which an unused loan that is not needed is returned.
    takeover_timeout : timedelta
        Time after which a new owner stops waiting for peers that do not release its slots.
    max_peers_per_tick : int
        Maximum number of peers that are sent a request for slots of a target in one tick.
    """

    loan_lifetime: timedelta = timedelta(seconds=2)
    loan_margin: timedelta = timedelta(seconds=0.1)
    idle_timeout: timedelta = timedelta(seconds=0.25)
    takeover_timeout: timedelta = timedelta(seconds=10)
    max_peers_per_tick: int = 2


class SlotRequest(NamedTuple):
    """Request for ``slots`` more slots of a target and for the renewal of loans."""

    target: str
    slots: int
    request: int
    renewals: tuple[int, ...] = ()


class SlotLoan(NamedTuple):
    """Loan of a slot, or its renewal, in answer to a request; ``lifetime`` in seconds."""

    target: str
    slot: int
    loan: int
    lifetime: float
    request: int


class SlotReturn(NamedTuple):
    """Return of a loan, or answer to a recall: the sender no longer uses the slots.

    ``loan`` is the number of the loan or of the takeover (see :class:`SlotRecall`).
    """

    target: str
    loan: int


class SlotRecall(NamedTuple):
    """Request to return a loan, or to stop using the slots that the sender now owns.

    ``loan`` is the number of the loan, or of the takeover of newly owned slots.
    """

    target: str
    loan: int


Message = SlotRequest | SlotLoan | SlotReturn | SlotRecall


class Outgoing(NamedTuple):
    """A message and the process that it is addressed to."""

    peer: Incarnation
    message: Message


class Permit(NamedTuple):
    """Right to have one request in progress at a target; ``loan`` is None for an own slot."""

    target: str
    slot: int
    lender: Incarnation | None = None
    loan: int | None = None


class UsableSlot(NamedTuple):
    """A slot that this process uses or may use now."""

    slot: int
    in_use: bool
    borrowed: bool


class _LentSlot:
    def __init__(
        self, target: str, slot: int, borrower: Incarnation, expires_at: timedelta
    ) -> None:
        self.target = target
        self.slot = slot
        self.borrower = borrower
        self.expires_at = expires_at


class _BorrowedSlot:
    def __init__(self, target: str, slot: int, expires_at: timedelta, now: timedelta) -> None:
        self.target = target
        self.slot = slot
        self.expires_at = expires_at
        self.idle_since = now
        self.recalled = False


class _Takeover:
    """Slots of a target that this member owns but that other members may still use.

    Parameters
    ----------
    number : int
        Number that identifies the takeover in recalls and returns.

    Attributes
    ----------
    slots : set of int
    waiting : set of Incarnation
        Peers that have not confirmed that they no longer use the slots.
    not_before : timedelta
        Earliest time of completion: until then, loans of the previous owners may be valid and
        requests of ended processes may still be running.
    deadline : timedelta
        Time at which the takeover completes without the confirmations.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.slots: set[int] = set()
        self.waiting: set[Incarnation] = set()
        self.not_before = ZERO
        self.deadline = ZERO

    def is_complete(self, now: timedelta) -> bool:
        return now >= self.not_before and (not self.waiting or now >= self.deadline)


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
    >>> ledger.count_available_at("w1")
    0
    >>> clock.advance(timedelta(seconds=3))
    >>> permit = ledger.acquire("w1")
    >>> ledger.count_available_at("w1")
    7
    """

    def __init__(self, member: Incarnation, clock: Clock, settings: ShareSettings) -> None:
        self._member = member
        self._clock = clock
        self._settings = settings
        self._peers: list[Incarnation] = []
        self._member_names: list[str] = []
        self._targets: dict[str, int] = {}
        self._owners: dict[str, list[str]] = {}
        self._owned: dict[str, list[int]] = {}
        self._takeovers: dict[str, _Takeover] = {}
        self._permits: dict[tuple[str, int], Permit] = {}
        self._lent: dict[int, _LentSlot] = {}
        self._lent_slots: dict[tuple[str, int], int] = {}
        self._borrowed: dict[tuple[Incarnation, int], _BorrowedSlot] = {}
        self._refused_loans: dict[tuple[Incarnation, int], timedelta] = {}
        self._request_times: dict[int, timedelta] = {}
        self._demand: Mapping[str, int] = {}
        self._last_number = member.incarnation * NUMBERS_PER_INCARNATION
        self._lender_rotation = 0
        self._stopping = False
        # Available slots by target and the time until which the count is valid; a change of the
        # target's slots removes the entry.
        self._cached_counts: dict[str, tuple[int, timedelta]] = {}

    # Views

    def set_view(self, members: Collection[Incarnation], targets: Mapping[str, int]) -> None:
        """Updates peers and slot ownership from a view of the data centre.

        Parameters
        ----------
        members : collection of Incarnation
            The members that are running, including this process.
        targets : mapping of str to int
            Number of slots by target.

        Raises
        ------
        ValueError
            If this process is not one of ``members``.
        """
        if self._member not in members:
            raise ValueError(f"{self._member} is not one of the members {sorted(members)}")
        now = self._clock.elapsed()
        self._peers = sorted(set(members) - {self._member})
        self._cached_counts.clear()
        self._remove_absent_peers(now)
        names = sorted(member.member for member in members)
        if names != self._member_names or targets != self._targets:
            self._targets = dict(targets)
            self._owners = {
                target: [choose_candidate(f"{target}/{slot}", names) for slot in range(slots)]
                for target, slots in targets.items()
            }
            self._member_names = names
            self._update_owned_slots(now)

    def _update_owned_slots(self, now: timedelta) -> None:
        previously_owned = self._owned
        self._owned = {
            target: [n for n, owner in enumerate(owners) if owner == self._member.member]
            for target, owners in self._owners.items()
        }
        for target, slots in self._owned.items():
            added = set(slots) - set(previously_owned.get(target, ()))
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
        takeover.not_before = now + self._compute_max_loan_duration()
        takeover.deadline = now + max(
            self._settings.takeover_timeout, self._compute_max_loan_duration()
        )
        self._takeovers[target] = takeover

    def _compute_max_loan_duration(self) -> timedelta:
        return self._settings.loan_lifetime + self._settings.loan_margin

    def _remove_absent_peers(self, now: timedelta) -> None:
        current = set(self._peers)
        for takeover in self._takeovers.values():
            if takeover.waiting - current:
                # Requests started by the ended process may still be running at the target.
                takeover.not_before = max(
                    takeover.not_before, now + self._compute_max_loan_duration()
                )
                takeover.waiting &= current
        for key in [key for key in self._borrowed if key[0] not in current]:
            del self._borrowed[key]

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # Slot use

    def _list_usable_owned(self, target: str, now: timedelta) -> Sequence[int]:
        """Returns the owned slots that are neither lent nor part of a takeover."""
        takeover = self._takeovers.get(target)
        pending = () if takeover is None or takeover.is_complete(now) else takeover.slots
        owned = self._owned.get(target, ())
        if not pending and not self._lent_slots:
            return owned
        return [
            slot for slot in owned if slot not in pending and not self._is_lent(target, slot, now)
        ]

    def _list_free_owned(self, target: str, now: timedelta) -> list[int]:
        """Returns the owned slots in which a request may be started now."""
        own = self._list_usable_owned(target, now)
        if not self._permits:
            return list(own)
        return [slot for slot in own if (target, slot) not in self._permits]

    def _is_lent(self, target: str, slot: int, now: timedelta) -> bool:
        loan = self._lent_slots.get((target, slot))
        return loan is not None and now < self._lent[loan].expires_at

    def _list_active_loans(
        self, target: str, now: timedelta
    ) -> list[tuple[tuple[Incarnation, int], _BorrowedSlot]]:
        return [
            (key, loan)
            for key, loan in self._borrowed.items()
            if loan.target == target and now < loan.expires_at
        ]

    def list_usable_slots(self, target: str) -> list[UsableSlot]:
        """Returns the slots that this process uses or may use now, for the state dump.

        Slots that are in use under an expired loan are not included.
        """
        now = self._clock.elapsed()
        held = {
            slot: UsableSlot(slot, (target, slot) in self._permits, False)
            for slot in self._list_usable_owned(target, now)
        }
        for (_, slot), permit in self._permits.items():
            if permit.target == target and permit.loan is None:
                held[slot] = UsableSlot(slot, True, False)
        for _, loan in self._list_active_loans(target, now):
            in_use = (target, loan.slot) in self._permits
            if in_use or not loan.recalled:
                held[loan.slot] = UsableSlot(loan.slot, in_use, True)
        return [held[slot] for slot in sorted(held)]

    def count_available_at(self, target: str) -> int:
        """Returns the number of requests that may be started at ``target`` now."""
        return self._count_available(target, self._clock.elapsed())

    def count_available(self, targets: Iterable[str]) -> dict[str, int]:
        """Returns the number of requests that may be started at each of ``targets`` now."""
        now = self._clock.elapsed()
        return {target: self._count_available(target, now) for target in targets}

    def _count_available(self, target: str, now: timedelta) -> int:
        known = self._cached_counts.get(target)
        if known is not None and now < known[1]:
            return known[0]
        free = len(self._list_free_owned(target, now))
        if self._borrowed:
            free += sum(
                not loan.recalled and (target, loan.slot) not in self._permits
                for _, loan in self._list_active_loans(target, now)
            )
        self._cached_counts[target] = (free, self._find_next_expiry(target, now))
        return free

    def _find_next_expiry(self, target: str, now: timedelta) -> timedelta:
        """Returns when a loan or takeover of a target next ends without a further message."""
        expiries = [lent.expires_at for lent in self._lent.values() if lent.target == target]
        expiries += [loan.expires_at for loan in self._borrowed.values() if loan.target == target]
        takeover = self._takeovers.get(target)
        if takeover is not None:
            expiries += [takeover.not_before, takeover.deadline]
        return min((end for end in expiries if end > now), default=timedelta.max)

    def acquire(self, target: str) -> Permit | None:
        """Returns a permit to start a request at ``target`` now, or None if no slot is free."""
        now = self._clock.elapsed()
        for slot in self._list_free_owned(target, now):
            return self._register_permit(Permit(target, slot))
        for (lender, number), loan in self._list_active_loans(target, now):
            if not loan.recalled and (target, loan.slot) not in self._permits:
                return self._register_permit(Permit(target, loan.slot, lender, number))
        return None

    def _register_permit(self, permit: Permit) -> Permit:
        self._permits[permit.target, permit.slot] = permit
        self._cached_counts.pop(permit.target, None)
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
        self._cached_counts.pop(permit.target, None)
        loan = self._borrowed.get((permit.lender, permit.loan)) if permit.lender else None
        if loan is not None:
            loan.idle_since = self._clock.elapsed()

    # Messages

    def handle(self, message: Message, sender: Incarnation) -> list[Outgoing]:
        """Processes a message and returns the messages to send.

        Messages from processes outside the view are ignored: the sender repeats requests and
        recalls, and its view of slot ownership may be outdated.
        """
        if sender not in self._peers:
            return []
        self._cached_counts.clear()
        now = self._clock.elapsed()
        if isinstance(message, SlotRequest):
            return self._handle_request(message, sender, now)
        if isinstance(message, SlotLoan):
            return self._handle_loan(message, sender, now)
        if isinstance(message, SlotRecall):
            return self._handle_recall(message, sender, now)
        self._handle_return(message, sender)
        return []

    def _handle_request(
        self, message: SlotRequest, peer: Incarnation, now: timedelta
    ) -> list[Outgoing]:
        loans = []
        for number in message.renewals:
            lent = self._lent.get(number)
            if lent is None or lent.borrower != peer or now >= lent.expires_at:
                continue
            if lent.slot in self._owned.get(lent.target, ()):
                lent.expires_at = now + self._settings.loan_lifetime
                loans.append((number, lent))
        free = self._list_free_owned(message.target, now)
        spare = len(free) - self._demand.get(message.target, 0)
        if not self._stopping:
            for slot in free[: max(0, min(spare, message.slots))]:
                number = self._next_number()
                expires_at = now + self._settings.loan_lifetime
                lent = self._lent[number] = _LentSlot(message.target, slot, peer, expires_at)
                self._remove_loan_of_slot(message.target, slot)
                self._lent_slots[message.target, slot] = number
                loans.append((number, lent))
        seconds = self._settings.loan_lifetime.total_seconds()
        return [
            Outgoing(peer, SlotLoan(lent.target, lent.slot, number, seconds, message.request))
            for number, lent in loans
        ]

    def _remove_loan_of_slot(self, target: str, slot: int) -> None:
        number = self._lent_slots.pop((target, slot), None)
        if number is not None:
            del self._lent[number]

    def _handle_loan(self, message: SlotLoan, peer: Incarnation, now: timedelta) -> list[Outgoing]:
        key = (peer, message.loan)
        sent = self._request_times.get(message.request)
        if sent is None or key in self._refused_loans:
            return []
        expires_at = sent + timedelta(seconds=message.lifetime) - self._settings.loan_margin
        if expires_at <= now:
            return []
        known = self._borrowed.get(key)
        if known is not None:
            known.expires_at = max(known.expires_at, expires_at)
        else:
            self._borrowed[key] = _BorrowedSlot(message.target, message.slot, expires_at, now)
        return []

    def _handle_recall(
        self, message: SlotRecall, peer: Incarnation, now: timedelta
    ) -> list[Outgoing]:
        key = (peer, message.loan)
        loan = self._borrowed.get(key)
        if loan is not None:
            loan.recalled = True
            return self._return_if_idle(key, now)
        # The loan message may still be in transit and must not be accepted after this answer.
        self._refuse_loan(key, now)
        if self._uses_or_lends_slots_of(peer, message.target, now):
            return []
        return [Outgoing(peer, SlotReturn(message.target, message.loan))]

    def _uses_or_lends_slots_of(self, peer: Incarnation, target: str, now: timedelta) -> bool:
        """Returns whether this process uses or lends slots that ``peer`` now owns."""
        owners = self._owners.get(target, [])
        return any(
            owner == peer.member
            and (self._uses_owned_slot(target, slot) or self._is_lent(target, slot, now))
            for slot, owner in enumerate(owners)
        )

    def _uses_owned_slot(self, target: str, slot: int) -> bool:
        permit = self._permits.get((target, slot))
        return permit is not None and permit.loan is None

    def _return_if_idle(self, key: tuple[Incarnation, int], now: timedelta) -> list[Outgoing]:
        loan = self._borrowed[key]
        permit = self._permits.get((loan.target, loan.slot))
        if permit is not None and (permit.lender, permit.loan) == key:
            return []
        del self._borrowed[key]
        self._refuse_loan(key, now)
        return [Outgoing(key[0], SlotReturn(loan.target, key[1]))]

    def _refuse_loan(self, key: tuple[Incarnation, int], now: timedelta) -> None:
        """Refuses the loan if its message arrives late.

        The entry expires after the maximum duration of a loan. A message that arrives later is
        ignored anyway, since the request that it answers is no longer recorded.
        """
        self._refused_loans[key] = now + self._compute_max_loan_duration()

    def _handle_return(self, message: SlotReturn, peer: Incarnation) -> None:
        takeover = self._takeovers.get(message.target)
        if takeover is not None and takeover.number == message.loan:
            takeover.waiting.discard(peer)
        lent = self._lent.get(message.loan)
        if lent is not None and lent.borrower == peer:
            self._remove_loan_of_slot(lent.target, lent.slot)

    # Periodic work

    def tick(self, demand: Mapping[str, int]) -> list[Outgoing]:
        """Returns the messages that are due; call several times per loan lifetime.

        Parameters
        ----------
        demand : mapping of str to int
            Number of requests that wait for a slot, by target.
        """
        now = self._clock.elapsed()
        self._demand = dict(demand)
        self._cached_counts.clear()
        self._remove_expired(now)
        messages = self._recall_taken_over()
        for target in self._list_active_targets(demand):
            missing = demand.get(target, 0) - self.count_available_at(target)
            if missing > 0:
                messages += self._recall_lent(target, missing, now)
            messages += self._return_idle(target, -missing, now)
            messages += self._request_slots(target, 0 if self._stopping else missing, now)
        self._lender_rotation += 1
        # Slots were returned after ``count_available_at`` had cached their count.
        self._cached_counts.clear()
        return messages

    def _list_active_targets(self, demand: Mapping[str, int]) -> list[str]:
        """Returns the targets with demand or loans; only these need messages."""
        active = {loan.target for loan in self._lent.values()}
        active.update(loan.target for loan in self._borrowed.values())
        active.update(target for target, waiting in demand.items() if waiting)
        return sorted(active & self._targets.keys())

    def stop(self) -> list[Outgoing]:
        """Stops lending and borrowing before a planned stop; returns messages for unused loans."""
        self._stopping = True
        self._cached_counts.clear()
        now = self._clock.elapsed()
        for loan in self._borrowed.values():
            loan.recalled = True
        keys = list(self._borrowed)
        return [message for key in keys for message in self._return_if_idle(key, now)]

    def _remove_expired(self, now: timedelta) -> None:
        for number in [n for n, lent in self._lent.items() if now >= lent.expires_at]:
            lent = self._lent[number]
            self._remove_loan_of_slot(lent.target, lent.slot)
        for key in [key for key, loan in self._borrowed.items() if now >= loan.expires_at]:
            del self._borrowed[key]
        lifetime = self._settings.loan_lifetime
        self._request_times = {
            n: at for n, at in self._request_times.items() if now - at < lifetime
        }
        self._refused_loans = {
            key: expires_at for key, expires_at in self._refused_loans.items() if now < expires_at
        }
        complete = [name for name, item in self._takeovers.items() if item.is_complete(now)]
        for target in complete:
            del self._takeovers[target]

    def _recall_taken_over(self) -> list[Outgoing]:
        return [
            Outgoing(peer, SlotRecall(target, takeover.number))
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
        for key, loan in self._list_active_loans(target, now):
            idle = now - loan.idle_since >= self._settings.idle_timeout
            if loan.recalled or (surplus > len(messages) and idle):
                messages += self._return_if_idle(key, now)
        return messages

    def _request_slots(self, target: str, missing: int, now: timedelta) -> list[Outgoing]:
        """Returns the requests for more slots and for renewals, one per peer."""
        renewals: dict[Incarnation, list[int]] = {}
        for (lender, number), loan in self._list_active_loans(target, now):
            if not loan.recalled or (target, loan.slot) in self._permits:
                renewals.setdefault(lender, []).append(number)
        lenders = self._choose_lenders(target) if missing > 0 else []
        messages = []
        for peer in sorted({*lenders, *renewals}):
            number = self._next_number()
            self._request_times[number] = now
            wanted = missing if peer in lenders else 0
            request = SlotRequest(target, wanted, number, tuple(renewals.get(peer, ())))
            messages.append(Outgoing(peer, request))
        return messages

    def _choose_lenders(self, target: str) -> Iterable[Incarnation]:
        """Returns owners of the target's slots, in rotation.

        A peer that does not answer therefore cannot prevent borrowing.
        """
        owners = set(self._owners[target])
        peers = [peer for peer in self._peers if peer.member in owners]
        start = self._lender_rotation * self._settings.max_peers_per_tick % max(len(peers), 1)
        return (peers[start:] + peers[:start])[: self._settings.max_peers_per_tick]
