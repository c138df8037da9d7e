"""Claims: leases with fencing numbers, agreed through the log without comparing clocks.

The holder may act for the lifetime less the margin, counted from when it sent the last renewal that
it has read back from the log. Another member may take the claim when fence and renewal have not
changed for a whole lifetime, counted from when that member read them. The other member starts
counting after the holder did, so the old holder stops acting before a new one starts, if clock
rates differ by less than the margin.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from carawayshore import records
from carawayshore.fold import ACCEPTED, Claim, StreamState, register_handler, reject

if TYPE_CHECKING:
    from carawayshore.clock import Clock


class ClaimSettings(NamedTuple):
    """Times of a claim.

    Parameters
    ----------
    lifetime : timedelta
        Time without a renewal after which another member may take the claim.
    margin : timedelta
        How long before the end of ``lifetime`` the holder stops acting, to allow for different
        clock rates. Must be less than ``lifetime``.
    renewal : timedelta
        Minimum interval between two records of this member.
    """

    lifetime: timedelta = timedelta(seconds=6)
    margin: timedelta = timedelta(seconds=1)
    renewal: timedelta = timedelta(seconds=2)


@register_handler(records.ClaimTaken)
def _take(state: StreamState, offset: int, item: records.Record):
    body: records.ClaimTaken = item.body
    current = state.claims.get(body.claim)
    fence, renewal = (current.fence, current.renewal) if current else (-1, 0)
    if (body.previous_fence, body.previous_renewal) != (fence, renewal):
        return reject("the claim was taken or renewed since the member read it")
    state.claims[body.claim] = Claim(body.member, body.incarnation, offset, 0)
    return ACCEPTED


@register_handler(records.ClaimRenewed)
def _renew(state: StreamState, offset: int, item: records.Record):
    body: records.ClaimRenewed = item.body
    current = state.claims.get(body.claim)
    if current is None or current.released or current.fence != body.fence:
        return reject(f"the claim is not held under fence {body.fence}")
    if body.renewal <= current.renewal:
        return reject(f"renewal {body.renewal} is not above {current.renewal}")
    state.claims[body.claim] = current._replace(renewal=body.renewal)
    return ACCEPTED


@register_handler(records.ClaimReleased)
def _release(state: StreamState, offset: int, item: records.Record):
    body: records.ClaimReleased = item.body
    current = state.claims.get(body.claim)
    if current is None or current.fence != body.fence:
        return reject(f"the claim is not held under fence {body.fence}")
    state.claims[body.claim] = current._replace(released=True, renewal=current.renewal + 1)
    return ACCEPTED


class ClaimHolder:
    """One member's view of one claim: the next record to append, and whether the claim is valid.

    Parameters
    ----------
    name : str
        Name of the claim.
    member : str
    incarnation : int
    clock : Clock
        Only its monotonic time is used.
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
        self._last_claim: Claim | None = None
        self._unchanged_since = clock.elapsed()
        self._valid_until = timedelta.min
        self._renewals_sent_at: dict[int, timedelta] = {}
        self._take_sent_at: timedelta | None = None
        self._last_append = timedelta.min

    @property
    def fence(self) -> int:
        """Fence of the claim as last read, -1 if the claim has never been taken."""
        return self._last_claim.fence if self._last_claim else -1

    def _is_mine(self, claim: Claim | None) -> bool:
        return (
            claim is not None
            and not claim.released
            and claim.member == self.member
            and claim.incarnation == self.incarnation
        )

    def observe(self, state: StreamState) -> None:
        """Updates the view from the folded claim; call after each applied batch of records."""
        claim = state.claims.get(self.name)
        if claim == self._last_claim:
            return
        if self._is_mine(claim):
            sent_at = (
                self._take_sent_at
                if claim.renewal == 0
                else self._renewals_sent_at.get(claim.renewal)
            )
            if sent_at is not None:
                self._valid_until = sent_at + self._settings.lifetime - self._settings.margin
            self._renewals_sent_at = {
                renewal: sent
                for renewal, sent in self._renewals_sent_at.items()
                if renewal > claim.renewal
            }
        else:
            self._valid_until = timedelta.min
        self._take_sent_at = None
        self._last_claim = claim
        self._unchanged_since = self._clock.elapsed()

    def holds(self) -> bool:
        """Returns whether actions under this claim are allowed now."""
        return self._is_mine(self._last_claim) and self._clock.elapsed() < self._valid_until

    def remaining(self) -> timedelta:
        """Returns how long the claim stays valid without a further renewal."""
        if not self._is_mine(self._last_claim):
            return timedelta()
        return max(timedelta(), self._valid_until - self._clock.elapsed())

    def next_record(self) -> records.ClaimTaken | records.ClaimRenewed | None:
        """Returns the record to append now, or None if none is due.

        The time of this call counts as the time of sending, so append the record at once.
        """
        now = self._clock.elapsed()
        if now - self._last_append < self._settings.renewal and self._last_append > timedelta.min:
            return None
        claim = self._last_claim
        if self._is_mine(claim):
            return self._renew(claim, now)
        available = claim is None or claim.released
        if not available and now - self._unchanged_since < self._settings.lifetime:
            return None
        self._last_append = now
        if self._take_sent_at is None:
            # A retry has the same precondition as the first attempt, which may still be the one
            # that is accepted, so the earlier time is kept.
            self._take_sent_at = now
        fence, renewal = (claim.fence, claim.renewal) if claim else (-1, 0)
        return records.ClaimTaken(self.name, self.member, self.incarnation, fence, renewal)

    def _renew(self, claim: Claim, now: timedelta) -> records.ClaimRenewed:
        renewal = max([claim.renewal, *self._renewals_sent_at]) + 1
        self._last_append = now
        self._renewals_sent_at[renewal] = now
        return records.ClaimRenewed(self.name, claim.fence, renewal)

    def release(self) -> records.ClaimReleased | None:
        """Stops holding the claim and returns the record that releases it for other members."""
        if not self._is_mine(self._last_claim):
            return None
        self._valid_until = timedelta.min
        return records.ClaimReleased(self.name, self._last_claim.fence)
