"""How each step of the fleet begins, is under way, and ends."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from matrix.fleet_deployment import BOOKING, LEASE_SECONDS, MEMBERS, REMOTE, STREAM

if TYPE_CHECKING:
    from matrix.fleet_run import FleetRun

JOBS = 8
SNAPSHOT_REQUESTS = 40
BUSY_REQUESTS = 12
# A host is due for the next wave this soon, so that every cell finds hosts that are due.
WAVE_PERIOD_DAYS = 0.0001
STEPS: dict[str, type[StepRun]] = {}


def carries_out(name: str):
    def register(cls):
        STEPS[name] = cls
        return cls

    return register


class StepRun:
    """One run of a step; ``claim`` names the claim under which an entry host carries it out."""

    claim = ""
    # A step of milliseconds is not seen under way; its faults begin while it is asked for.
    instant = False

    def __init__(self, run: FleetRun) -> None:
        self.run = run
        self.deployment = run.deployment

    async def prepare(self) -> None:
        """Brings about what the step needs before any fault begins."""

    async def act(self, member: str) -> bool:
        """Asks ``member`` for the step; returns whether it accepted."""
        return True

    async def begin(self) -> None:
        """Asks until an entry host accepts, or two at once if operators race."""
        if self.run.racing:
            members = (self.run.helper, self.run.subject)
            self.run.accepted = await asyncio.gather(*(self.act(member) for member in members))
            if any(self.run.accepted):
                return
        await self.deployment.wait_until(self._try, "acceptance of the step", 20.0)

    async def _try(self) -> bool:
        return await self.act(self.run.helper) or self.is_placed()

    def is_placed(self) -> bool:
        return True

    async def is_done(self) -> bool:
        return True

    async def finish(self) -> None:
        """Undoes the step where the next cell would find it."""


@carries_out("publish")
class Publish(StepRun):
    instant = True

    async def prepare(self) -> None:
        self.base = await self.deployment.read_version(self.run.helper)

    async def act(self, member: str) -> bool:
        status, _ = await self.deployment.publish(member)
        return status == 200

    async def begin(self) -> None:
        """Publishes through the subject, which the faults concern, unless operators race."""
        if self.run.racing:
            await super().begin()
        else:
            self.run.spawn(self._insist())

    async def _insist(self) -> None:
        if not await self.act(self.run.subject):
            await self.deployment.wait_until(self._try, "publication", 40.0)

    async def _try(self) -> bool:
        """A publication without an answer may have taken effect."""
        version = await self.deployment.read_version(self.run.helper)
        return version > self.base or await self.act(self.run.helper)

    async def is_done(self) -> bool:
        members = (*MEMBERS, REMOTE)
        versions = [await self.deployment.read_version(member) for member in members]
        return all(version > self.base for version in versions)


class HostStep(StepRun):
    claim = "fleet"
    path = ""
    body: dict[str, str] = {}

    async def prepare(self) -> None:
        """Gives the host work, so that its drain takes long enough for a fault to hit it."""
        for number in range(BUSY_REQUESTS):
            name = f"booking/{self.run.token.partition(':')[2]}-busy{number}"
            headers = {"Work-Seconds": "1.5"}
            self.run.spawn(self.deployment.send_request(MEMBERS[number % 3], name, **headers))
        await self.deployment.wait_until(self._is_busy, "work on the host", 10.0)

    async def _is_busy(self) -> bool:
        return bool((await self.deployment.read_status(self.run.target)).get("in_use"))

    async def act(self, member: str) -> bool:
        path = f"hosts/{self.run.target}/{self.path}"
        status, answer = await self.deployment.operate(member, path, **self.body)
        if status != 200:
            self.run.note("refused", f"{member}: {status} {answer}")
        return status == 200

    def is_placed(self) -> bool:
        bodies = self.run.watch.list_bodies(STREAM, "host_drain_started")
        return any(body["host"] == self.run.target for body in bodies)

    async def is_drained(self) -> bool:
        return (await self.deployment.read_host(self.run.target)).get("state") == "drained"


@carries_out("move")
class Move(HostStep):
    path = "move"
    body = {"pool": "office"}

    async def is_done(self) -> bool:
        found = await self.deployment.read_host(self.run.target)
        worker = await self.deployment.read_status(self.run.target)
        joined = self.run.watch.list_bodies(STREAM, "host_joined")
        told = any((b["host"], b["pool"]) == (self.run.target, "office") for b in joined)
        serving = (found.get("pool"), found.get("state")) == ("office", "serving")
        return told and serving and worker.get("pool") == "office"


@carries_out("drain")
class Drain(HostStep):
    path = "drain"

    async def is_done(self) -> bool:
        return await self.is_drained()


@carries_out("reboot")
class Reboot(HostStep):
    async def prepare(self) -> None:
        """The load keeps the hosts busy, whichever the wave takes."""

    async def act(self, member: str) -> bool:
        maintenance = {"enabled": True, "period_days": WAVE_PERIOD_DAYS}
        self.run.changes = {"maintenance": maintenance}
        status, _ = await self.deployment.publish(member, **self.run.changes)
        return status == 200

    def is_placed(self) -> bool:
        bodies = self.run.watch.list_bodies(STREAM, "host_drain_started")
        hosts = [body["host"] for body in bodies if body["reason"] == "maintenance"]
        if hosts:
            self.run.target = hosts[0]
        return bool(hosts)

    async def is_done(self) -> bool:
        """A wave of this data centre with rebooted hosts has ended."""
        done = self.run.watch.list_bodies("global", "wave_host_done")
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

    def is_placed(self) -> bool:
        hosts = [body["host"] for body in self.list_placed() if body["job"] in self.run.jobs]
        if hosts:
            self.run.target = hosts[0]
        return bool(hosts)

    def list_placed(self) -> list[dict]:
        return self.run.watch.list_bodies(STREAM, "job_placed")

    async def is_done(self) -> bool:
        for name in self.list_names():
            if not await self.run.has_ended(name):
                return False
        return True


@carries_out("place")
class Place(JobStep):
    pass


@carries_out("renew")
class Renew(JobStep):
    seconds = 2.5 * LEASE_SECONDS

    async def is_done(self) -> bool:
        ended = await super().is_done()
        states = {self.run.jobs[name].state for name in self.list_names()} if ended else set()
        # A worker that fails or dies ends its own tasks, which is no fault of the renewal.
        if ended and not self.run.disturbs_workers and states != {"succeeded"}:
            self.run.problems.append(f"step: jobs under renewed leases ended as {sorted(states)}")
        return ended


@carries_out("checkpoint")
class Checkpoint(JobStep):
    seconds = 4.0
    repeatable = True

    async def prepare(self) -> None:
        await super().begin()
        await self.deployment.wait_until(self._is_running, "running tasks", 20.0)

    async def _is_running(self) -> bool:
        for host in BOOKING:
            status = await self.deployment.read_status(host)
            tasks = [task for task in status.get("tasks", []) if task["state"] == "running"]
            if any(task["job"] in self.run.jobs for task in tasks):
                self.run.target = host
                return True
        return False

    async def begin(self) -> None:
        await StepRun.begin(self)

    async def act(self, member: str) -> bool:
        status, _ = await self.deployment.operate(member, f"hosts/{self.run.target}/drain")
        return status == 200

    def is_placed(self) -> bool:
        bodies = self.run.watch.list_bodies(STREAM, "host_drain_started")
        return any(body["host"] == self.run.target for body in bodies)


@carries_out("cancel")
class Cancel(JobStep):
    instant = True
    seconds = 30.0

    async def prepare(self) -> None:
        await super().begin()
        await self.deployment.wait_until(self._are_placed, "placed jobs", 20.0)

    def _are_placed(self) -> bool:
        """Waits for all placements, so that running tasks are cancelled."""
        JobStep.is_placed(self)
        return set(self.list_names()) <= {body["job"] for body in self.list_placed()}

    async def begin(self) -> None:
        for name in self.list_names():
            self.run.spawn(self.run.cancel(name))

    def is_placed(self) -> bool:
        return True


@carries_out("snapshot")
class Snapshot(StepRun):
    instant = True

    async def begin(self) -> None:
        await self.run.fill(SNAPSHOT_REQUESTS)

    def is_placed(self) -> bool:
        return bool(self.run.watch.list_bodies(STREAM, "snapshot"))

    async def prepare(self) -> None:
        self.marked = 0

    async def is_done(self) -> bool:
        """Waits for a whole snapshot that was written after the fault began."""
        self.marked = self.marked or self.run.find_end(STREAM)
        await self.run.fill(SNAPSHOT_REQUESTS // 4)
        found = self.run.watch.list_bodies(STREAM, "snapshot")
        return any(b["through"] >= self.marked and is_whole(b, found) for b in found)


def is_whole(body: dict, found: list[dict]) -> bool:
    """Returns whether all parts of a snapshot are there and have its digest."""
    keys = ("through", "digest", "parts")
    same = [b for b in found if all(b[key] == body[key] for key in keys)]
    parts = {b["part"]: b["data"] for b in same}
    if len(parts) != body["parts"]:
        return False
    data = "".join(parts[number] for number in sorted(parts))
    return hashlib.sha256(data.encode()).hexdigest() == body["digest"]


@carries_out("rejoin")
class Rejoin(StepRun):
    async def prepare(self) -> None:
        """Ends an entry host; the others publish a version that it has not seen."""
        await self.deployment.kill(self.run.subject)
        self.base = await self.deployment.read_version(self.run.helper)
        status, answer = await self.deployment.publish(self.run.helper)
        if status != 200:
            raise RuntimeError(f"publication before the rejoin: {status} {answer}")

    async def begin(self) -> None:
        """The start follows the faults, see ``FleetRun``."""

    async def start(self) -> None:
        await self.deployment.start(self.run.subject, wait=False)

    async def is_done(self) -> bool:
        status, _, _ = await self.deployment.ask_caller("GET", self.run.subject, "/v1/ready")
        version = await self.deployment.read_version(self.run.subject)
        if status == 200 and version <= self.base:
            self.run.problems.append(f"rejoin: ready with version {version} of {self.base + 1}")
        return status == 200

    async def finish(self) -> None:
        await self.deployment.wait_until(self._has_joined, "join in the log", 20.0)

    def _has_joined(self) -> bool:
        joined = self.run.watch.list_bodies(STREAM, "member_joined")
        return any(body["member"] == self.run.subject for body in joined)
