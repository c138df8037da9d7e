"""HTTP endpoints for operators: state, metrics, configuration, hosts, jobs and maintenance."""

from __future__ import annotations

import hmac
import json
import logging
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

from aiohttp import web
from returns.result import Success

from carawayd.process.appender import Appender, AppendOutcomeUnknown, NotAppended, Priority
from carawayd.process.dump import build_dump, build_status
from carawayd.process.history import MAX_VERSIONS, VersionHistory
from carawayd.process.hostviews import describe_host, list_hosts, preview_removal
from carawayd.process.maintenance import format_time
from carawayd.request.jobs import describe_job
from carawayshore import records
from carawayshore.assignment import FLEET_CLAIM, HOLD, count_draining
from carawayshore.configuration import check_configuration
from carawayshore.waves import find_last_reservation

if TYPE_CHECKING:
    from carawayd.process.daemon import Components
    from carawayshore.fold import Host
    from carawayshore.maintenance import Planner

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 1024 * 1024
MAX_LISTED = 10_000
JOB_FILTERS = ("state", "team", "queue")


def _respond(document: Any, status: int = 200) -> web.Response:
    return web.json_response(document, status=status, dumps=_dump_json)


def _dump_json(document: Any) -> str:
    return json.dumps(document, default=str)


class OperatorEndpoints:
    """Serves the HTTP address for operators.

    Parameters
    ----------
    components : Components
    """

    def __init__(self, components: Components) -> None:
        self._components = components
        self._history = VersionHistory(components.global_reader, components.clock)

    def build_application(self) -> web.Application:
        """Returns the application with all routes."""
        application = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self._authorize])
        application.add_routes(
            [
                web.get("/v1/operator/dump", self._get_dump),
                web.get("/v1/operator/status", self._get_status),
                web.get("/v1/operator/metrics", self._get_metrics),
                web.get("/v1/operator/configuration", self._get_configuration),
                web.post("/v1/operator/configuration", self._publish),
                web.get("/v1/operator/configuration/versions", self._list_versions),
                web.get("/v1/operator/configuration/versions/{version}", self._get_version),
                web.get("/v1/operator/hosts", self._list_hosts),
                web.get("/v1/operator/hosts/{host}", self._get_host),
                web.post("/v1/operator/hosts/{host}/move", self._move),
                web.post("/v1/operator/hosts/{host}/drain", self._drain),
                web.post("/v1/operator/hosts/{host}/return", self._return),
                web.get("/v1/operator/jobs", self._list_jobs),
                web.get("/v1/operator/maintenance/plan", self._get_plan),
                web.get("/v1/operator/maintenance/explain", self._explain),
                web.post("/v1/operator/maintenance/pause", self._pause),
                web.post("/v1/operator/maintenance/resume", self._resume),
            ]
        )
        return application

    def _read_token(self) -> str:
        """Returns the operators' token, read on each request so that the file can be replaced."""
        path = self._components.settings.options.operator_token_file
        return Path(path).read_text().strip() if path else ""

    @web.middleware
    async def _authorize(self, request: web.Request, handler) -> web.StreamResponse:
        try:
            token = self._read_token()
        except OSError as error:
            return _respond({"error": f"the token file cannot be read: {error.strerror}"}, 503)
        given = request.headers.get("Authorization", "")
        if token and not hmac.compare_digest(f"Bearer {token}".encode(), given.encode()):
            return _respond({"error": "the header Authorization has no valid bearer token"}, 401)
        return await handler(request)

    async def _read_document(self, request: web.Request, **accepted: type) -> dict[str, Any]:
        """Returns the request body, a JSON object whose members and types are ``accepted``.

        Raises
        ------
        web.HTTPBadRequest
            With all findings, if the body is not such an object.
        """
        try:
            document = json.loads(await request.text())
        except ValueError as error:
            document, found = None, [f"the body is not JSON: {error}"]
        else:
            found = []
        if document is not None and not isinstance(document, dict):
            found.append(f"the body is {type(document).__name__}, accepted: an object")
        elif document is not None:
            found += [f"/{name} is unknown" for name in document if name not in accepted]
            found += [
                f"/{name} is {document.get(name)!r}, accepted: {kind.__name__}"
                for name, kind in accepted.items()
                if not isinstance(document.get(name), kind)
            ]
        if found:
            body = json.dumps({"error": "bad request", "findings": found})
            raise web.HTTPBadRequest(text=body, content_type="application/json")
        return document

    async def _append(self, appender: Appender, body: Any, priority: Priority) -> web.Response:
        """Appends a record and returns a response with its outcome."""
        try:
            result = await appender.append(body, priority)
        except NotAppended as error:
            return _respond({"outcome": "not-run", "error": str(error)}, 503)
        except AppendOutcomeUnknown as error:
            return _respond({"outcome": "unknown", "error": str(error)}, 504)
        if isinstance(result, Success):
            return _respond({"outcome": "completed"})
        return _respond({"outcome": "not-run", "error": result.failure().reason}, 409)

    async def _get_dump(self, request: web.Request) -> web.Response:
        return _respond(build_dump(self._components))

    async def _get_status(self, request: web.Request) -> web.Response:
        return _respond(build_status(self._components))

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._components.metrics.format_text(), content_type="text/plain", charset="utf-8"
        )

    async def _get_configuration(self, request: web.Request) -> web.Response:
        current = self._components.global_reader.folded.configuration
        return _respond(current._asdict())

    async def _list_versions(self, request: web.Request) -> web.Response:
        versions = [item.describe() for item in self._history.list_versions()]
        document = {
            "member": self._components.settings.member,
            "since": self._history.since.isoformat(),
        }
        return _respond(document | {"max_versions": MAX_VERSIONS, "versions": versions})

    async def _get_version(self, request: web.Request) -> web.Response:
        text = request.match_info["version"]
        observed = self._history.find_version(int(text)) if text.isdecimal() else None
        if observed is None:
            kept = [item.version for item in self._history.list_versions() if item.text]
            error = f"the document of version {text} is not kept here"
            return _respond({"error": error, "accepted": kept}, 404)
        return _respond(observed.describe() | {"document": json.loads(observed.text)})

    async def _list_hosts(self, request: web.Request) -> web.Response:
        return _respond(
            {
                "data_centre": self._components.settings.data_centre,
                "hosts": list_hosts(self._components),
            }
        )

    async def _get_host(self, request: web.Request) -> web.Response:
        name, _ = self._find_host(request)
        return _respond(await describe_host(self._components, name))

    async def _publish(self, request: web.Request) -> web.Response:
        given = await self._read_document(request, base_version=int, document=dict, author=str)
        found = check_configuration(given["document"])
        if found:
            findings = [finding._asdict() for finding in found]
            return _respond({"outcome": "not-run", "findings": findings}, 422)
        current = self._components.global_reader.folded.configuration
        if given["base_version"] != current.version:
            return self._respond_conflict(given["base_version"])
        body = records.ConfigurationPublished(**given)
        answer = await self._append(self._components.global_appender, body, Priority.CONFIGURATION)
        if answer.status == 409:
            return self._respond_conflict(given["base_version"])
        if answer.status == 200:
            return _respond({"outcome": "completed", "version": given["base_version"] + 1})
        return answer

    def _respond_conflict(self, base_version: int) -> web.Response:
        current = self._components.global_reader.folded.configuration
        error = f"version {current.version} is in force, not {base_version}"
        document = {"outcome": "not-run", "error": error, "current": current._asdict()}
        return _respond(document, 409)

    def _find_host(self, request: web.Request) -> tuple[str, Host]:
        name = request.match_info["host"]
        host = self._components.reader.folded.hosts.get(name)
        if host is None:
            names = sorted(self._components.reader.folded.hosts)
            body = json.dumps({"error": f"host {name!r} does not exist", "accepted": names})
            raise web.HTTPNotFound(text=body, content_type="application/json")
        return name, host

    def _get_fleet_fence(self) -> int:
        claim = self._components.reader.folded.claims.get(FLEET_CLAIM)
        return claim.fence if claim else -1

    async def _start_drain(
        self, request: web.Request, name: str, host: Host, *, to_pool: str, reason: str
    ) -> web.Response:
        """Starts a drain if the availability budgets allow it or the operator overrides them.

        The drain is first reserved in the global stream, so that operators in two data centres
        cannot both remove the last host that a budget allows.
        """
        draining = count_draining(self._components.reader.folded, host.pool)
        reserved = find_last_reservation(self._components.global_reader.folded, host.pool)
        expected_removal = None
        over = [item for item in preview_removal(self._components, name) if not item["within"]]
        if request.query.get("over_budget") != "true":
            expected_removal = reserved
            if over:
                error = "the availability budget does not allow it; over_budget=true overrides it"
                return _respond({"outcome": "not-run", "error": error, "budgets": over}, 409)
        reservation = records.RemovalReserved(
            self._components.settings.data_centre,
            name,
            host.pool,
            format_time(self._components.clock),
            expected_removal,
        )
        refusal = await self._append(self._components.global_appender, reservation, Priority.FLEET)
        if refusal.status != 200 and expected_removal is not None:
            return refusal
        body = records.HostDrainStarted(
            name, host.revision, to_pool, reason, self._get_fleet_fence(), draining_seen=draining
        )
        answer = await self._append(self._components.appender, body, Priority.FLEET)
        if answer.status in (409, 503):
            await self._release_removal(name)
        return answer

    async def _release_removal(self, name: str) -> None:
        """Releases the reservation of a host whose drain did not start."""
        held = self._components.global_reader.folded.removals.get(name)
        host = self._components.reader.folded.hosts.get(name)
        if held is None or (host is not None and host.draining_to):
            return
        body = records.RemovalReleased(name, held.offset)
        answer = await self._append(self._components.global_appender, body, Priority.FLEET)
        if answer.status != 200:
            logger.info(
                "could not release reservation of host %s; it expires",
                name,
                extra={"fields": {"reserved": held.offset, "status": answer.status}},
            )

    async def _move(self, request: web.Request) -> web.Response:
        name, host = self._find_host(request)
        given = await self._read_document(request, pool=str)
        version = self._components.versions.current
        pools = version.configuration["pools"] if version else {}
        if given["pool"] not in pools:
            error = f"pool {given['pool']!r} does not exist"
            refusal = {"outcome": "not-run", "error": error, "accepted": sorted(pools)}
            return _respond(refusal, 422)
        return await self._start_drain(request, name, host, to_pool=given["pool"], reason="move")

    async def _drain(self, request: web.Request) -> web.Response:
        name, host = self._find_host(request)
        return await self._start_drain(request, name, host, to_pool=host.pool, reason=HOLD)

    async def _return(self, request: web.Request) -> web.Response:
        name, host = self._find_host(request)
        body = records.HostReturnRequested(name, host.revision, self._get_fleet_fence())
        return await self._append(self._components.appender, body, Priority.FLEET)

    async def _list_jobs(self, request: web.Request) -> web.Response:
        """Lists jobs, newest first, filtered by ``state``, ``team`` and ``queue``."""
        limit = self._read_limit(request)
        wanted = {name: request.query[name] for name in JOB_FILTERS if name in request.query}
        found = [
            (name, job)
            for name, job in self._components.reader.folded.jobs.items()
            if all(getattr(job, field) == value for field, value in wanted.items())
        ]
        found.sort(key=lambda item: -item[1].submitted)
        shown = [describe_job(name, job) for name, job in found[:limit]]
        return _respond({"count": len(found), "jobs": shown})

    def _read_limit(self, request: web.Request) -> int:
        """Returns the value of the query parameter ``limit``.

        Raises
        ------
        web.HTTPBadRequest
            If it is not a whole number from 1 to ``MAX_LISTED``.
        """
        text = request.query.get("limit", "200")
        if not text.isdecimal() or not 1 <= int(text) <= MAX_LISTED:
            error = {"error": f"limit is {text!r}, accepted: 1 to {MAX_LISTED}"}
            raise web.HTTPBadRequest(text=json.dumps(error), content_type="application/json")
        return int(text)

    def _build_planner(self) -> Planner:
        if self._components.versions.current is None:
            error = {"error": "no configuration is known"}
            raise web.HTTPServiceUnavailable(
                text=json.dumps(error), content_type="application/json"
            )
        return self._components.maintenance.build_planner()

    async def _get_plan(self, request: web.Request) -> web.Response:
        """Returns the running waves, the wave to start next, and all planned waves."""
        limit, planner = self._read_limit(request), self._build_planner()
        state, waves = self._components.global_reader.folded, planner.list_waves()
        chosen = planner.choose_wave()
        fleet = self._components.maintenance.build_fleet()
        document = {
            "stopped": fleet.stopped,
            "wave_seconds": fleet.wave_duration.total_seconds(),
            "running": {name: wave._asdict() for name, wave in state.waves.items()},
            "stalled": {name: wave._asdict() for name, wave in state.stalled.items()},
            "next": chosen._asdict() if chosen else None,
            "count": len(waves),
            "waves": [wave._asdict() for wave in waves[:limit]],
        }
        return _respond(document)

    async def _explain(self, request: web.Request) -> web.Response:
        """Returns the hosts that are or will be overdue for maintenance, each with the reason."""
        limit = self._read_limit(request)
        late = self._build_planner().explain()
        reasons = Counter(host.reason for host in late)
        document = {
            "stopped": self._components.maintenance.build_fleet().stopped,
            "count": len(late),
            "reasons": dict(reasons.most_common(limit)),
            "hosts": [host._asdict() for host in late[:limit]],
        }
        return _respond(document)

    async def _pause(self, request: web.Request) -> web.Response:
        given = await self._read_document(request, author=str, reason=str)
        body = records.MaintenancePaused(**given)
        return await self._append(self._components.global_appender, body, Priority.CONFIGURATION)

    async def _resume(self, request: web.Request) -> web.Response:
        given = await self._read_document(request, author=str)
        body = records.MaintenanceResumed(**given)
        return await self._append(self._components.global_appender, body, Priority.CONFIGURATION)
