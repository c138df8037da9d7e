"""Steps of the fleet matrix: how each one starts, is under way, and ends."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from matrix.fleet_deployment import BOOKING_WORKERS, LEASE_SECONDS, MEMBERS, REMOTE_MEMBER, STREAM

if TYPE_CHECKING:
    from matrix.fleet_run import FleetRun

JOBS = 8
SNAPSHOT_REQUESTS = 40
BLOCKING_REQUESTS = 12
# Short, so that every cell finds hosts that are due for a wave.
WAVE_PERIOD_DAYS = 0.0001
STEPS: dict[str, type[StepRun]] = {}


def register_step(name: str):
    def register(cls):
        STEPS[name] = cls
        return cls

    return register


class StepRun:
    """One run of a step; ``claim`` is the claim under which an entry host carries it out."""

    claim = ""
    # Too short (milliseconds) to be observed under way; faults are injected during its request.
    instant = False

    def __init__(self, run: FleetRun) -> None:
        self.run = run
        self.deployment = run.deployment

    async def prepare(self) -> None:
        """Prepares what the step needs, before any fault is injected."""

    async def request_step(self, member: str) -> bool:
        """Requests the step from ``member``; returns whether it was accepted."""
        return True

    async def begin(self) -> None:
        """Requests the step until it is accepted, from two members at once if operators race."""
        if self.run.racing:
            members = (self.run.other_member, self.run.affected_member)
            self.run.race_accepted = await asyncio.gather(
                *(self.request_step(member) for member in members)
            )
            if any(self.run.race_accepted):
                return
        await self.deployment.wait_until(self._try_request, "acceptance of the step", 20.0)

    async def _try_request(self) -> bool:
        return await self.request_step(self.run.other_member) or self.is_under_way()

    def is_under_way(self) -> bool:
        return True

    async def is_done(self) -> bool:
        return True

    async def finish(self) -> None:
        """Undoes what would affect the next cell."""


@register_step("publish")
class Publish(StepRun):
    instant = True

    async def prepare(self) -> None:
        self.base = await self.deployment.read_version(self.run.other_member)

    async def request_step(self, member: str) -> bool:
        status, _ = await self.deployment.publish(member)
        return status == 200

    async def begin(self) -> None:
        """Publishes through the affected member unless operators race."""
        if self.run.racing:
            await super().begin()
        else:
            self.run.spawn(self._publish_until_accepted())

    async def _publish_until_accepted(self) -> None:
        if not await self.request_step(self.run.affected_member):
            await self.deployment.wait_until(self._try_request, "publication", 40.0)

    async def _try_request(self) -> bool:
        """Checks the version first, as a publication without an answer may have taken effect."""
        version = await self.deployment.read_version(self.run.other_member)
        return version > self.base or await self.request_step(self.run.other_member)

    async def is_done(self) -> bool:
        members = (*MEMBERS, REMOTE_MEMBER)
        versions = [await self.deployment.read_version(member) for member in members]
        return all(version > self.base for version in versions)


class HostStep(StepRun):
    claim = "fleet"
    path = ""
    body: dict[str, str] = {}

    async def prepare(self) -> None:
        """Loads the host, so that its drain lasts long enough for a fault to occur during it."""
        for number in range(BLOCKING_REQUESTS):
            name = f"booking/{self.run.token.partition(':')[2]}-busy{number}"
            headers = {"Work-Seconds": "1.5"}
            self.run.spawn(self.deployment.send_request(MEMBERS[number % 3], name, **headers))
        await self.deployment.wait_until(self._is_busy, "work on the host", 10.0)

    async def _is_busy(self) -> bool:
        return bool((await self.deployment.read_status(self.run.target)).get("in_use"))

    async def request_step(self, member: str) -> bool:
        path = f"hosts/{self.run.target}/{self.path}"
        status, answer = await self.deployment.operate(member, path, **self.body)
        if status != 200:
            self.run.log_event("refused", f"{member}: {status} {answer}")
        return status == 200

    def is_under_way(self) -> bool:
        bodies = self.run.observer.list_bodies(STREAM, "host_drain_started")
        return any(body["host"] == self.run.target for body in bodies)

    async def is_drained(self) -> bool:
        return (await self.deployment.read_host(self.run.target)).get("state") == "drained"


@register_step("move")
class Move(HostStep):
    path = "move"
    body = {"pool": "office"}

    async def is_done(self) -> bool:
        found = await self.deployment.read_host(self.run.target)
        worker = await self.deployment.read_status(self.run.target)
        joined = self.run.observer.list_bodies(STREAM, "host_joined")
        in_log = any((b["host"], b["pool"]) == (self.run.target, "office") for b in joined)
        serving = (found.get("pool"), found.get("state")) == ("office", "serving")
        return in_log and serving and worker.get("pool") == "office"


@register_step("drain")
class Drain(HostStep):
    path = "drain"

    async def is_done(self) -> bool:
        return await self.is_drained()


@register_step("reboot")
class Reboot(HostStep):
    async def prepare(self) -> None:
        """Does nothing: the observer's load keeps all hosts busy, whichever the wave selects."""

    async def request_step(self, member: str) -> bool:
        maintenance = {"enabled": True, "period_days": WAVE_PERIOD_DAYS}
        self.run.configuration_changes = {"maintenance": maintenance}
        status, _ = await self.deployment.publish(member, **self.run.configuration_changes)
        return status == 200

    def is_under_way(self) -> bool:
        bodies = self.run.observer.list_bodies(STREAM, "host_drain_started")
        hosts = [body["host"] for body in bodies if body["reason"] == "maintenance"]
        if hosts:
            self.run.target = hosts[0]
        return bool(hosts)

    async def is_done(self) -> bool:
        """Returns whether a wave has completed the target without skipping it."""
        done = self.run.observer.list_bodies("global", "wave_host_done")
        return any(b["host"] == self.run.target and not b["skipped"] for b in done)

    async def finish(self) -> None:
        await self.deployment.wait_until(self._stop_waves, "end of maintenance", 20.0)

    async def _stop_waves(self) -> bool:
        return (await self.deployment.publish(MEMBERS[0]))[0] == 200


