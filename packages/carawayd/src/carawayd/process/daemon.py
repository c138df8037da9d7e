"""Entry host daemon: builds the components of the process, starts and stops them."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import web
from mode import Service

import carawayd.request.jobs  # noqa: F401  Registers its endpoints.
from carawayd.connection.applications import serve_application
from carawayd.connection.callers import CallerServer, CallerSettings
from carawayd.connection.target import Connections
from carawayd.platform.api import Platform, open_platform
from carawayd.process.appender import Appender, AppendRateLimiter
from carawayd.process.claims import ClaimRenewer
from carawayd.process.demand import DemandTracker
from carawayd.process.endpoints import CallerEndpoints
from carawayd.process.fleet import FleetController
from carawayd.process.inventory import Inventory
from carawayd.process.jobindex import JobIndex
from carawayd.process.jobs import JobController
from carawayd.process.keys import KeyOwner
from carawayd.process.lending import LendingController
from carawayd.process.maintenance import MaintenanceController
from carawayd.process.membership import GLOBAL_STREAM, Membership
from carawayd.process.metrics import Metrics
from carawayd.process.observations import Observations
from carawayd.process.operators import MAX_BODY_BYTES as MAX_OPERATOR_BODY_BYTES
from carawayd.process.operators import OperatorEndpoints
from carawayd.process.peers import Peers
from carawayd.process.reports import ReportWatch
from carawayd.process.slots import Slots
from carawayd.process.snapshots import SnapshotWriter
from carawayd.process.streams import StreamReader
from carawayd.process.sync import StateSync
from carawayd.process.waves import WaveExecutor
from carawayd.request.answers import ResponseCache
from carawayd.request.attempt import AttemptRunner
from carawayd.request.forward import ForwardedRequests, Forwarder
from carawayd.request.handler import RequestHandler
from carawayd.request.keyed import KeyedRequests
from carawayd.version.configuration import Versions
from carawayd.version.dispatcher import Dispatcher
from carawayshore.assignment import FLEET_CLAIM
from carawayshore.jobs import JOBS_CLAIM
from carawayshore.waves import MAINTENANCE_CLAIM
from carawayshore.workflows.model import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.process.settings import Settings
    from carawayshore.clock import Clock
    from carawayshore.queueing import QueueSettings

logger = logging.getLogger(__name__)

IDLE_POLL_INTERVAL = timedelta(milliseconds=50)
DEFAULT_LIMITS = CallerLimits()
# Largest request body that is received completely before the request is handled. A larger one is
# streamed, and takes a slot of a target meanwhile.
COLLECTED_BYTES = DEFAULT_LIMITS.max_body_bytes


@dataclass
class Components:
    """All components of one process, for the endpoints and the state dump."""

    settings: Settings
    clock: Clock
    rng: random.Random
    metrics: Metrics
    platform: Platform
    global_reader: StreamReader
    reader: StreamReader
    global_appender: Appender
    appender: Appender
    peers: Peers
    membership: Membership
    sync: StateSync
    inventory: Inventory
    observations: Observations
    slots: Slots
    versions: Versions
    connections: Connections
    keys: KeyOwner
    response_cache: ResponseCache
    inbound: ForwardedRequests
    handler: RequestHandler
    keyed: KeyedRequests
    job_index: JobIndex
    jobs: JobController
    maintenance: MaintenanceController
    waves: WaveExecutor
    lending: LendingController
    claims: list[ClaimRenewer]
    controllers: list[Service]

    def list_services(self) -> list[Service]:
        """Returns the services in the order in which they start."""
        return [
            self.peers,
            self.global_reader,
            self.reader,
            self.global_appender,
            self.appender,
            self.sync,
            self.inventory,
            self.membership,
            self.slots,
            self.connections,
            self.keys,
            self.keyed,
            *self.claims,
            *self.controllers,
        ]

    def find_unready_reason(self) -> str:
        """Returns the reason why this host is not ready for callers, an empty string if it is."""
        if self.membership.stopping:
            return "stopping"
        if self.versions.current is None:
            return "no configuration is known"
        if self.sync.is_behind():
            return "a peer has applied later records"
        if not self.membership.may_serve() and not any(
            peer.heartbeat.ready for peer in self.peers.list_live()
        ):
            return "not joined, and no joined peer can be reached"
        if self.membership.is_member() and not self.slots.has_received_slot():
            return "no slot of a target may be used yet"
        return ""


def build_components(
    settings: Settings,
    clock: Clock,
    *,
    platform: Platform | None = None,
    peers: Peers | None = None,
    metrics: Metrics | None = None,
) -> Components:
    """Builds the components of a process without starting them.

    Parameters
    ----------
    settings : Settings
    clock : Clock
    platform, peers, metrics
        Replace the components that are otherwise built from the settings.
    """
    seed = settings.options.seed or secrets.randbits(32)
    rng = random.Random(seed)
    logger.info("random generator seeded", extra={"fields": {"seed": seed}})
    metrics = metrics or Metrics()
    platform = platform or open_platform(settings)
    common = {"settings": settings, "clock": clock}
    counted = common | {"metrics": metrics}
    logged = counted | {"log": platform.log, "rng": rng}
    global_reader = StreamReader(GLOBAL_STREAM, **logged)
    reader = StreamReader(settings.stream, **logged)
    members = len({settings.member, *(peer.member for peer in settings.peers)})
    rate = AppendRateLimiter(clock, settings.options.log_appends_per_second / members)
    global_appender = Appender(global_reader, rate=rate, **logged)
    appender = Appender(reader, rate=rate, **logged)
    peers = peers or Peers(**counted)
    membership = Membership(
        reader,
        appender,
        global_reader=global_reader,
        global_appender=global_appender,
        peers=peers,
        rng=rng,
        **common,
    )
    sync = StateSync([global_reader, reader], peers=peers, **counted)
    inventory = Inventory(platform.hostlist, **common)
    observations = Observations(clock)
    slots = Slots(reader, membership=membership, inventory=inventory, peers=peers, **common)

    def build_dispatcher(pool: str, queue_settings: QueueSettings) -> Dispatcher:
        return Dispatcher(
            pool,
            queue_settings,
            slots=slots,
            observations=observations,
            clock=clock,
            rng=rng,
            metrics=metrics,
        )

    versions = Versions(
        global_reader, build_dispatcher=build_dispatcher, clock=clock, metrics=metrics
    )
    _connect_slots(slots, versions)
    connections = Connections(platform.worker, **counted)
    keys = KeyOwner(
        reader, appender, membership=membership, peers=peers, versions=versions, **counted
    )
    attempts = AttemptRunner(connections, slots=slots, **common)
    forwarder = Forwarder(attempts, peers=peers, rng=rng, **common)
    handler = RequestHandler(
        membership=membership,
        versions=versions,
        observations=observations,
        attempts=attempts,
        forwarder=forwarder,
        rng=rng,
        **counted,
    )
    response_cache = ResponseCache(clock)
    keyed = KeyedRequests(
        handler, keys=keys, cache=response_cache, peers=peers, reader=reader, **common
    )
    handler.keyed = keyed
    fleet_claim = ClaimRenewer(
        FLEET_CLAIM, reader=reader, appender=appender, membership=membership, **common
    )
    fleet = FleetController(
        fleet_claim,
        reader,
        appender,
        membership=membership,
        peers=peers,
        inventory=inventory,
        pools=platform.pools,
        **counted,
    )
    watch = ReportWatch(global_reader, **common)
    waves = WaveExecutor(
        fleet_claim,
        reader,
        appender,
        global_reader=global_reader,
        global_appender=global_appender,
        inventory=inventory,
        observations=observations,
        versions=versions,
        watch=watch,
        pools=platform.pools,
        worker=platform.worker,
        **common,
    )
    fleet.may_continue_drain = waves.may_continue_drain
    demand = DemandTracker(
        membership=membership,
        peers=peers,
        versions=versions,
        observations=observations,
        **counted,
    )
    lending = LendingController(
        fleet_claim,
        reader,
        appender,
        demand=demand,
        membership=membership,
        waves=waves,
        slots=slots,
        inventory=inventory,
        versions=versions,
        **counted,
    )
    maintenance_claim = ClaimRenewer(
        MAINTENANCE_CLAIM,
        reader=global_reader,
        appender=global_appender,
        membership=membership,
        **common,
    )
    maintenance = MaintenanceController(
        maintenance_claim,
        global_reader,
        global_appender,
        versions=versions,
        watch=watch,
        **counted,
    )
    job_claim = ClaimRenewer(
        JOBS_CLAIM, reader=reader, appender=appender, membership=membership, **common
    )
    job_index = JobIndex(reader)
    jobs = JobController(
        job_claim,
        reader,
        appender,
        index=job_index,
        membership=membership,
        peers=peers,
        versions=versions,
        inventory=inventory,
        worker=platform.worker,
        **counted,
    )
    writers = [
        SnapshotWriter(stream_reader, stream_appender, membership=membership, **common)
        for stream_reader, stream_appender in ((global_reader, global_appender), (reader, appender))
    ]
    return Components(
        settings=settings,
        clock=clock,
        rng=rng,
        metrics=metrics,
        platform=platform,
        global_reader=global_reader,
        reader=reader,
        global_appender=global_appender,
        appender=appender,
        peers=peers,
        membership=membership,
        sync=sync,
        inventory=inventory,
        observations=observations,
        slots=slots,
        versions=versions,
        connections=connections,
        keys=keys,
        response_cache=response_cache,
        inbound=ForwardedRequests(clock),
        handler=handler,
        keyed=keyed,
        job_index=job_index,
        jobs=jobs,
        maintenance=maintenance,
        waves=waves,
        lending=lending,
        claims=[fleet_claim, job_claim, maintenance_claim],
        controllers=[fleet, jobs, maintenance, waves, demand, lending, *writers],
    )


def _connect_slots(slots: Slots, versions: Versions) -> None:
    """Connects the demand of the queues to the slots, and acquired slots to the queues."""

    def count_demand() -> dict[str, int]:
        demand: dict[str, int] = {}
        for dispatcher in versions.list_dispatchers():
            for target, count in dispatcher.count_demand().items():
                demand[target] = demand.get(target, 0) + count
        return demand

    def assign() -> None:
        for dispatcher in versions.list_dispatchers():
            dispatcher.assign_slots()

    slots.count_demand = count_demand
    slots.on_change = assign


class Daemon(Service):
    """One entry host.

    Parameters
    ----------
    components : Components
    """

    def __init__(self, components: Components) -> None:
        super().__init__()
        self.components = components
        self.callers: CallerServer | None = None
        self._runners: list[web.BaseRunner] = []

    async def on_start(self) -> None:
        components = self.components
        endpoints = CallerEndpoints(components)
        options = components.settings.options
        self.callers = self._build_server(
            endpoints.handle, max_body_bytes=options.max_request_bytes, handler_cancellation=True
        )
        self._runners.append(await self.callers.listen(components.settings.caller_address))
        self._runners += await serve_application(
            OperatorEndpoints(components).build_application(),
            components.settings.operator_address,
            partial(self._build_server, max_body_bytes=MAX_OPERATOR_BODY_BYTES),
        )
        for service in components.list_services():
            await self.add_runtime_dependency(service)

    def _build_server(
        self, handle: Callable, *, max_body_bytes: int, **options: Any
    ) -> CallerServer:
        """Returns a server, with one account of connections for all servers of the process."""
        components = self.components
        settings = components.settings.options
        limits = DEFAULT_LIMITS._replace(max_body_bytes=max_body_bytes)
        return CallerServer(
            handle,
            CallerSettings(settings.memory_mb, settings.max_descriptors, COLLECTED_BYTES),
            lambda: limits,
            components.clock,
            components.metrics.caller_refusals,
            intake=self.callers.intake if self.callers is not None else None,
            **options,
        )

    async def stop_gracefully(self) -> None:
        """Reports unready, completes requests in progress, leaves the membership, and stops."""
        components, options = self.components, self.components.settings.options
        logger.info("starting planned stop")
        for claim in components.claims:
            claim.release()
        components.membership.stopping = True
        # The balancer sends callers for a while longer; their requests are still served.
        await components.clock.sleep(options.balancer_delay)
        components.membership.refuses_requests = True
        deadline = components.clock.elapsed() + options.stop_limit
        while self._is_busy() and components.clock.elapsed() < deadline:
            await components.clock.sleep(IDLE_POLL_INTERVAL)
        components.slots.return_loans()
        await components.membership.leave()
        logger.info("planned stop finished", extra={"fields": {"busy": self._is_busy()}})
        await self.stop()

    def _is_busy(self) -> bool:
        components = self.components
        return bool(
            components.handler.in_progress
            or self.callers.unfinished_count
            or components.connections.exchange_count
            or components.keys.unlogged_count
        )

    async def on_shutdown(self) -> None:
        for runner in self._runners:
            await runner.cleanup()
        await self.components.platform.close()

    @Service.task
    async def _stop_when_superseded(self) -> None:
        await self.components.membership.superseded.wait()
        asyncio.ensure_future(self.stop())
