"""Writing of snapshots, from which processes recover after retention removed old records."""

from __future__ import annotations

import logging
from datetime import timedelta
from typing import TYPE_CHECKING

from mode import Service

from carawayd.process.appender import NotAppended, Priority
from carawayd.process.recovery import split_snapshot
from carawayshore.hashing import rank_candidates
from carawayshore.membership import list_members

if TYPE_CHECKING:
    from carawayd.process.appender import Appender
    from carawayd.process.membership import Membership
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

CHECK_INTERVAL = timedelta(milliseconds=250)
# The member of the next rank writes if the snapshot is still missing after this time.
TAKEOVER_DELAY = timedelta(seconds=3)


class SnapshotWriter(Service):
    """Appends the state at each multiple of the snapshot interval, unless another member did.

    Parameters
    ----------
    reader : StreamReader
    appender : Appender
    membership : Membership
    settings : Settings
    clock : Clock
    """

    def __init__(
        self,
        reader: StreamReader,
        appender: Appender,
        *,
        membership: Membership,
        settings: Settings,
        clock: Clock,
    ) -> None:
        super().__init__()
        self.written_count = 0
        self._reader = reader
        self._appender = appender
        self._membership = membership
        self._settings = settings
        self._clock = clock
        self._next_attempt: tuple[int, timedelta] | None = None

    @Service.task
    async def _write(self) -> None:
        while not self.should_stop:
            due = self._reader.snapshot_due
            if due is not None and self._membership.is_member():
                self._write_if_due(*due)
            await self._clock.sleep(CHECK_INTERVAL)

    def _write_if_due(self, through: int, data: bytes) -> None:
        now = self._clock.elapsed()
        if self._next_attempt is None or self._next_attempt[0] != through:
            self._next_attempt = (through, now + self._find_rank(through) * TAKEOVER_DELAY)
        if now < self._next_attempt[1]:
            return
        self._next_attempt = (through, now + 10 * TAKEOVER_DELAY)
        for part in split_snapshot(through, data):
            try:
                self._appender.submit(part, Priority.SNAPSHOT)
            except NotAppended:
                return
        self.written_count += 1
        fields = {"stream": self._reader.stream, "offset": through, "bytes": len(data)}
        logger.info("snapshot submitted to the log", extra={"fields": fields})

    def _find_rank(self, through: int) -> int:
        """Returns the rank of this member among those that write snapshots of the stream.

        These are the members in the folded state, or all configured ones if it has none, as in the
        stream ``global``.
        """
        names = {peer.member for peer in self._settings.peers} | {self._settings.member}
        members = {identity.member for identity in list_members(self._reader.folded)}
        ranked = rank_candidates(str(through), members or names)
        return ranked.index(self._settings.member) if self._settings.member in ranked else 0
