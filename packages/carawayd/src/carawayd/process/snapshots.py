"""Writing of snapshots, so that newcomers recover after retention has removed old records."""

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

INTERVAL = timedelta(milliseconds=250)
# The next member in order of preference writes if the snapshot is missing after this time.
TURN = timedelta(seconds=3)


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
        self.written = 0
        self._reader = reader
        self._appender = appender
        self._membership = membership
        self._settings = settings
        self._clock = clock
        self._due: tuple[int, timedelta] | None = None

    @Service.task
    async def _write(self) -> None:
        while not self.should_stop:
            due = self._reader.snapshot_due
            if due is not None and self._membership.is_member():
                self._consider(*due)
            await self._clock.sleep(INTERVAL)

    def _consider(self, through: int, data: bytes) -> None:
        now = self._clock.elapsed()
        if self._due is None or self._due[0] != through:
            self._due = (through, now + self._find_rank(through) * TURN)
        if now < self._due[1]:
            return
        self._due = (through, now + 10 * TURN)
        for part in split_snapshot(through, data):
            try:
                self._appender.submit(part, Priority.SNAPSHOT)
            except NotAppended:
                return
        self.written += 1
        fields = {"stream": self._reader.stream, "offset": through, "bytes": len(data)}
        logger.info("snapshot written", extra={"fields": fields})

    def _find_rank(self, through: int) -> int:
        """Returns the position of this member; the stream ``global`` is shared by all of them."""
        names = {peer.member for peer in self._settings.peers} | {self._settings.member}
        members = {who.member for who in list_members(self._reader.folded)}
        ranked = rank_candidates(str(through), members or names)
        return ranked.index(self._settings.member) if self._settings.member in ranked else 0
