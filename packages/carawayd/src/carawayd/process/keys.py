"""Grants of idempotency keys: deciding claims as the owner, and sending claims to the owner.

Before the owner answers a claim, the grant is stored in the log or replicated to a peer. Grants
that are not in the log yet are appended as soon as the log answers; until then this process does
not report later offsets to barriers, so that no view settles without these grants.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from mode import Service
from returns.result import Success

from carawayd.process.appender import AppendOutcomeUnknown, NotAppended, Priority
from carawayd.process.messages import Header, KeyAnswer, KeyClaim, KeyCopied, KeyCopy, KeyDone
from carawayd.supervision import start_in_background
from carawayshore import records
from carawayshore.hashing import rank_candidates
from carawayshore.keys import (
    RELEASED,
    Ticket,
    choose_home_data_centre,
    choose_owner,
    may_grant,
    parse_ticket,
)

if TYPE_CHECKING:
    from carawayd.process.appender import Appender
    from carawayd.process.membership import Membership
    from carawayd.process.metrics import Metrics
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayd.version.configuration import Versions
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

# Older tickets are evicted. A claim on an evicted ticket is answered ``unknown``, and its request
# is not dispatched.
MAX_TRACKED_TICKETS = 50_000
LOG_APPEND_TIMEOUT = timedelta(milliseconds=400)
COPY_TIMEOUT = timedelta(milliseconds=400)
CLAIM_RETRY_INTERVAL = timedelta(milliseconds=100)
FLUSH_INTERVAL = timedelta(milliseconds=100)


class Grant(NamedTuple):
    """The request that may be dispatched under a key, and its member and incarnation."""

    request: str
    member: str
    incarnation: int


class KeyOwner(Service):
    """Grants the keys that this process owns and sends claims on other keys to their owners.

    Parameters
    ----------
    reader, appender
        Of the stream of the own data centre.
    membership : Membership
    peers : Peers
    versions : Versions
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        reader: StreamReader,
        appender: Appender,
        *,
        membership: Membership,
        peers: Peers,
        versions: Versions,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._reader = reader
        self._appender = appender
        self._membership = membership
        self._peers = peers
        self._versions = versions
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._grants_in_progress: dict[str, Grant] = {}
        self._unlogged_grants: dict[str, Grant] = {}
        self._flushing: set[str] = set()
        self._pending_copies: dict[tuple[str, str], asyncio.Future[bool]] = {}
        self._pending_answers: dict[tuple[str, str], asyncio.Future[KeyAnswer]] = {}
        self._tickets: OrderedDict[str, Grant] = OrderedDict()
        self._ticket_number = 0
        self._max_evicted_ticket = 0
        self._ticket_incarnations: set[int] = set()
        # Offset of the quarantine last seen, and the time when it was seen or its end submitted.
        self._quarantine = (-1, timedelta())
        membership.has_unlogged_grants = lambda: bool(self._unlogged_grants)
        peers.add_handler(KeyClaim, self._handle_claim)
        peers.add_handler(KeyAnswer, self._handle_answer)
        peers.add_handler(KeyCopy, self._handle_copy)
        peers.add_handler(KeyCopied, self._handle_copied)
        peers.add_handler(KeyDone, self._handle_done)

    @property
    def unlogged_count(self) -> int:
        return len(self._unlogged_grants)

    def issue_ticket(self) -> Ticket:
        """Returns a new key whose grant only this process tracks, without the log."""
        self._ticket_number += 1
        self._ticket_incarnations.add(self._membership.incarnation)
        return Ticket(
            self._settings.data_centre,
            self._settings.member,
            self._membership.incarnation,
            self._ticket_number,
        )

    def find_grant(self, key: str) -> Grant | None:
        """Returns the grant of a key, or None if this process knows of none."""
        grant = (
            self._grants_in_progress.get(key)
            or self._unlogged_grants.get(key)
            or self._tickets.get(key)
        )
        folded = self._reader.folded.keys.get(key)
        if grant is None and folded is not None:
            grant = Grant(folded.request, folded.member, folded.incarnation)
        return grant

    async def claim(self, key: str, request: str) -> KeyAnswer:
        """Claims ``key`` for a request of this process.

        Returns
        -------
        KeyAnswer
            Only the decision ``granted`` allows the dispatch. ``unsafe`` means that the key was
            not granted to any request, ``unknown`` that the outcome could not be determined.
        """
        holder = Grant(request, self._settings.member, self._membership.incarnation)
        answer = await self._claim_with_retry(KeyClaim(key, *holder))
        self._metrics.key_claims.labels(answer.decision).inc()
        return answer

    async def peek(self, key: str, request: str) -> KeyAnswer:
        """Reads the holder of ``key`` without a claim; the decision is ``free`` if it has none."""
        holder = Grant(request, self._settings.member, self._membership.incarnation)
        return await self._claim_with_retry(KeyClaim(key, *holder, peek=True))

    async def _claim_with_retry(self, claim: KeyClaim) -> KeyAnswer:
        deadline = self._clock.elapsed() + self._settings.options.key_wait
        while True:
            answer = await self._claim_once(claim)
            if answer.decision != "not-owner" or self._clock.elapsed() >= deadline:
                break
            await self._clock.sleep(CLAIM_RETRY_INTERVAL)
        if answer.decision == "not-owner":
            return answer._replace(decision="unknown")
        return answer

    async def _claim_once(self, claim: KeyClaim) -> KeyAnswer:
        owner = self._find_owner(claim.key, relayed=claim.relayed)
        if owner is None:
            return KeyAnswer(claim.key, claim.request, "unknown")
        if owner == self._settings.member:
            return await self._grant(claim)
        return await self._ask_owner(owner, claim)

    def _find_owner(self, key: str, *, relayed: bool) -> str | None:
        """Returns the member that decides or forwards claims on ``key``, or None if unreachable."""
        ticket = parse_ticket(key)
        if ticket is not None:
            return ticket.member
        version = self._versions.current
        if version is None:
            return None
        home = choose_home_data_centre(key, version.configuration["data_centres"])
        if home == self._settings.data_centre:
            owner = choose_owner(key, self._reader.folded.view)
            return owner[0] if owner else None
        if relayed:
            return None
        live = [
            peer.header.member
            for peer in self._peers.list_live(data_centre=home)
            if peer.heartbeat.ready
        ]
        return rank_candidates(key, live)[0] if live else None

    async def _ask_owner(self, owner: str, claim: KeyClaim) -> KeyAnswer:
        unknown = KeyAnswer(claim.key, claim.request, "unknown")
        is_local = self._peers.data_centres.get(owner) == self._settings.data_centre
        future = asyncio.get_running_loop().create_future()
        self._pending_answers[claim.key, claim.request] = future
        try:
            relayed = claim._replace(relayed=claim.relayed or is_local)
            if not self._peers.is_live(owner) or not self._peers.send(owner, relayed):
                return unknown
            wait = self._settings.options.key_wait.total_seconds()
            done, _ = await asyncio.wait({future}, timeout=wait)
            if done:
                return future.result()
            if not claim.peek:
                # The owner may have granted the key although its answer is missing; release it.
                self._peers.send(owner, KeyDone(claim.key, claim.request, RELEASED))
            return unknown
        finally:
            self._pending_answers.pop((claim.key, claim.request), None)

    def _handle_claim(self, header: Header, body: KeyClaim) -> None:
        start_in_background(self._answer_claim(header, body))

    async def _answer_claim(self, header: Header, claim: KeyClaim) -> None:
        if claim.relayed or parse_ticket(claim.key):
            owner = self._find_owner(claim.key, relayed=True)
            if owner == self._settings.member:
                answer = await self._grant(claim)
            else:
                answer = KeyAnswer(claim.key, claim.request, "not-owner")
        else:
            answer = await self._claim_with_retry(claim._replace(relayed=True))
        self._peers.send(header.member, answer)

    def _handle_answer(self, header: Header, body: KeyAnswer) -> None:
        future = self._pending_answers.get((body.key, body.request))
        if future is not None and not future.done():
            future.set_result(body)

    async def _grant(self, claim: KeyClaim) -> KeyAnswer:
        """Decides a claim as the owner."""
        key, holder = claim.key, Grant(claim.request, claim.holder, claim.holder_incarnation)
        known = self.find_grant(key)
        if known is not None:
            return self._build_answer(key, holder, known)
        ticket = parse_ticket(key)
        if ticket is not None:
            return self._grant_ticket(claim, ticket, holder)
        state = self._reader.folded
        if not self._membership.is_member() or not may_grant(
            key, state, self._settings.member, self._membership.incarnation
        ):
            return KeyAnswer(key, holder.request, "not-owner")
        if self._is_quarantined():
            return KeyAnswer(key, holder.request, "unknown")
        if claim.peek:
            return KeyAnswer(key, holder.request, "free")
        self._grants_in_progress[key] = holder
        try:
            return await self._store_grant(key, holder)
        finally:
            self._grants_in_progress.pop(key, None)

    def _build_answer(self, key: str, holder: Grant, known: Grant) -> KeyAnswer:
        # A claim that is repeated after a lost answer gets the same grant.
        decision = "granted" if known == holder else "held"
        return KeyAnswer(
            key, holder.request, decision, known.member, known.incarnation, known.request
        )

    def _grant_ticket(self, claim: KeyClaim, ticket: Ticket, holder: Grant) -> KeyAnswer:
        key = claim.key
        own = (
            ticket.member == self._settings.member
            and ticket.incarnation in self._ticket_incarnations
        )
        if not own or not self._max_evicted_ticket < ticket.number <= self._ticket_number:
            return KeyAnswer(key, holder.request, "unknown")
        if claim.peek:
            return KeyAnswer(key, holder.request, "free")
        self._tickets[key] = holder
        if len(self._tickets) > MAX_TRACKED_TICKETS:
            oldest, _ = self._tickets.popitem(last=False)
            self._max_evicted_ticket = max(self._max_evicted_ticket, parse_ticket(oldest).number)
        return self._build_answer(key, holder, holder)

    def _is_quarantined(self) -> bool:
        """Returns whether grants may be lost because all processes that stored them have ended."""
        offset = self._reader.folded.quarantine
        if offset < 0:
            return False
        if self._quarantine[0] != offset:
            self._quarantine = (offset, self._clock.elapsed())
        quarantine_age = self._clock.elapsed() - self._quarantine[1]
        return quarantine_age < self._settings.options.key_quarantine

    async def _store_grant(self, key: str, holder: Grant) -> KeyAnswer:
        granted = KeyAnswer(key, holder.request, "granted", holder.member, holder.incarnation)
        granted = granted._replace(holder_request=holder.request)
        may_be_logged = False
        if self._membership.is_log_reachable():
            body = records.KeyGranted(key, *holder)
            try:
                result = await self._appender.append(
                    body, Priority.KEY_GRANT, wait=LOG_APPEND_TIMEOUT
                )
            except NotAppended:
                logger.debug("could not append a key grant to the log; replicating it to a peer")
            except AppendOutcomeUnknown:
                may_be_logged = True
            else:
                if isinstance(result, Success):
                    return granted
                known = self._reader.folded.keys.get(key)
                if known is None:
                    return granted._replace(decision="not-owner")
                return self._build_answer(key, holder, Grant(*known[:3]))
        if await self._replicate_grant(key, holder):
            self._unlogged_grants[key] = holder
            return granted
        if may_be_logged:
            self._append_release(records.KeyFinished(key, holder.request, RELEASED))
        return KeyAnswer(key, holder.request, "unsafe")

    async def _replicate_grant(self, key: str, holder: Grant) -> bool:
        """Replicates a grant to the peers of the data centre; returns whether one confirmed it."""
        current = {name for name, _ in self._reader.folded.view.members}
        peers = [
            peer.header.member
            for peer in self._peers.list_live(data_centre=self._settings.data_centre)
            if peer.header.member in current and peer.heartbeat.joined
        ]
        future = asyncio.get_running_loop().create_future()
        self._pending_copies[key, holder.request] = future
        try:
            copy = KeyCopy(key, *holder)
            sent = [self._peers.send(peer, copy) for peer in peers]
            if not any(sent):
                return False
            done, _ = await asyncio.wait({future}, timeout=COPY_TIMEOUT.total_seconds())
            return bool(done)
        finally:
            del self._pending_copies[key, holder.request]

    def _handle_copy(self, header: Header, body: KeyCopy) -> None:
        if not self._membership.is_member():
            return
        known = self.find_grant(body.key)
        holder = Grant(body.request, body.member, body.incarnation)
        if known is None:
            self._unlogged_grants[body.key] = holder
        elif known != holder:
            return
        self._peers.send(header.member, KeyCopied(body.key, body.request))

    def _handle_copied(self, header: Header, body: KeyCopied) -> None:
        future = self._pending_copies.get((body.key, body.request))
        if future is not None and not future.done():
            future.set_result(True)

    def report_completion(self, key: str, request: str, status: int) -> None:
        """Reports to the owner how a granted request of this process ended."""
        if status != RELEASED and parse_ticket(key):
            return
        owner = self._find_owner(key, relayed=False)
        if owner == self._settings.member:
            self._record_completion(key, request, status)
        elif owner is not None:
            self._peers.send(owner, KeyDone(key, request, status))

    def _handle_done(self, header: Header, body: KeyDone) -> None:
        owner = self._find_owner(body.key, relayed=True)
        if owner == self._settings.member:
            self._record_completion(body.key, body.request, body.status)
        elif owner is not None and header.data_centre != self._settings.data_centre:
            self._peers.send(owner, body)

    def _record_completion(self, key: str, request: str, status: int) -> None:
        ticket = self._tickets.get(key)
        if ticket is not None and ticket.request == request:
            if status == RELEASED:
                del self._tickets[key]
            return
        if status == RELEASED:
            for table in (self._grants_in_progress, self._unlogged_grants):
                grant = table.get(key)
                if grant is not None and grant.request == request:
                    del table[key]
            self._append_release(records.KeyFinished(key, request, status))

    def _append_release(self, body: records.KeyFinished) -> None:
        try:
            self._appender.submit(body, Priority.JOB)
        except NotAppended:
            logger.debug(
                "could not append the release of a key: append queue is full; "
                "a grant that is in the log stays in effect"
            )

    @Service.task
    async def _flush(self) -> None:
        """Appends the grants that are not in the log yet, as soon as the log answers."""
        while not self.should_stop:
            self._ticket_incarnations.add(self._membership.incarnation)
            if self._membership.is_member() and self._membership.is_log_reachable():
                for key, grant in list(self._unlogged_grants.items()):
                    self._flush_grant(key, grant)
                self._end_quarantine()
            await self._clock.sleep(FLUSH_INTERVAL)

    def _flush_grant(self, key: str, grant: Grant) -> None:
        if key in self._flushing:
            return
        if key in self._reader.folded.keys:
            del self._unlogged_grants[key]
            return
        try:
            future = self._appender.submit(records.KeyGranted(key, *grant), Priority.KEY_GRANT)
        except NotAppended:
            return
        self._flushing.add(key)
        future.add_done_callback(lambda done: self._finish_flush(done, key))

    def _finish_flush(self, done: asyncio.Future, key: str) -> None:
        self._flushing.discard(key)
        if not done.cancelled() and done.exception() is None:
            self._unlogged_grants.pop(key, None)

    def _end_quarantine(self) -> None:
        offset = self._reader.folded.quarantine
        if offset < 0 or self._is_quarantined() or self._quarantine[0] != offset:
            return
        self._quarantine = (offset, self._clock.elapsed())
        try:
            self._appender.submit(records.QuarantineEnded(offset), Priority.MEMBER)
        except NotAppended:
            logger.debug("append queue is full; the end of the key quarantine is delayed")