class JobStep(StepRun):
    claim = "jobs"
    seconds = 0.5
    repeatable = False

    def list_names(self) -> list[str]:
        return [f"{self.run.token}-job{number}" for number in range(JOBS)]

    async def begin(self) -> None:
        for name in self.list_names():
            work = self.run.submit(name, seconds=self.seconds, repeatable=self.repeatable)
            self.run.spawn(work)

    def is_under_way(self) -> bool:
        hosts = [body["host"] for body in self.list_placements() if body["job"] in self.run.jobs]
        if hosts:
            self.run.target = hosts[0]
        return bool(hosts)

    def list_placements(self) -> list[dict]:
        return self.run.observer.list_bodies(STREAM, "job_placed")

    async def is_done(self) -> bool:
        for name in self.list_names():
            if not await self.run.has_ended(name):
                return False
        return True


@register_step("place")
class Place(JobStep):
    pass


@register_step("renew")
class Renew(JobStep):
    seconds = 2.5 * LEASE_SECONDS

    async def is_done(self) -> bool:
        ended = await super().is_done()
        states = {self.run.jobs[name].state for name in self.list_names()} if ended else set()
        # A failing or killed worker ends its own tasks, which does not violate the renewal.
        if ended and not self.run.disturbs_workers and states != {"succeeded"}:
            self.run.problems.append(f"step: jobs under renewed leases ended as {sorted(states)}")
        return ended


