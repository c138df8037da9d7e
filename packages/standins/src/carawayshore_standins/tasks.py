"""Tasks of the worker stand-in, each run under a lease."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from aiohttp import web

from carawayshore.options import Field
from carawayshore.outcome import OUTCOME_HEADER, Outcome
from carawayshore_standins.common import (
    LostResponseError,
    build_error_response,
    format_now,
    read_body,
)

if TYPE_CHECKING:
    from carawayshore_standins.worker import Worker

RESOURCES = ("processors", "memory_gib", "accelerators")
MAX_LEASE_NUMBER = 2**63
MAX_LEASE_SECONDS = 86_400
ENDED_RETENTION = timedelta(seconds=60)


_LEASE = Field("lease", "integer", "Lease.", required=True, maximum=MAX_LEASE_NUMBER)
LEASE_FIELDS = (_LEASE,)
THROTTLE_FIELDS = (
    _LEASE,
    Field("share", "number", "Share of full speed; 0 pauses.", required=True, maximum=1),
)
TASK_FIELDS = (
    Field("attempt", "integer", "Attempt, from 1.", required=True, minimum=1),
    _LEASE,
    Field(
        "lease_seconds",
        "number",
        "Time from start or renewal until the lease expires.",
        unit="s",
        required=True,
        minimum=0.01,
        maximum=MAX_LEASE_SECONDS,
    ),
    Field("service", "text", "Service of the job.", required=True),
    Field(
        "resources",
        "object",
        "Resources held while the task runs.",
        fields=(
            Field("processors", "number", "Processors.", default=1),
            Field("memory_gib", "number", "Memory.", unit="GiB", default=1),
            Field("accelerators", "integer", "Accelerators.", default=0),
        ),
    ),
    Field("run_seconds", "number", "Run time at full speed.", unit="s", required=True),
    Field("payload", "optional_object", "Content of the job."),
    Field("checkpoint", "optional_object", "Checkpoint to resume from."),
)


def _read_seconds(members: dict[str, Any], name: str, default: float) -> float:
    """Returns the seconds in ``members[name]``, or ``default`` if missing or not valid."""
    value = members.get(name)
    valid = isinstance(value, int | float) and not isinstance(value, bool) and value >= 0
    return float(value) if valid else default


class Task:
    """One attempt of a job on this worker."""

    def __init__(self, job: str, body: dict[str, Any], now: timedelta) -> None:
        self.job = job
        self.attempt: int = body["attempt"]
        self.lease: int = body["lease"]
        self.lease_duration = timedelta(seconds=body["lease_seconds"])
        self.lease_expires_at = now + self.lease_duration
        self.resources: dict[str, float] = body["resources"]
        payload = body["payload"] or {}
        # The payload sets the actual run time, which may differ widely from the declared one.
        self.run_seconds: float = _read_seconds(payload, "run_seconds", body["run_seconds"])
        self.will_fail = payload.get("result") == "failed"
        self.state = "running"
        self.shares: list[tuple[timedelta, float]] = [(now, 1.0)]
        self.checkpoint: dict[str, Any] | None = body["checkpoint"]
        self.changed = asyncio.Event()
        self.ended_at: timedelta | None = None
        self.entry: dict[str, Any] = {}
        self.runner: asyncio.Task[None] | None = None
        self._done_seconds = _read_seconds(body["checkpoint"] or {}, "done_seconds", 0.0)
        self._advanced_at = now

    def advance(self, now: timedelta) -> float:
        """Updates and returns the completed run time, in seconds at full speed."""
        if self.state == "running":
            elapsed_seconds = (now - self._advanced_at).total_seconds()
            self._done_seconds += elapsed_seconds * self.shares[-1][1]
            self._advanced_at = now
        return min(self._done_seconds, self.run_seconds)

    def change_share(self, share: float, now: timedelta) -> None:
        self.advance(now)
        self.shares.append((now, share))
        self.changed.set()

    def compute_wait(self, now: timedelta) -> timedelta:
        """Returns the time until the task ends or its lease expires."""
        remaining_seconds, share = self.run_seconds - self.advance(now), self.shares[-1][1]
        until_lapse = self.lease_expires_at - now
        return (
            min(until_lapse, timedelta(seconds=remaining_seconds / share)) if share else until_lapse
        )

    def describe(self, now: timedelta, lag: timedelta) -> dict[str, Any]:
        return {
            "job": self.job,
            "attempt": self.attempt,
            "lease": self.lease,
            "lease_seconds_left": max(0.0, (self.lease_expires_at - now).total_seconds()),
            "state": self.state,
            "done_seconds": self.advance(now),
            "run_seconds": self.run_seconds,
            "share": self.shares[-1][1],
            "checkpoint": self.checkpoint,
            "usage": self._describe_usage(now - lag, lag),
        }

    def _describe_usage(self, measured_at: timedelta, lag: timedelta) -> dict[str, Any] | None:
        """Returns the usage at ``measured_at``, or None before the start and after the end."""
        shares = [share for start, share in self.shares if start <= measured_at]
        if not shares or self.state != "running":
            return None
        return {
            "seconds_ago": lag.total_seconds(),
            "processors": self.resources["processors"] * shares[-1],
            "memory_gib": self.resources["memory_gib"],
            "accelerators": self.resources["accelerators"],
        }


class TaskRunner:
    """Starts, renews and ends the tasks of one worker.

    Parameters
    ----------
    worker : Worker
    """

    def __init__(self, worker: Worker) -> None:
        self._worker = worker
        self._clock = worker.clock
        self._tasks: dict[str, Task] = {}

    def list_routes(self) -> list[web.RouteDef]:
        return [
            web.put("/v1/tasks/{job}", self._put),
            web.get("/v1/tasks/{job}", self._get),
            web.post("/v1/tasks/{job}/renew", self._renew),
            web.post("/v1/tasks/{job}/checkpoint", self._checkpoint),
            web.post("/v1/tasks/{job}/throttle", self._throttle),
            web.post("/v1/tasks/{job}/stop", self._stop),
        ]

    def describe(self) -> list[dict[str, Any]]:
        """Returns the tasks that are running or ended within ``ENDED_RETENTION``."""
        self._evict_ended()
        return [self._describe(task) for task in self._tasks.values()]

    def _evict_ended(self) -> None:
        """Drops tasks that ended over ``ENDED_RETENTION`` ago; the bounded record keeps them."""
        limit = self._clock.elapsed() - ENDED_RETENTION
        self._tasks = {
            job: task
            for job, task in self._tasks.items()
            if task.ended_at is None or task.ended_at >= limit
        }

    def cut_off(self) -> None:
        """Interrupts every running task without a result, as a reboot does."""
        for task in self._list_running():
            self._end(task, "cut-off")

    async def close(self) -> None:
        self.cut_off()
        runners = [task.runner for task in self._tasks.values() if task.runner]
        for runner in runners:
            runner.cancel()
        await asyncio.gather(*runners, return_exceptions=True)

    def _describe(self, task: Task) -> dict[str, Any]:
        lag = timedelta(seconds=self._worker.settings["usage_lag_seconds"])
        return task.describe(self._clock.elapsed(), lag)

    def _list_running(self) -> list[Task]:
        return [task for task in self._tasks.values() if task.state == "running"]

    def _lacks_resources(self, wanted: dict[str, float], replaced: Task | None) -> bool:
        others = [task for task in self._list_running() if task is not replaced]
        return any(
            wanted[name] + sum(task.resources[name] for task in others)
            > self._worker.settings[name]
            for name in RESOURCES
        )

    def _end(self, task: Task, state: str) -> None:
        if task.state != "running":
            return
        task.advance(self._clock.elapsed())
        task.state = state
        task.ended_at = self._clock.elapsed()
        task.changed.set()
        finished = state in ("succeeded", "failed")
        self._worker.record.end(task.entry, finished=finished, result=state)

    async def _run(self, task: Task) -> None:
        while task.state == "running":
            now = self._clock.elapsed()
            if task.advance(now) >= task.run_seconds:
                self._end(task, "failed" if task.will_fail else "succeeded")
            elif now >= task.lease_expires_at:
                self._end(task, "lapsed")
            else:
                await self._await_change(task, task.compute_wait(now))

    async def _await_change(self, task: Task, max_wait: timedelta) -> None:
        task.changed.clear()
        timer = asyncio.ensure_future(self._clock.sleep(max_wait))
        change = asyncio.ensure_future(task.changed.wait())
        try:
            await asyncio.wait({timer, change}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            change.cancel()

    def _refuse(self, job: str, body: dict[str, Any], status: int, reason: str) -> web.Response:
        self._worker.record.record_rejection(
            reason, job=job, attempt=body["attempt"], lease=body["lease"]
        )
        headers = {OUTCOME_HEADER: Outcome.NOT_RUN.value}
        return build_error_response(status, f"not run: {reason}", headers, reason=reason)

    def _find_refusal(
        self, request: web.Request, body: dict[str, Any], earlier: Task | None
    ) -> tuple[int, str] | None:
        worker = self._worker
        if request.headers.get("Carawayshore-Pool", worker.pool) != worker.pool:
            return 421, "pool"
        if worker.faults["refuse"]:
            return 503, "refused"
        if worker.draining:
            return 503, "draining"
        if self._lacks_resources(body["resources"], earlier):
            return 503, "resources"
        return None

    async def _put(self, request: web.Request) -> web.Response:
        job = request.match_info["job"]
        body = await read_body(request, TASK_FIELDS)
        fence, earlier = self._worker.record.fences.get(job, -1), self._tasks.get(job)
        if earlier and earlier.lease == body["lease"]:
            return web.json_response(self._describe(earlier))
        entry = self._worker.record.tasks.get(job)
        if not earlier and entry and entry["lease"] == body["lease"]:
            return web.json_response(self._describe_entry(entry))
        if body["lease"] <= fence:
            self._worker.record.record_rejection("lease", job=job, attempt=body["attempt"])
            return build_error_response(
                409, f"lease {body['lease']} is not above {fence}", lease=fence
            )
        refusal = self._find_refusal(request, body, earlier)
        if refusal:
            return self._refuse(job, body, *refusal)
        if earlier:
            self._end(earlier, "superseded")
        task = self._start(job, body)
        if self._worker.should_lose_response(f"{job}:{task.lease}"):
            raise LostResponseError
        return web.json_response(self._describe(task), status=201)

    def _start(self, job: str, body: dict[str, Any]) -> Task:
        worker = self._worker
        self._evict_ended()
        task = Task(job, body, self._clock.elapsed())
        task.run_seconds = worker.compute_run_seconds(f"{job}:{task.attempt}", task.run_seconds)
        task.entry = worker.record.begin(
            "task",
            job=job,
            attempt=task.attempt,
            lease=task.lease,
            service=body["service"],
            pool=worker.pool,
            **worker.record.describe_arrival(),
        )
        self._tasks[job] = task
        if worker.faults["fail_all"]:
            self._end(task, "failed")
        else:
            task.runner = asyncio.create_task(self._run(task))
        return task

    async def _get(self, request: web.Request) -> web.Response:
        job = request.match_info["job"]
        task, entry = self._tasks.get(job), self._worker.record.tasks.get(job)
        if task:
            return web.json_response(self._describe(task))
        if entry:
            return web.json_response(self._describe_entry(entry))
        return build_error_response(404, f"no task of job {job!r} was started here")

    def _describe_entry(self, entry: dict[str, Any]) -> dict[str, Any]:
        """Describes a recorded task that is not in memory, for example after a restart."""
        state = entry.get("result") or "cut-off"
        identity = {name: entry[name] for name in ("job", "attempt", "lease")}
        return identity | {"state": state, "checkpoint": None, "usage": None}

    async def _find_task(
        self, request: web.Request, fields: tuple[Field, ...]
    ) -> tuple[Task | None, dict[str, Any], web.Response | None]:
        """Returns the task that a call refers to, the body, and an error response or None."""
        job = request.match_info["job"]
        body = await read_body(request, fields)
        task, fence = self._tasks.get(job), self._worker.record.fences.get(job, -1)
        if body["lease"] < fence:
            message = f"lease {body['lease']} is below {fence}"
            return None, body, build_error_response(409, message, lease=fence)
        if task is None or task.lease != body["lease"]:
            message = f"no task of job {job!r} runs under lease {body['lease']}"
            return None, body, build_error_response(404, message)
        if task.state != "running":
            message = f"the task of job {job!r} is {task.state}"
            return task, body, build_error_response(410, message, task=self._describe(task))
        return task, body, None

    async def _renew(self, request: web.Request) -> web.Response:
        task, _, refusal = await self._find_task(request, LEASE_FIELDS)
        if refusal:
            return refusal
        task.lease_expires_at = self._clock.elapsed() + task.lease_duration
        task.changed.set()
        return web.json_response(self._describe(task))

    async def _checkpoint(self, request: web.Request) -> web.Response:
        task, _, refusal = await self._find_task(request, LEASE_FIELDS)
        if refusal:
            return refusal
        done = task.advance(self._clock.elapsed())
        task.checkpoint = {"done_seconds": done, "at": format_now(self._clock)}
        return web.json_response(self._describe(task))

    async def _throttle(self, request: web.Request) -> web.Response:
        task, body, refusal = await self._find_task(request, THROTTLE_FIELDS)
        if refusal:
            return refusal
        task.change_share(body["share"], self._clock.elapsed())
        return web.json_response(self._describe(task))

    async def _stop(self, request: web.Request) -> web.Response:
        """Stops a task; if it has not started under this lease, prevents it from ever starting."""
        job = request.match_info["job"]
        task, body, refusal = await self._find_task(request, LEASE_FIELDS)
        if task:
            self._end(task, "stopped")
            return web.json_response(self._describe(task))
        if refusal.status == 409:
            return refusal
        entry = self._worker.record.tasks.get(job)
        if entry and entry["lease"] == body["lease"]:
            return web.json_response(self._describe_entry(entry))
        self._worker.record.raise_fence(job, body["lease"])
        if job in self._tasks:
            self._end(self._tasks[job], "superseded")
        return web.json_response({"job": job, "lease": body["lease"], "state": "not-started"})
