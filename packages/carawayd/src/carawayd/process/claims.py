"""Acquisition and renewal of claims by this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from mode import Service

from carawayd.process.appender import NotAppended, Priority
from carawayshore.claims import ClaimHolder, ClaimSettings

if TYPE_CHECKING:
    from carawayd.process.appender import Appender
    from carawayd.process.membership import Membership
    from carawayd.process.settings import Settings
    from carawayd.process.streams import StreamReader
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)


class ClaimRenewer(Service):
    """Acquires and renews one claim while this process is a member.

    Parameters
    ----------
    name : str
        Name of the claim.
    reader, appender
        Of the stream that carries the claim.
    membership : Membership
    settings : Settings
    clock : Clock
    """

    def __init__(
        self,
        name: str,
        *,
        reader: StreamReader,
        appender: Appender,
        membership: Membership,
        settings: Settings,
        clock: Clock,
    ) -> None:
        super().__init__()
        self.name = name
        self._reader = reader
        self._appender = appender
        self._membership = membership
        self._settings = settings
        self._clock = clock
        self._holder: ClaimHolder | None = None
        self._was_held = False
        reader.add_batch_listener(self._observe)

    @property
    def fence(self) -> int:
        return self._holder.fence if self._holder else -1

    def holds(self) -> bool:
        """Returns whether actions under the claim are currently allowed."""
        return (
            self._holder is not None
            and self._membership.is_member()
            and not self._membership.stopping
            and self._holder.incarnation == self._membership.incarnation
            and self._holder.holds()
        )

    def remaining_seconds(self) -> float:
        return self._holder.remaining().total_seconds() if self._holder else 0.0

    def _observe(self) -> None:
        if self._holder is not None:
            self._holder.observe(self._reader.folded)

    def _get_holder(self) -> ClaimHolder:
        if self._holder is None or self._holder.incarnation != self._membership.incarnation:
            options = self._settings.options
            self._holder = ClaimHolder(
                self.name,
                member=self._settings.member,
                incarnation=self._membership.incarnation,
                clock=self._clock,
                settings=ClaimSettings(
                    options.claim_lifetime, options.claim_margin, options.claim_lifetime / 4
                ),
            )
            self._holder.observe(self._reader.folded)
        return self._holder

    @Service.task
    async def _renew_periodically(self) -> None:
        while not self.should_stop:
            if self._membership.is_member() and not self._membership.stopping:
                self._append_next(self._get_holder())
            self._log_change()
            await self._clock.sleep(self._settings.options.claim_lifetime / 20)

    def _append_next(self, holder: ClaimHolder) -> None:
        body = holder.next_record()
        if body is None:
            return
        try:
            self._appender.submit(body, Priority.CLAIM)
        except NotAppended:
            logger.debug("renewal of claim %s failed: the append queue is full", self.name)

    def _log_change(self) -> None:
        held = self.holds()
        if held != self._was_held:
            self._was_held = held
            verb = "held" if held else "lost"
            fields = {"claim": self.name, "fence": self.fence}
            logger.info("claim %s %s", self.name, verb, extra={"fields": fields})

    def release(self) -> None:
        """Releases the claim, so that another member can take it before it expires."""
        body = self._holder.release() if self._holder else None
        if body is not None:
            try:
                self._appender.submit(body, Priority.CLAIM)
            except NotAppended:
                logger.debug("append queue is full; claim %s expires without release", self.name)
