"""Runs one cell: brings requests to a step, injects the faults, and checks the promises."""

from __future__ import annotations

import asyncio
import contextlib
import random
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

from matrix.caller import Caller, RequestSpec
from matrix.deployment import MEMBERS, SLOTS, TARGETS
from matrix.faults import (
    BEFORE_PLACEMENT,
    SHORT_DEADLINE_S,
    VIA_TARGET_CALL,
    create_sync_point,
    inject,
)
from matrix.judge import CellEvidence, WorkerRecords, check_cell, check_safety

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from matrix.deployment import Deployment
    from matrix.table import Cell

MODES = ("plain", "repeatable", "keyed")
DEADLINE_S = 10.0
PLACEMENT_TIMEOUT_S = 10.0
COMPLETION_TIMEOUT_S = 60.0
SLOW_SECONDS = 4.0  # Longer than the time within which a silent connection is detected.
DETECTION_DELAY_S = 0.2  # Time to detect a fault before the requests continue.
LARGE_ANSWER_BYTES = 12 * 1024 * 1024  # Exceeds the socket buffers along the path.
# The part that callers send before they pause, an eighth of it for slow ones, exceeds what an entry
# host collects before it starts a request, so that they pause while it is sent to a target.
LARGE_BODY_BYTES = 2_400_000
STAGES = {"accept": "head", "admit": "body", "send": "body", "answer": "answer"}


