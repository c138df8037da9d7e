"""Demand on the pools of the data centre: told to the peers, and summed over all entry hosts."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from mode import Service

from carawayd.process.messages import Header, Heartbeat
from carawayshore.lending import Demand

if TYPE_CHECKING:
    from carawayd.process.membership import Membership
    from carawayd.process.metrics import Metrics
    from carawayd.process.observations import Observations
    from carawayd.process.peers import Peers
    from carawayd.process.settings import Settings
    from carawayd.version.configuration import Versions
    from carawayshore.clock import Clock

MEASURE_INTERVAL = timedelta(seconds=0.25)
# Pools told in one heartbeat; those of a deployment today fit, more are told in turn.
POOLS_PER_HEARTBEAT = 8
# 54 pools that are all in use are told within 13 reports of one a second, since half of each
# report goes to the pools in which most requests wait.
DEMAND_LIFETIME = timedelta(seconds=15)


class _Told(NamedTuple):
    """What a peer told last about a pool."""

    counts: tuple[int, int, int]
    at: timedelta


class DemandWatch(Service):
    """Measures the own queues and follows what the peers tell about theirs.

    Parameters
    ----------
    membership : Membership
    peers : Peers
    versions : Versions
    observations : Observations
    settings : Settings
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        *,
        membership: Membership,
        peers: Peers,
        versions: Versions,
        observations: Observations,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._versions = versions
        self._observations = observations
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._told: dict[str, dict[str, _Told]] = {}
        self._refused: dict[tuple[str, int, str], int] = {}
        self._rotation = 0
        membership.pool_demand = self._choose_pools
        peers.handle(Heartbeat, self._note)

    def _measure(self) -> dict[str, tuple[int, int, int]]:
        """Returns waiting, running and refused requests of the pools that have any."""
        found: dict[str, tuple[int, int, int]] = {}
        for dispatcher in self._versions.list_dispatchers():
            waiting, running, _ = found.get(dispatcher.pool, (0, 0, 0))
            found[dispatcher.pool] = (
                waiting + dispatcher.waiting_count,
                running + dispatcher.running_count,
                self._observations.refusals[dispatcher.pool],
            )
        return {pool: counts for pool, counts in found.items() if any(counts)}

    def _choose_pools(self) -> dict[str, tuple[int, int, int]]:
        """Returns the pools in which most wait, and some of the others in turn."""
        demand = self._measure()
        names = sorted(demand, key=lambda pool: -demand[pool][0])
        if len(names) > POOLS_PER_HEARTBEAT:
            half = POOLS_PER_HEARTBEAT // 2
            others = sorted(names[half:])
            self._rotation = (self._rotation + half) % len(others)
            names = names[:half] + (others[self._rotation :] + others)[:half]
        return {name: demand[name] for name in names}

    def _note(self, header: Header, body: Heartbeat) -> None:
        if header.data_centre != self._settings.data_centre or not body.pools:
            return
        now = self._clock.elapsed()
        known = self._told.get(header.member, {})
        if len(body.pools) < POOLS_PER_HEARTBEAT:
            # The peer told all of its pools, so the others have no demand.
            known = {}
        told = {name: _Told(tuple(counts), now) for name, counts in body.pools.items()}
        self._told[header.member] = known | told

    def collect(self) -> dict[str, Demand]:
        """Returns the demand on each pool, with the refusals since the last call."""
        own = self._settings.member
        sources = [(own, self._peers.incarnation, self._measure())]
        oldest = self._clock.elapsed() - DEMAND_LIFETIME
        for peer in self._peers.list_live(data_centre=self._settings.data_centre):
            told = self._told.get(peer.header.member, {})
            recent = {name: item.counts for name, item in told.items() if item.at >= oldest}
            sources.append((peer.header.member, peer.header.incarnation, recent))
        found: dict[str, Demand] = {}
        totals: dict[tuple[str, int, str], int] = {}
        for member, incarnation, pools in sources:
            for pool, (waiting, running, refused) in pools.items():
                key = (member, incarnation, pool)
                totals[key] = refused
                new = max(0, refused - self._refused.get(key, refused))
                known = found.get(pool, Demand())
                found[pool] = Demand(
                    known.waiting + waiting, known.running + running, known.refused + new
                )
        self._refused = totals
        return found

    @Service.task
    async def _count_blocking(self) -> None:
        seconds = MEASURE_INTERVAL.total_seconds()
        while not self.should_stop:
            for dispatcher in self._versions.list_dispatchers():
                blocked = dispatcher.blocked_count
                if blocked:
                    self._metrics.short_blocked.labels(dispatcher.pool).inc(blocked * seconds)
            await self._clock.sleep(MEASURE_INTERVAL)
