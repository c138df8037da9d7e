"""Demand on the pools of a data centre, exchanged with peers and summed over entry hosts."""

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
# Present deployments fit in one heartbeat; with more pools, some are reported in rotation.
MAX_POOLS_PER_HEARTBEAT = 8
# Half of each report is reserved for the 4 pools with the most waiting requests, and the other half
# rotates. At one report per second, 54 pools in use take 13 s, which the lifetime has to exceed.
DEMAND_LIFETIME = timedelta(seconds=15)


class _PeerDemand(NamedTuple):
    """Last report of a peer about a pool.

    Parameters
    ----------
    counts : tuple of int
        Waiting, running and refused requests; refused ones are counted since the peer started.
    at : timedelta
        Monotonic time at which the report arrived.
    """

    counts: tuple[int, int, int]
    at: timedelta


class DemandTracker(Service):
    """Measures the local queues and tracks the demand that peers report.

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
        self._peer_demand: dict[str, dict[str, _PeerDemand]] = {}
        self._previous_refusals: dict[tuple[str, int, str], int] = {}
        self._rotation = 0
        membership.get_pool_demand = self._choose_demand_to_report
        peers.add_handler(Heartbeat, self._apply_heartbeat)

    def _count_requests(self) -> dict[str, tuple[int, int, int]]:
        """Returns the number of waiting, running and refused requests of each pool with any."""
        found: dict[str, tuple[int, int, int]] = {}
        for dispatcher in self._versions.list_dispatchers():
            waiting, running, _ = found.get(dispatcher.pool, (0, 0, 0))
            found[dispatcher.pool] = (
                waiting + dispatcher.waiting_count,
                running + dispatcher.running_count,
                self._observations.refusals[dispatcher.pool],
            )
        return {pool: counts for pool, counts in found.items() if any(counts)}

    def _choose_demand_to_report(self) -> dict[str, tuple[int, int, int]]:
        """Returns the pools with the most waiting requests, and the others in rotation."""
        demand = self._count_requests()
        names = sorted(demand, key=lambda pool: -demand[pool][0])
        if len(names) > MAX_POOLS_PER_HEARTBEAT:
            half = MAX_POOLS_PER_HEARTBEAT // 2
            others = sorted(names[half:])
            self._rotation = (self._rotation + half) % len(others)
            names = names[:half] + (others[self._rotation :] + others)[:half]
        return {name: demand[name] for name in names}

    def _apply_heartbeat(self, header: Header, body: Heartbeat) -> None:
        if header.data_centre != self._settings.data_centre or not body.pools:
            return
        now = self._clock.elapsed()
        known = self._peer_demand.get(header.member, {})
        if len(body.pools) < MAX_POOLS_PER_HEARTBEAT:
            # The report covers all pools of the peer, so the others have no demand.
            known = {}
        reported = {name: _PeerDemand(tuple(counts), now) for name, counts in body.pools.items()}
        self._peer_demand[header.member] = known | reported

    def collect(self) -> dict[str, Demand]:
        """Returns the demand on each pool, with refusals counted since the previous call."""
        own = self._settings.member
        sources = [(own, self._peers.incarnation, self._count_requests())]
        oldest = self._clock.elapsed() - DEMAND_LIFETIME
        for peer in self._peers.list_live(data_centre=self._settings.data_centre):
            reported = self._peer_demand.get(peer.header.member, {})
            recent = {name: item.counts for name, item in reported.items() if item.at >= oldest}
            sources.append((peer.header.member, peer.header.incarnation, recent))
        found: dict[str, Demand] = {}
        totals: dict[tuple[str, int, str], int] = {}
        for member, incarnation, pools in sources:
            for pool, (waiting, running, refused) in pools.items():
                key = (member, incarnation, pool)
                totals[key] = refused
                new = max(0, refused - self._previous_refusals.get(key, refused))
                known = found.get(pool, Demand())
                found[pool] = Demand(
                    known.waiting + waiting, known.running + running, known.refused + new
                )
        self._previous_refusals = totals
        return found

    @Service.task
    async def _count_blocked_seconds(self) -> None:
        seconds = MEASURE_INTERVAL.total_seconds()
        while not self.should_stop:
            for dispatcher in self._versions.list_dispatchers():
                blocked = dispatcher.blocked_count
                if blocked:
                    self._metrics.short_blocked.labels(dispatcher.pool).inc(blocked * seconds)
            await self._clock.sleep(MEASURE_INTERVAL)
