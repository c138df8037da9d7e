"""Runs one cell of the fleet matrix and checks its promises."""

from __future__ import annotations

import asyncio
import random
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from matrix.fleet_deployment import BOOKING_WORKERS, MEMBERS, STREAM, WORKERS
from matrix.fleet_faults import inject
from matrix.fleet_judge import check_cell
from matrix.fleet_steps import STEPS
from matrix.fleet_watch import DeploymentObserver, read_executions

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from matrix.fleet_deployment import FleetDeployment
    from matrix.fleet_table import Cell

PLACEMENT_TIMEOUT_S = 30.0
STEP_TIMEOUT_S = 40.0
MAX_DELAY = timedelta(milliseconds=30)  # An append takes about 10 ms.
# Longer than the lifetime of claims and loans; the result does not depend on it.
FAULT_DURATION = timedelta(seconds=3)
JOB_TIMEOUT_S = 40.0
# At the step rejoin, these affect the starting host.
FAULTS_OF_STARTING_HOST = ("entry-killed", "entry-paused")


class JobReport(NamedTuple):
    """What the entry hosts answered a caller about a job.

    ``unclear`` is whether a submission ended without a clear outcome.
    """

    repeatable: bool
    accepted: bool = False
    unclear: bool = False
    state: str = ""


class FleetRun:
    """One run of one cell.

    Parameters
    ----------
    cell : Cell
    deployment : FleetDeployment
        Deployment on which the step is carried out.
    token : str
        Prefix of names, unique within the deployment.
    seed : int
        Seed of the random choices of the cell.
    """

    def __init__(self, cell: Cell, deployment: FleetDeployment, token: str, seed: int) -> None:
        self.cell = cell
        self.deployment = deployment
        self.token = f"umea:{token}"
        self.seed = seed
        self.observer = DeploymentObserver(deployment, token)
        self.target = BOOKING_WORKERS[0]
        self.affected_member, self.other_member = MEMBERS[0], MEMBERS[1]
        self.affected_holds_claim = False
        self.killed: set[str] = set()
        self.racing = False
        # Configuration members that every publication of the cell includes.
        self.configuration_changes: dict[str, Any] = {}
        self.race_accepted: list[bool] = []
        self.jobs: dict[str, JobReport] = {}
        self.problems: list[str] = []
        self.events: list[tuple[Any, str, str]] = []
        self.reusable = False
        self.started_at = deployment.clock.now()
        self.step = STEPS[cell.step.name](self)
        self.claim = self.step.claim
        names = {fault.name for fault in cell.faults}
        self.disturbs_workers = bool(names & {"worker-killed", "worker-fails"})
        self._background_tasks: list[asyncio.Task[Any]] = []
        self._filler_requests = 0
        self._rng = random.Random(f"{seed}:{cell.name}")

    def log_event(self, kind: str, detail: str) -> None:
        self.events.append((self.deployment.clock.now(), kind, detail))

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        self._background_tasks.append(asyncio.create_task(work))

    def get_next_offset(self, stream: str) -> int:
        return self.observer.next_offsets[stream]

    def has_claim_moved(self, since: int) -> bool:
        return any(
            offset >= since
            and record["type"] == "claim_taken"
            and record["body"]["claim"] == self.claim
            and record["body"]["member"] != self.affected_member
            for offset, record in self.observer.records[STREAM].items()
        )

    async def submit(self, name: str, *, seconds: float, repeatable: bool = False) -> None:
        """Submits a job until an entry host accepts it; the name makes this idempotent."""
        self.jobs[name] = JobReport(repeatable)
        body = {"job": name, "queue": "routes", "team": "crew", "repeatable": repeatable}
        body |= {"payload": {"run_seconds": seconds}, "run_seconds": seconds}
        attempt = 0

        async def is_accepted() -> bool:
            nonlocal attempt
            attempt += 1
            members = MEMBERS if self.racing else (MEMBERS[attempt % 3],)
            calls = (
                self.deployment.call_caller_api("POST", m, "/v1/jobs", **body) for m in members
            )
            answers = await asyncio.gather(*calls)
            accepted = any(status == 201 for status, _, _ in answers)
            unclear = any(outcome != "not-run" for status, outcome, _ in answers if status != 201)
            report = self.jobs[name]
            self.jobs[name] = report._replace(accepted=accepted, unclear=report.unclear or unclear)
            return accepted

        await self.deployment.wait_until(is_accepted, f"acceptance of {name}", JOB_TIMEOUT_S)

    async def cancel(self, name: str) -> None:
        attempt = 0

        async def is_cancelled() -> bool:
            nonlocal attempt
            attempt += 1
            member = MEMBERS[attempt % 3]
            status, _, _ = await self.deployment.call_caller_api(
                "DELETE", member, f"/v1/jobs/{name}"
            )
            return status in (200, 202, 409)

        await self.deployment.wait_until(is_cancelled, f"cancellation of {name}", JOB_TIMEOUT_S)

    async def has_ended(self, name: str) -> bool:
        if name not in self.jobs or not self.jobs[name].accepted:
            return False
        for member in (self.other_member, *MEMBERS):
            status, _, job = await self.deployment.call_caller_api(
                "GET", member, f"/v1/jobs/{name}"
            )
            if status == 200:
                self.jobs[name] = self.jobs[name]._replace(state=job["state"])
                return job["ended"]
        return False

    async def append_records(self, count: int) -> None:
        """Sends keyed requests, each of which appends records to the data centre's stream."""
        work = []
        for _ in range(count):
            self._filler_requests += 1
            name = f"{self.token}-fill{self._filler_requests}"
            headers = {"Idempotency-Key": name, "Work-Seconds": "0.01"}
            path = f"booking/{name.partition(':')[2]}"
            work.append(self.deployment.send_request(self.other_member, path, **headers))
        await asyncio.gather(*work)

    async def expire_records(self, since: int) -> None:
        """Appends records until retention has removed all that existed at the call."""
        start_offsets = {name: self.get_next_offset(name) for name in ("global", STREAM)}

        async def are_expired() -> bool:
            await asyncio.gather(
                self.append_records(5),
                self.deployment.publish(self.other_member, **self.configuration_changes),
            )
            streams = (await self.deployment.read_record("log"))["streams"]
            return all(streams[name]["first"] > offset for name, offset in start_offsets.items())

        await self.deployment.wait_until(are_expired, "removal by retention", PLACEMENT_TIMEOUT_S)

    async def _choose_affected_member(self) -> None:
        if self.claim:
            self.affected_member = await self.deployment.find_holder(self.claim)
            self.affected_holds_claim = True
        self.other_member = next(member for member in MEMBERS if member != self.affected_member)

    async def _inject_faults(self, *, early: bool) -> None:
        for fault in self.cell.faults:
            if fault.early is early:
                await inject(self, fault.name)

    async def _run_step(self) -> None:
        if self.cell.step.name == "rejoin":
            await self._rejoin()
            return
        await self._inject_faults(early=True)
        await self.step.begin()
        await self.deployment.wait_until(
            self.step.is_under_way, "step under way", PLACEMENT_TIMEOUT_S
        )
        late = any(not fault.early for fault in self.cell.faults)
        if self.step.instant:
            await self.deployment.clock.sleep(self._rng.random() * MAX_DELAY)
        elif late and await self.step.is_done():
            self.problems.append("step: it ended before the faults were injected")
        await self._inject_faults(early=False)

    async def _rejoin(self) -> None:
        """Injects the faults before the restart, except those of the starting process."""
        names = [fault.name for fault in self.cell.faults]
        for name in names:
            if name not in FAULTS_OF_STARTING_HOST:
                await inject(self, name)
        await self.step.start()
        for name in names:
            if name in FAULTS_OF_STARTING_HOST:
                await inject(self, name)

    async def _await_step_end(self) -> None:
        """Waits for the end of the step under the faults, ends them, and waits again."""
        if self.cell.expected == "goes-on":
            await self.deployment.wait_until(
                self.step.is_done, self._describe_end(), STEP_TIMEOUT_S
            )
        else:
            await self.deployment.clock.sleep(FAULT_DURATION)
        if self.is_isolated() and await self.step.is_done():
            self.problems.append("rejoin: ready without state from log or peers")
        self._check_members_running()
        await self.deployment.heal()
        self.log_event("healed", "")
        await self.deployment.wait_until(self.step.is_done, self._describe_end(), STEP_TIMEOUT_S)

    def _check_members_running(self) -> None:
        """Checks that no entry host has exited, unless the cell kills one."""
        if any(fault.name == "entry-killed" for fault in self.cell.faults):
            return
        for name in MEMBERS:
            if not self.deployment.processes[name].is_running():
                self.problems.append(f"alive: {name} ended by itself")

    def is_isolated(self) -> bool:
        """Returns whether the starting process can reach neither the log nor a peer."""
        names = {fault.name for fault in self.cell.faults}
        return self.cell.step.name == "rejoin" and "cut-both" in names

    def _describe_end(self) -> str:
        return f"step {self.cell.step.name!r}: {self.cell.step.done}"

    async def run(self) -> list[str]:
        """Returns the violated promises; empty if the cell passes."""
        await self._choose_affected_member()
        pools = {host: (await self.deployment.read_host(host))["pool"] for host in WORKERS}
        operations = len((await self.deployment.read_record("pools"))["operations"])
        await self.observer.start()
        try:
            await self.step.prepare()
            await self._run_step()
            await self._await_step_end()
            await self.step.finish()
        except (TimeoutError, RuntimeError) as error:
            self.problems.append(f"step: {error}")
        try:
            self._check_members_running()
            await self.deployment.heal()
            await self._await_callers_and_jobs()
            self.reusable = await self.deployment.reset()
        except (TimeoutError, RuntimeError) as error:
            self.problems.append(f"step: recovery: {error}")
            self.reusable = False
        await self.observer.stop()
        await self._check_lost_answers()
        record = await self.deployment.read_record("pools")
        executions = read_executions(self.deployment.folder, self.started_at)
        return self.problems + check_cell(
            self, executions, record["operations"][operations:], pools
        )

    async def _check_lost_answers(self) -> None:
        """Checks that faults that lose answers lost one; otherwise they were not tested."""
        for fault in self.cell.faults:
            name, _, kind = fault.name.partition("-")
            if kind != "answers-lost":
                continue
            record = await self.deployment.read_record(name)
            entries = record["appends" if name == "log" else "operations"]
            lost = [e for e in entries if e["answer_lost"]]
            if not any(datetime.fromisoformat(e["at"]) >= self.started_at for e in lost):
                self.problems.append(f"step: the fault {fault.name} lost no answer")

    async def _await_callers_and_jobs(self) -> None:
        """Waits for the background tasks and for the end of every accepted job."""
        if self._background_tasks:
            done, pending = await asyncio.wait(self._background_tasks, timeout=STEP_TIMEOUT_S)
            self.problems += [f"step: {error}" for task in done if (error := task.exception())]
            if pending:
                self.problems.append(f"step: {len(pending)} callers did not end")
            for task in pending:
                task.cancel()
        accepted = [name for name, report in self.jobs.items() if report.accepted]

        async def are_ended() -> bool:
            for name in accepted:
                if not await self.has_ended(name):
                    return False
            return True

        await self.deployment.wait_until(are_ended, "end of every accepted job", JOB_TIMEOUT_S)
