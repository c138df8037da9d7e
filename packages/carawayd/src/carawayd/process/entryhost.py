"""One entry host on the platform: its components, listeners, and planned stop."""

from __future__ import annotations

import logging
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

from aiohttp import web
from mode import Service

from carawayd.connection.applications import serve_application
from carawayd.connection.callers import CallerServer, CallerSettings
from carawayd.platform.api import build_client
from carawayd.process.configrelay import ConfigurationRelay
from carawayd.process.discovery import Discovery
from carawayd.process.exchange import PeerRpc
from carawayd.process.fleetmanager import FleetManager
from carawayd.process.logs import count_dropped_lines
from carawayd.process.ownercalls import OwnerCalls
from carawayd.process.ownership import Ownership
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayd.request.workflows import WorkflowHandler
from carawayd.supervision import unexpected_errors
from carawayd.unreadable import unreadable_records
from carawayshore.workflows.model import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayd.process.site import SiteSettings
    from carawayshore.clock import Clock

logger = logging.getLogger(__name__)

READY_PATH = "/api/ready"
METRICS_PATH = "/metrics"
# The balancer checks readiness once a second and removes a host after two failures.
BALANCER_DELAY = timedelta(seconds=2.5)
# Without a store response for this long, an entry host reports itself unready, since it can neither
# own partitions nor find their owners. Longer than two long polls of the configuration.
MAX_CONTACT_AGE = timedelta(seconds=2)
# Part of the time between SIGTERM and SIGKILL that is kept for shutdown.
STOP_MARGIN_SECONDS = 1.0
IDLE_POLL_INTERVAL = timedelta(milliseconds=50)
# Limits of callers as long as no configuration is known.
DEFAULT_LIMITS = CallerLimits()


class EntryHost(Service):
    """Serves callers and owns partitions of the workflows.

    Parameters
    ----------
    settings : SiteSettings
    clock : Clock
    """

    def __init__(self, settings: SiteSettings, clock: Clock) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.random = Random(settings.seed or None)
        self.metrics = WorkflowMetrics()
        self.store = build_client("store", f"http://{settings.store}", settings)
        self.runs = build_client("runs", "", settings)
        self.discovery = Discovery(self.store, settings, clock)
        self.peer_rpc = PeerRpc(settings, clock)
        self.ownership = Ownership(
            self.store, self.runs, self.discovery, settings, clock, self.random, self.metrics
        )
        self.owner_calls = OwnerCalls(self.ownership, self.peer_rpc, clock)
        self.configuration_relay = ConfigurationRelay(
            self.discovery, self.ownership, self.peer_rpc, settings, clock
        )
        self.calls = WorkflowHandler(
            self.discovery, self.owner_calls, self.metrics, self._may_keep_connections
        )
        self.machines = None
        if settings.advice:
            self.ownership.advice = build_client("advice", f"http://{settings.advice}", settings)
        if settings.machines:
            self.machines = build_client("machines", f"http://{settings.machines}", settings)
            self.ownership.fleet = FleetManager(
                self.store,
                self.machines,
                self.discovery,
                self.ownership,
                self.owner_calls,
                settings,
                clock,
                self.metrics,
            )
        self.callers: CallerServer | None = None
        self._runners: list[web.BaseRunner] = []
        self._stopping = False
        # Set once the balancer no longer sends new callers to this host.
        self._closing_connections = False

    async def on_start(self) -> None:
        settings = self.settings
        logger.info(
            "starting entry host",
            extra={"fields": {"data_centre": settings.data_centre, "peer": settings.peer_address}},
        )
        self.callers = self._build_server(self.calls.handle)
        self._runners.append(await self.callers.listen(settings.caller_address))
        metrics_address = f"{settings.peer_host}:{settings.metrics_port}"
        await self._serve_get(READY_PATH, self._get_ready, settings.ready_address)
        await self._serve_get(METRICS_PATH, self._get_metrics, metrics_address)
        services = (self.peer_rpc, self.discovery, self.ownership, self.configuration_relay)
        for service in services:
            await self.add_runtime_dependency(service)
        if self.ownership.fleet is not None:
            await self.add_runtime_dependency(self.ownership.fleet)

    def _build_server(self, handle: Callable, **options: Any) -> CallerServer:
        """Returns a server, with one account of connections for all servers of the process."""
        settings = self.settings
        return CallerServer(
            handle,
            CallerSettings(settings.memory_mb, settings.max_descriptors, 0),
            self._read_limits,
            self.clock,
            self.metrics.caller_refusals,
            intake=self.callers.intake if self.callers is not None else None,
            **options,
        )

    async def _serve_get(self, path: str, handle: Callable, address: str) -> None:
        application = web.Application()
        application.router.add_get(path, handle)
        self._runners += await serve_application(application, address, self._build_server)

    async def _get_metrics(self, request: web.Request) -> web.Response:
        deployment = self.discovery.deployment
        self.metrics.version.set(deployment.version if deployment else 0)
        self.metrics.log_lines_dropped.set(count_dropped_lines())
        self.metrics.unexpected_errors.set(unexpected_errors.count)
        for topic, count in unreadable_records.counts.items():
            self.metrics.unreadable_records.labels(topic).set(count)
        return web.Response(body=self.metrics.format_text(), content_type="text/plain")

    async def _get_ready(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    def _read_limits(self) -> CallerLimits:
        deployment = self.discovery.deployment
        return deployment.limits if deployment is not None else DEFAULT_LIMITS

    def _is_ready(self) -> bool:
        return (
            self.discovery.deployment is not None
            and not self._stopping
            and self.discovery.has_contact(MAX_CONTACT_AGE)
        )

    def _may_keep_connections(self) -> bool:
        """Whether callers may keep their connections to this entry host open."""
        return not self._closing_connections and self.discovery.has_contact(MAX_CONTACT_AGE)

    async def stop_gracefully(self) -> None:
        """Reports unready, hands partitions over, finishes requests, and stops."""
        logger.info("starting planned stop")
        self._stopping = True
        started_at = self.clock.elapsed()
        await self.ownership.leave()
        await self.clock.sleep(BALANCER_DELAY)
        self._closing_connections = True
        limit = timedelta(seconds=self.settings.grace_seconds - STOP_MARGIN_SECONDS)
        while self._is_busy() and self.clock.elapsed() - started_at < limit:
            await self.clock.sleep(IDLE_POLL_INTERVAL)
        logger.info("planned stop finished", extra={"fields": {"busy": self.calls.in_progress}})
        await self.stop()

    def _is_busy(self) -> bool:
        return bool(self.calls.in_progress or self.callers.unfinished_count)

    async def on_shutdown(self) -> None:
        for runner in self._runners:
            await runner.cleanup()
        await self.store.close()
        await self.runs.close()
        if self.machines is not None:
            await self.machines.close()
        if self.ownership.advice is not None:
            await self.ownership.advice.close()