@register_step("checkpoint")
class Checkpoint(JobStep):
    seconds = 4.0
    repeatable = True

    async def prepare(self) -> None:
        await super().begin()
        await self.deployment.wait_until(self._is_running, "running tasks", 20.0)

    async def _is_running(self) -> bool:
        for host in BOOKING_WORKERS:
            status = await self.deployment.read_status(host)
            tasks = [task for task in status.get("tasks", []) if task["state"] == "running"]
            if any(task["job"] in self.run.jobs for task in tasks):
                self.run.target = host
                return True
        return False

    async def begin(self) -> None:
        await StepRun.begin(self)

    async def request_step(self, member: str) -> bool:
        status, _ = await self.deployment.operate(member, f"hosts/{self.run.target}/drain")
        return status == 200

    def is_under_way(self) -> bool:
        bodies = self.run.observer.list_bodies(STREAM, "host_drain_started")
        return any(body["host"] == self.run.target for body in bodies)


@register_step("cancel")
class Cancel(JobStep):
    instant = True
    seconds = 30.0

    async def prepare(self) -> None:
        await super().begin()
        await self.deployment.wait_until(self._are_jobs_placed, "placed jobs", 20.0)

    def _are_jobs_placed(self) -> bool:
        """Returns whether all jobs are placed, so that running tasks are cancelled."""
        JobStep.is_under_way(self)
        return set(self.list_names()) <= {body["job"] for body in self.list_placements()}

    async def begin(self) -> None:
        for name in self.list_names():
            self.run.spawn(self.run.cancel(name))

    def is_under_way(self) -> bool:
        return True


@register_step("snapshot")
class Snapshot(StepRun):
    instant = True

    async def begin(self) -> None:
        await self.run.append_records(SNAPSHOT_REQUESTS)

    def is_under_way(self) -> bool:
        return bool(self.run.observer.list_bodies(STREAM, "snapshot"))

    async def prepare(self) -> None:
        self.min_offset = 0

    async def is_done(self) -> bool:
        """Returns whether a complete snapshot has been written since the fault was injected."""
        self.min_offset = self.min_offset or self.run.get_next_offset(STREAM)
        await self.run.append_records(SNAPSHOT_REQUESTS // 4)
        found = self.run.observer.list_bodies(STREAM, "snapshot")
        return any(
            b["through"] >= self.min_offset and is_complete_snapshot(b, found) for b in found
        )


def is_complete_snapshot(body: dict, found: list[dict]) -> bool:
    """Returns whether all parts of a snapshot are present and match its digest."""
    keys = ("through", "digest", "parts")
    same = [b for b in found if all(b[key] == body[key] for key in keys)]
    parts = {b["part"]: b["data"] for b in same}
    if len(parts) != body["parts"]:
        return False
    data = "".join(parts[number] for number in sorted(parts))
    return hashlib.sha256(data.encode()).hexdigest() == body["digest"]


@register_step("rejoin")
class Rejoin(StepRun):
    async def prepare(self) -> None:
        """Kills an entry host and publishes a version through another one."""
        await self.deployment.kill(self.run.affected_member)
        self.base = await self.deployment.read_version(self.run.other_member)
        status, answer = await self.deployment.publish(self.run.other_member)
        if status != 200:
            raise RuntimeError(f"publication before the rejoin: {status} {answer}")

    async def begin(self) -> None:
        """Does nothing: ``FleetRun`` starts the entry host after the faults."""

    async def start(self) -> None:
        await self.deployment.start(self.run.affected_member, wait=False)

    async def is_done(self) -> bool:
        status, _, _ = await self.deployment.call_caller_api(
            "GET", self.run.affected_member, "/v1/ready"
        )
        version = await self.deployment.read_version(self.run.affected_member)
        if status == 200 and version <= self.base:
            self.run.problems.append(f"rejoin: ready with version {version} of {self.base + 1}")
        return status == 200

    async def finish(self) -> None:
        await self.deployment.wait_until(self._has_joined, "join in the log", 20.0)

    def _has_joined(self) -> bool:
        joined = self.run.observer.list_bodies(STREAM, "member_joined")
        return any(body["member"] == self.run.affected_member for body in joined)
