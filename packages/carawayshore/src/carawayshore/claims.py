"""Lapsing claims with fencing numbers, agreed through the log without comparing clocks.

The holder may act until its own time of sending the last renewal that it has read back, plus the
lifetime less the margin. Another member may take the claim once the same fence and renewal have
stood for a whole lifetime since it read them. The second interval starts after the first one, so
they do not overlap while clock rates differ by less than the margin.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from carawayshore import records
from carawayshore.fold import ACCEPTED, Claim, StreamState, register_handler, reject

if TYPE_CHECKING:
    from carawayshore.clock import Clock


class ClaimSettings(NamedTuple):
    """Times of a claim; ``margin`` covers differing clock rates and must be below ``lifetime``."""

    lifetime: timedelta = timedelta(seconds=6)
    margin: timedelta = timedelta(seconds=1)
    renewal: timedelta = timedelta(seconds=2)


@register_handler(records.ClaimTaken)
def _take(state: StreamState, offset: int, item: records.Record):
    body: records.ClaimTaken = item.body
    current = state.claims.get(body.claim)
    fence, renewal = (current.fence, current.renewal) if current else (-1, 0)
    if (body.previous_fence, body.previous_renewal) != (fence, renewal):
        return reject("the claim was taken or renewed meanwhile")
    state.claims[body.claim] = Claim(body.member, body.incarnation, offset, 0)
    return ACCEPTED


@register_handler(records.ClaimRenewed)
def _renew(state: StreamState, offset: int, item: records.Record):
    body: records.ClaimRenewed = item.body
    current = state.claims.get(body.claim)
    if current is None or current.released or current.fence != body.fence:
        return reject("the claim is held under another fence")
    if body.renewal <= current.renewal:
        return reject("the renewal is not newer")
    state.claims[body.claim] = current._replace(renewal=body.renewal)
    return ACCEPTED


@register_handler(records.ClaimReleased)
def _release(state: StreamState, offset: int, item: records.Record):
    body: records.ClaimReleased = item.body
    current = state.claims.get(body.claim)
    if current is None or current.fence != body.fence:
        return reject("the claim is held under another fence")
    state.claims[body.claim] = current._replace(released=True, renewal=current.renewal + 1)
    return ACCEPTED


class ClaimHolder:
    """One member's view of one claim: what to append next, and whether it may act now.

    Parameters
    ----------
    name : str
        Name of the claim.
    member : str
    incarnation : int
    clock : Clock
        Its monotonic time is all that is used.
    settings : ClaimSettings
    """

    def __init__(
        self, name: str, *, member: str, incarnation: int, clock: Clock, settings: ClaimSettings
    ) -> None:
        self.name = name
        self.member = member
        self.incarnation = incarnation
        self._clock = clock
        self._settings = settings
        self._seen: Claim | None = None
        self._seen_since = clock.elapsed()
        self._valid_until = timedelta.min
        self._sent: dict[int, timedelta] = {}
        self._take_sent: timedelta | None = None
        self._last_append = timedelta.min

    @property
    def fence(self) -> int:
        """Fence of the claim as last read, -1 if nobody took it yet."""
        return self._seen.fence if self._seen else -1

    def _is_mine(self, claim: Claim | None) -> bool:
        return (
            claim is not None
            and not claim.released
            and claim.member == self.member
            and claim.incarnation == self.incarnation
        )

    def observe(self, state: StreamState) -> None:
        """Takes note of the folded claim; call after each batch of records was applied."""
        claim = state.claims.get(self.name)
        if claim == self._seen:
            return
        if self._is_mine(claim):
            sent = self._take_sent if claim.renewal == 0 else self._sent.get(claim.renewal)
            if sent is not None:
                self._valid_until = sent + self._settings.lifetime - self._settings.margin
            self._sent = {n: at for n, at in self._sent.items() if n > claim.renewal}
        else:
            self._valid_until = timedelta.min
        self._take_sent = None
        self._seen = claim
        self._seen_since = self._clock.elapsed()

    def holds(self) -> bool:
        """Returns whether actions under this claim are allowed at this moment."""
        return self._is_mine(self._seen) and self._clock.elapsed() < self._valid_until

    def remaining(self) -> timedelta:
        """Returns how long the claim stays valid without a further renewal."""
        if not self._is_mine(self._seen):
            return timedelta()
        return max(timedelta(), self._valid_until - self._clock.elapsed())

    def next_record(self) -> records.ClaimTaken | records.ClaimRenewed | None:
        """Returns the record to append now, or None if there is nothing to do yet.

        The time of this call counts as the time of sending; append the record at once.
        """
        now = self._clock.elapsed()
        if now - self._last_append < self._settings.renewal and self._last_append > timedelta.min:
            return None
        claim = self._seen
        if self._is_mine(claim):
            return self._renew(claim, now)
        free = claim is None or claim.released
        if not free and now - self._seen_since < self._settings.lifetime:
            return None
        self._last_append = now
        if self._take_sent is None:
            # A repeated attempt has the same precondition, and the first one may be accepted.
            self._take_sent = now
        fence, renewal = (claim.fence, claim.renewal) if claim else (-1, 0)
        return records.ClaimTaken(self.name, self.member, self.incarnation, fence, renewal)

    def _renew(self, claim: Claim, now: timedelta) -> records.ClaimRenewed:
        renewal = max([claim.renewal, *self._sent]) + 1
        self._last_append = now
        self._sent[renewal] = now
        return records.ClaimRenewed(self.name, claim.fence, renewal)

    def release(self) -> records.ClaimReleased | None:
        """Gives the claim up at once and returns the record that tells the others."""
        if not self._is_mine(self._seen):
            return None
        self._valid_until = timedelta.min
        return records.ClaimReleased(self.name, self._seen.fence)