class CellRun:
    """One run of one cell.

    Parameters
    ----------
    cell : Cell
    deployment : Deployment
        Deployment that serves the requests.
    worker_records : WorkerRecords
        Executions that the workers of the deployment recorded.
    token : str
        Prefix of the requests' tokens, unique within the deployment.
    seed : int
        Seed of the random choices of the cell.
    """

    modes = MODES

    def __init__(
        self,
        cell: Cell,
        deployment: Deployment,
        worker_records: WorkerRecords,
        token: str,
        seed: int,
    ) -> None:
        self.cell = cell
        self.deployment = deployment
        self.clock = deployment.clock
        self.token = token
        self.seed = seed
        self.target = TARGETS[0]
        self.callers: list[Caller] = []
        self.background_callers: list[Caller] = []
        self.injected_at: dict[str, datetime] = {}
        self.paused_targets: set[str] = set()
        self.stop_status: int | None = None
        self.reusable = False
        self._worker_records = worker_records
        self._rng = random.Random(f"{seed}:{cell.name}")
        self._tasks: list[asyncio.Task[Any]] = []
        self._start_offsets: dict[str, int] = {}

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _list_addresses(self, number: int) -> list[str]:
        names = MEMBERS[number % 3 :] + MEMBERS[: number % 3]
        return [self.deployment.get_address(name, "caller") for name in names]

    def start_background_caller(self, spec: RequestSpec, number: int) -> Caller:
        """Starts a request for which only the safety promises are checked."""
        caller = Caller(spec, self._list_addresses(number), create_sync_point(""), self.clock)
        self.background_callers.append(caller)
        self.spawn(caller.run())
        return caller

    def _build_spec(self, number: int) -> RequestSpec:
        step, mode = self.cell.step.name, MODES[number % 3]
        body = {"admit": 1000, "send": LARGE_BODY_BYTES}.get(step, 0)
        work = {"wait": 1.0, "receive": 0.02}.get(step, 0.1)
        names = [fault.name for fault in self.cell.faults]
        declared = work * (50 if number % 2 else 0.02) if "declared-wrong" in names else 0.0
        deadline = DEADLINE_S
        if "deadline-passes" in names:
            deadline = SHORT_DEADLINE_S
            work = 2.0 if step == "wait" else work
        method = "POST" if mode != "plain" else "PUT" if body else "GET"
        size = LARGE_ANSWER_BYTES if step == "answer" else 0
        delay = (2.0 if deadline < DEADLINE_S else 0.6) if step == "receive" else 0.0
        payload = self._rng.randbytes(body)
        return RequestSpec(
            f"{self.token}-{number}", mode, method, work, size, delay, payload, deadline, declared
        )

    def _start_callers(self) -> None:
        stage = STAGES.get(self.cell.step.name, "")
        entry = any(fault.domain == "entry" for fault in self.cell.faults)
        for number in range(3 if stage == "answer" else 6):
            # Faults of an entry host affect the first one, so all requests go there.
            addresses = self._list_addresses(0 if entry else number // 3)
            spec = self._build_spec(number)
            self.callers.append(Caller(spec, addresses, create_sync_point(stage), self.clock))
            names = [fault.name for fault in self.cell.faults]
            if "caller-slow" in names:
                self.callers[-1].duplicate_after_seconds = PLACEMENT_TIMEOUT_S
                self.callers[-1].sync_point.slow_seconds = SLOW_SECONDS
            if "deadline-passes" in names:
                self.callers[-1].max_retries = 1
            self.spawn(self.callers[-1].run())

    async def _place(self) -> None:
        """Starts the requests and waits until they have reached the step."""
        await _PLACEMENTS.get(self.cell.step.name, CellRun._place_at_sync_point)(self)

    async def _place_at_sync_point(self) -> None:
        self._start_callers()
        for caller in self.callers:
            await asyncio.wait_for(caller.sync_point.reached.wait(), PLACEMENT_TIMEOUT_S)

    async def _place_queued(self) -> None:
        blocker = RequestSpec("", "plain", "GET", 1.0, 0, 0.0, b"", DEADLINE_S)
        for number in range(SLOTS * len(TARGETS)):
            self.start_background_caller(
                blocker._replace(token=f"{self.token}-blocker{number}"), number
            )
        await self._wait_for_runs(self.background_callers)
        await self._place_sent()

    async def _place_sent(self) -> None:
        self._start_callers()
        for caller in self.callers:
            await asyncio.wait_for(caller.sync_point.sent.wait(), PLACEMENT_TIMEOUT_S)
        await asyncio.sleep(self._rng.uniform(0, 0.005))

    async def _place_unread(self) -> None:
        for target in TARGETS:
            self.deployment.pause(target)
        self._start_callers()
        await self.deployment.wait_until(
            self._has_unread_data, "data that targets have not read", 1.0
        )

    def _has_unread_data(self) -> bool:
        """Returns whether a target has unread data, according to the kernel's socket table."""
        ports = {int(self.deployment.get_address(t).rpartition(":")[2]) for t in TARGETS}
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            unread = int(fields[4].partition(":")[2], 16)
            if unread and int(fields[1].partition(":")[2], 16) in ports:
                return True
        return False

    async def _place_receiving(self) -> None:
        await self._place_at_sync_point()
        await self.deployment.wait_until(
            self._is_receiving, "partly received bodies", PLACEMENT_TIMEOUT_S
        )

    async def _is_receiving(self) -> bool:
        counts = {}
        for target in TARGETS:
            receiving = (await self.deployment.read_status(target)).get("receiving", {})
            counts[target] = sum(size > 0 for size in receiving.values())
        self.target = max(TARGETS, key=counts.get)
        return sum(counts.values()) >= len(self.callers)

    async def _place_running(self) -> None:
        self._start_callers()
        await self._wait_for_runs(self.callers)

    async def _place_finished(self) -> None:
        self._start_callers()
        await self._wait_for_runs(self.callers, ended=True)

    async def _wait_for_runs(self, callers: list[Caller], *, ended: bool = False) -> None:
        def is_placed() -> bool:
            self._worker_records.update()
            runs = [self._worker_records.list_runs(caller.spec.token) for caller in callers]
            return all(found and (found[0].ended or not ended) for found in runs)

        await self.deployment.wait_until(is_placed, "requests at their step", PLACEMENT_TIMEOUT_S)
        self.target = self._worker_records.list_runs(callers[0].spec.token)[0].host

    async def _inject_faults(self, *, before_placement: bool) -> None:
        names = BEFORE_PLACEMENT
        if self.cell.step.name == "connect":
            # The targets are paused during placement and cannot receive fault calls.
            names = names + VIA_TARGET_CALL
        for fault in self.cell.faults:
            if (fault.name in names) is before_placement:
                await inject(self, fault.name)

    def _release_callers(self) -> None:
        """Lets the requests continue from their step."""
        for caller in self.callers:
            caller.sync_point.released.set()
        if self.cell.step.name == "connect":
            for target in set(TARGETS) - self.paused_targets:
                if self.deployment.processes[target].is_running():
                    self.deployment.resume(target)

    async def run(self) -> list[str]:
        """Returns the violated promises; empty if the cell passes."""
        self._start_offsets = await self._read_end_offsets()
        problems = []
        try:
            await self._inject_faults(before_placement=True)
            await self._place()
            await self._inject_faults(before_placement=False)
            await asyncio.sleep(DETECTION_DELAY_S)
            self._release_callers()
            await self._finish()
        except (TimeoutError, RuntimeError) as error:
            problems.append(f"placement: {error!r}")
            self._release_callers()
            await self._finish()
        try:
            self.reusable = await self.deployment.reset()
        except (TimeoutError, RuntimeError) as error:
            problems.append(f"recovery: {error}")
        return problems + await self._check()

    async def _finish(self) -> None:
        """Waits for all callers and for the tasks that the faults started."""
        done, pending = await asyncio.wait(self._tasks, timeout=COMPLETION_TIMEOUT_S)
        for task in pending:
            task.cancel()
        if pending:
            raise RuntimeError(
                f"{len(pending)} callers or fault tasks did not end before the time-out"
            )
        for task in done:
            if not task.cancelled():
                task.result()

    async def _read_end_offsets(self) -> dict[str, int]:
        record = await self.deployment.read_record("log")
        return {name: stream["end"] for name, stream in record["streams"].items()}

    async def _check(self) -> list[str]:
        records = await self._read_records()
        drain_started_at = await self._find_drain()
        evidence = CellEvidence(
            self.injected_at, self.target, drain_started_at, self.stop_status, records
        )
        self._worker_records.update()
        return check_cell(
            self.cell, self.callers, self.background_callers, self._worker_records, evidence
        )

    async def _read_records(self) -> list[dict[str, Any]]:
        """Returns the log's records since the start of the cell.

        Waits for the grants of all keyed requests that ran.
        """
        found: list[dict[str, Any]] = []
        self._worker_records.update()
        keys = {caller.spec.key for caller in self.callers if caller.spec.key}
        keys = {key for key in keys if self._worker_records.list_runs(key.partition(":")[2])}

        async def has_grants() -> bool:
            found.clear()
            for name, offset in self._start_offsets.items():
                found.extend(r["record"] for r in await self.deployment.read_log(name, offset))
            return keys <= {r["body"].get("key") for r in found if r["type"] == "key_granted"}

        with contextlib.suppress(TimeoutError):  # ``check_granted`` reports missing grants.
            await self.deployment.wait_until(has_grants, "grants in the log", 5.0)
        return found

    async def _find_drain(self) -> datetime | None:
        """Returns the time at which the drain began; None if it did not begin.

        That is the time at which its record was appended to the log. A drain waits for unreachable
        entry hosts (design page, section 5.2), so under faults of entry hosts it is the time of the
        pools service's operation.
        """
        if "target-drain" not in self.injected_at:
            return None
        if any(fault.domain == "entry" for fault in self.cell.faults):
            operations = (await self.deployment.read_record("pools"))["operations"]
            drain_times = [
                datetime.fromisoformat(o["at"]) for o in operations if o["kind"] == "drain"
            ]
            since = self.injected_at["target-drain"]
            return next((moment for moment in drain_times if moment >= since), None)
        stream = "dc.umea"
        items = await self.deployment.read_log(stream, self._start_offsets[stream])
        offsets = [i["offset"] for i in items if i["record"]["type"] == "host_drain_started"]
        appends = (await self.deployment.read_record("log"))["appends"]
        for entry in appends:
            covers = offsets and entry["first"] <= offsets[0] < entry["end"]
            if entry["stream"] == stream and covers:
                return datetime.fromisoformat(entry["at"])
        return None

    def recheck_safety(self) -> list[str]:
        """Checks the safety promises again after later cells have run."""
        self._worker_records.update()
        return check_safety([*self.callers, *self.background_callers], self._worker_records)


_PLACEMENTS = {
    "queue": CellRun._place_queued,
    "pick": CellRun._place_sent,
    "connect": CellRun._place_unread,
    "send": CellRun._place_receiving,
    "wait": CellRun._place_running,
    "receive": CellRun._place_finished,
}
