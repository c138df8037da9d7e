"""Membership of this process: joining, heartbeats, barriers, and whether it may serve."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING

from mode import Service
from returns.result import Success

from carawayd.process.appender import AppendOutcomeUnknown, NotAppended, Priority
from carawayd.process.messages import Header, Heartbeat
from carawayshore import records
from carawayshore.hashing import rank_candidates
from carawayshore.membership import Barrier, Incarnation

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from carawayd.process.appender import Appender
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

# The log counts as unreachable if it has not answered for this long; a long poll takes 1 s.
LOG_CONTACT_TIMEOUT = timedelta(seconds=1.5)
# Peers of other data centres get every fourth heartbeat: sending all of them among 88 entry hosts
# would far exceed the limit of 9 KB/s of control traffic at each.
REMOTE_HEARTBEAT_DIVISOR = 4
# Demand is reported once per second, in every fourth heartbeat: lending averages it over tens of
# seconds.
DEMAND_REPORT_DIVISOR = 4
GLOBAL_STREAM = "global"
TEMPORARY_INCARNATION_BITS = 40


class Membership(Service):
    """Joins the data centre, reports applied offsets, and decides whether serving is allowed.

    Parameters
    ----------
    reader, appender
        Of the stream of the own data centre.
    global_reader, global_appender
        Of the global stream.
    peers : Peers
    settings : Settings
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        reader: StreamReader,
        appender: Appender,
        *,
        global_reader: StreamReader,
        global_appender: Appender,
        peers: Peers,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.joined = asyncio.Event()
        self.barrier = Barrier()
        self.stopping = False
        self.refuses_requests = False
        self.superseded = asyncio.Event()
        self.get_loads: Callable[[], dict[str, int]] = dict
        self.get_pool_demand: Callable[[], dict[str, tuple[int, int, int]]] = dict
        self.has_unlogged_grants: Callable[[], bool] = lambda: False
        self._reader = reader
        self._appender = appender
        self._global_reader = global_reader
        self._global_appender = global_appender
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._last_contact = clock.elapsed()
        # Temporary until the process joins. It is random, to distinguish processes, and negative,
        # because the incarnation of a member is an offset.
        self.incarnation = -1 - rng.getrandbits(TEMPORARY_INCARNATION_BITS)
        self._reported_offset = 0
        self._sequence = 0
        self._settle_attempt: tuple[int, timedelta] | None = None
        peers.incarnation = self.incarnation
        peers.add_handler(Heartbeat, self._handle_heartbeat)
        reader.add_batch_listener(self._check_membership)

    @property
    def identity(self) -> Incarnation:
        return Incarnation(self._settings.member, self.incarnation)

    def is_member(self) -> bool:
        """Returns whether this incarnation has joined and has not ended."""
        return self.joined.is_set()

    def may_serve(self) -> bool:
        """Returns whether requests may currently be sent to targets."""
        if not self.is_member():
            return False
        silent = self._clock.elapsed() - self._find_last_contact()
        return silent < self._settings.options.solitary_limit

    def _find_last_contact(self) -> timedelta:
        contacts = [self._last_contact, self._reader.last_contact or self._last_contact]
        return max(contacts)

    def is_log_reachable(self) -> bool:
        """Returns whether the log answered recently."""
        age = self._reader.contact_age()
        return age is not None and age < LOG_CONTACT_TIMEOUT

    @Service.task
    async def _join(self) -> None:
        while not self.should_stop:
            await self._reader.caught_up.wait()
            await self._global_reader.caught_up.wait()
            incarnation = self._reader.folded.next_offset
            current = self._reader.folded.members.get(self._settings.member)
            if current is not None:
                incarnation = max(incarnation, current.incarnation + 1)
            for appender in (self._appender, self._global_appender):
                appender.set_producer(self._settings.member, incarnation)
            body = records.MemberJoined(
                self._settings.member,
                incarnation,
                self._settings.caller_address,
                self._settings.peer_address,
            )
            try:
                result = await self._appender.submit(body, Priority.MEMBER)
            except (NotAppended, AppendOutcomeUnknown):
                continue
            if not isinstance(result, Success):
                logger.warning("join rejected; retrying: %s", result.failure().reason)
                continue
            self.incarnation = self._peers.incarnation = incarnation
            self.joined.set()
            fields = {"incarnation": incarnation}
            logger.info("joined %s", self._reader.stream, extra={"fields": fields})
            await self._wait_until_ended()

    async def _wait_until_ended(self) -> None:
        while self.joined.is_set() and not self.should_stop:
            await self._clock.sleep(self._settings.options.heartbeat)

    def _check_membership(self) -> None:
        if not self.joined.is_set():
            return
        current = self._reader.folded.members.get(self._settings.member)
        if current is not None and not current.ended and current.incarnation == self.incarnation:
            return
        self.joined.clear()
        if current is not None and current.incarnation > self.incarnation:
            logger.error("a later incarnation of this member has joined; stopping this process")
            self.superseded.set()
        elif not self.stopping:
            logger.warning("membership of this incarnation has ended; joining again")

    @Service.task
    async def _run_heartbeats(self) -> None:
        while not self.should_stop:
            self._sequence += 1
            self._update_reported_offset()
            self._send_heartbeats()
            self._settle_view()
            await self._clock.sleep(self._settings.options.heartbeat)

    def _send_heartbeats(self) -> None:
        """Sends full heartbeats to peers of the data centre, fewer and shorter ones to others."""
        heartbeat = self._build_heartbeat()
        remote_heartbeat = heartbeat._replace(
            loads={"": sum(heartbeat.loads.values())},
            applied={},
            own_applied={GLOBAL_STREAM: heartbeat.own_applied[GLOBAL_STREAM]},
            pools={},
        )
        for member in self._peers.links:
            if self._peers.data_centres.get(member) == self._settings.data_centre:
                self._peers.send(member, heartbeat)
            elif self._sequence % REMOTE_HEARTBEAT_DIVISOR == 0:
                self._peers.send(member, remote_heartbeat)

    def _update_reported_offset(self) -> None:
        """Advances the offset that this process reports as applied.

        A view settles only once all members have reported its offset. The reported offset is held
        back while key grants are not in the log yet, because a view must not settle before they
        are.
        """
        if not self.has_unlogged_grants():
            self._reported_offset = self._reader.folded.next_offset
        if self.is_member():
            self.barrier.report(self.identity, self._reported_offset)

    def _build_heartbeat(self) -> Heartbeat:
        age = self._reader.contact_age()
        readers = (self._reader, self._global_reader)
        own = {reader.stream: reader.folded.next_offset for reader in readers}
        return Heartbeat(
            sequence=self._sequence,
            applied=own | {self._reader.stream: self._reported_offset},
            own_applied=own,
            log_contact_age=-1.0 if age is None else age.total_seconds(),
            loads=self.get_loads(),
            ready=self.may_serve() and not self.stopping,
            stopping=self.stopping,
            joined=self.is_member(),
            version=self._global_reader.folded.configuration.version,
            peer_address=self._settings.peer_address,
            caller_address=self._settings.caller_address,
            pools=self.get_pool_demand() if self._sequence % DEMAND_REPORT_DIVISOR == 0 else {},
        )

    def _handle_heartbeat(self, header: Header, body: Heartbeat) -> None:
        self._last_contact = self._clock.elapsed()
        if header.data_centre != self._settings.data_centre:
            return
        if not body.joined:
            return
        sender = Incarnation(header.member, header.incarnation)
        self.barrier.report(sender, body.applied.get(self._reader.stream, 0))

    def _settle_view(self) -> None:
        """Appends a record that the view has settled: every member has applied the view's record.

        One such record is enough, so the member of rank n waits n seconds before its first attempt,
        in case a member ranked before it succeeds.
        """
        state = self._reader.folded
        if not self.is_member() or state.settled.offset == state.view.offset:
            return
        if not self.barrier.is_complete(state, state.view.offset):
            return
        names = [name for name, _ in state.view.members]
        rank = rank_candidates(str(state.view.offset), names).index(self._settings.member)
        now = self._clock.elapsed()
        if self._settle_attempt is None or self._settle_attempt[0] != state.view.offset:
            self._settle_attempt = (state.view.offset, now + rank * timedelta(seconds=1))
        if now < self._settle_attempt[1]:
            return
        self._settle_attempt = (state.view.offset, now + timedelta(seconds=2))
        try:
            self._appender.submit(records.ViewSettled(state.view.offset), Priority.MEMBER)
        except NotAppended:
            logger.debug("append queue is full; settling view %d later", state.view.offset)

    async def leave(self) -> None:
        """Appends a record that this incarnation has ended; gives up if the log does not answer."""
        if not self.is_member():
            return
        body = records.MemberLeft(self._settings.member, self.incarnation)
        try:
            await self._appender.append(body, Priority.MEMBER)
        except (NotAppended, AppendOutcomeUnknown) as error:
            logger.warning(
                "could not confirm the record that this incarnation has left; stopping: %s", error
            )
