"""One run of the soak: entry hosts as processes, callers, random faults, and the checks."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter, defaultdict
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import aiohttp
from platform_builders import (
    HOST,
    PREFIX,
    SERVICE,
    build_identifier,
    build_job,
    build_operator_configuration,
    build_route,
)
from soak_counts import CountWatch
from soak_faults import FaultProxy, get_faults
from soak_lasting import LongRunningWatch, SoakWorker
from soak_short import COMPLETION_LIMIT_S, ShortJobWatch
from soak_store import CheckedStore

from carawayshore_standins.ports import PortReserver
from carawayshore_standins.processes import ManagedProcess, ProcessSpec

# Time until every entry host shows an accepted job, as bounded in docs/platform.md.
VISIBILITY_DELAY_S = 3.0
# Time until a cancelled job starts no more tasks, as bounded in docs/platform.md.
CANCELLATION_DELAY_S = 3.0
# Time after the last fault within which every accepted job has to complete.
COMPLETION_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 5
TASK_DURATION_S = 0.4
CANCELLATION_SHARE = 0.1
# Share of the jobs whose first task crashes its workers, since edition 3.
CRASHING_SHARE = 0.04
# Workers that may crash under one task: three, and those of two further starts.
MAX_CRASHES = 5
# Crashes under one task after which its job may be given up.
GIVE_UP_CRASHES = 2
# Interval at which workers write their entries, since edition 3.
BEAT_S = 1.5
# Time from the end of a worker's process to the removal of its entry: three beats.
ENTRY_LIFETIME_S = 4.5
# Numbers of tasks of the long-running jobs, since edition 4. The first one fills two workers.
LONG_RUNNING_TASKS = (13, 2)
# Numbers of steps that callers choose from, since edition 5.
STEP_COUNTS = (1, 1, 2, 3)
# Workers that are added since edition 5, so that short jobs use less than half of the service.
FURTHER_WORKERS = 5
# Faults of this duration are followed by a calm time, since edition 4.
SERIES_S = 10.0
# Time from a series of faults to the loss of a worker that follows it.
SETTLING_TIME_S = 3.0
# Time without further faults in which long-running tasks have to run again.
CALM_TIME_S = 14.0
# The same since edition 5, in which short jobs are judged from up to 12.4 s on.
LONG_CALM_TIME_S = 20.0
# Time after each calm time in which no worker takes start orders, since edition 6.
UNHEALTHY_TIME_S = 9.0


class SoakPlan(NamedTuple):
    """Seed, duration and size of a run.

    Since edition 2, the time of day of hosts jumps, and workers are so small that they fill up.
    Workers start whatever they are told, so that only the owner keeps their capacity. Since edition
    3, the configuration says so, their capacity changes, and some tasks crash them. Since edition
    4, there are long-running jobs, workers leave for good, and a calm time follows each series.
    Since edition 5, jobs have up to three steps, and there are twice as many workers. Since edition
    6, workers reject or ignore start orders for a time, also all of them while owners change.
    """

    seed: int
    seconds: float = 15.0
    hosts: int = 4
    workers: int = 5
    callers: int = 6
    edition: int = 6

    @property
    def worker_cores(self) -> int:
        return {1: 16, 2: 3, 3: 3}.get(self.edition, 6)

    @property
    def worker_count(self) -> int:
        return self.workers + (FURTHER_WORKERS if self.edition >= 5 else 0)

    @property
    def calm_seconds(self) -> float:
        """Duration of the calm time after each series."""
        return LONG_CALM_TIME_S if self.edition >= 5 else CALM_TIME_S

    @property
    def total_seconds(self) -> float:
        """Duration of all series, with the times after them."""
        calm_times = len(self.series) if self.edition >= 4 else 0
        unhealthy_seconds = UNHEALTHY_TIME_S if self.edition >= 6 else 0.0
        return self.seconds + calm_times * (SETTLING_TIME_S + self.calm_seconds + unhealthy_seconds)

    @property
    def series(self) -> list[float]:
        """Durations of the series of faults."""
        count = 1 if self.edition < 4 else max(1, round(self.seconds / SERIES_S))
        return [self.seconds / count] * count


class Job:
    """State of one job as its caller knows it; times are those of the event loop.

    Each of its ``steps`` has ``tasks`` tasks and waits for the step before it.
    """

    def __init__(self, identifier: str, tasks: int, steps: int = 1) -> None:
        self.identifier = identifier
        self.tasks = tasks
        self.steps = steps
        self.accepted_at: float | None = None
        self.cancelled_at: float | None = None
        self.is_being_cancelled = False
        self.outcome_unknown = False
        self.rejected = False
        self.completed = False
        self.is_crashing = False
        self.is_long_running = False

    @property
    def task_count(self) -> int:
        return self.tasks * self.steps


class SoakDeployment:
    """A store, workers behind proxies, and entry hosts as processes."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.store = CheckedStore()
        self.workers: list[SoakWorker] = []
        self.crashing_tasks: set[str] = set()
        self.long_running_jobs: set[str] = set()
        self.links: dict[str, FaultProxy] = {}
        self.hosts: dict[str, ManagedProcess] = {}
        # Several faults may start the same host again at once.
        self._start_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.caller_addresses: dict[str, str] = {}
        self.configuration_version = 0
        self._worker_addresses: dict[str, str] = {}
        self._beating: asyncio.Future[None] | None = None
        # Absolute, since the hosts read their shifts from it as well.
        self._folder = folder.resolve()
        self._ports = PortReserver()

    async def start(self) -> None:
        store = self._ports.reserve()
        await self.store.start(store)
        self.publish_configuration()
        for _ in range(self.plan.worker_count):
            await self.add_worker()
        if self.plan.edition >= 3:
            self._beating = asyncio.ensure_future(self._write_entries())
        for number in range(self.plan.hosts):
            name = f"entry-{number}"
            link = await self._add_link(f"{name} to the store", store)
            self.hosts[name] = ManagedProcess(self._plan_host(name, link, number), self._folder)
            await self.start_host(name)

    async def add_worker(self) -> None:
        address = self._ports.reserve()
        name = f"w{len(self.workers)}"
        worker = SoakWorker(name, SERVICE, address, run_seconds=TASK_DURATION_S)
        worker.millicores = self.plan.worker_cores * 1000
        worker.crashing_tasks = self.crashing_tasks
        worker.long_running_jobs = self.long_running_jobs
        await worker.start()
        self.workers.append(worker)
        self._worker_addresses[name] = await self._add_link(name, address)
        self.write_entry(worker)

    async def remove_worker(self, worker: SoakWorker) -> None:
        """Ends a worker for good; its entry is removed later."""
        await worker.leave()
        asyncio.get_running_loop().call_later(
            ENTRY_LIFETIME_S, self.store.put, "keyed.servers", worker.name, None
        )

    def find_busiest_worker(self) -> SoakWorker:
        """Returns the worker with the most long-running tasks."""
        return max(self.list_present_workers(), key=SoakWorker.count_long_running)

    def end_pending_faults(self) -> None:
        """Ends the faults that would hit calls to come."""
        self.store.lose_answers = 0
        for worker in self.workers:
            worker.lose_start_responses = 0
            worker.unhealthy_status = 0

    def list_present_workers(self) -> list[SoakWorker]:
        return [worker for worker in self.workers if not worker.gone]

    def write_entry(self, worker: SoakWorker) -> None:
        entry = worker.describe() | {"address": self._worker_addresses[worker.name]}
        if self.plan.edition >= 3:
            # Only workers that write their entries again can tell their present start there.
            entry["born"] = worker.incarnation
        self.store.put("keyed.servers", worker.name, entry)

    async def _write_entries(self) -> None:
        while True:
            for worker in self.list_present_workers():
                self.write_entry(worker)
            await asyncio.sleep(BEAT_S)

    async def _add_link(self, name: str, upstream: str) -> str:
        link = FaultProxy(self._ports.reserve(), upstream)
        await link.start()
        self.links[name] = link
        return link.address

    def _plan_host(self, name: str, store: str, number: int) -> ProcessSpec:
        def find_port() -> int:
            return int(self._ports.reserve().rpartition(":")[2])

        settings = {
            "member": name,
            "data_centre": "umea",
            "caller_address": self._ports.reserve(),
            "ready_address": self._ports.reserve(),
            "peer_host": "127.0.0.1",
            "peer_port": find_port(),
            "metrics_port": find_port(),
            "store": store,
            "partitions": self.store.partition_count,
            "seed": self.plan.seed * 100 + number + 1,
        }
        self.caller_addresses[name] = settings["caller_address"]
        return ProcessSpec(name, "features.soak_host", settings, "", {}, ("--platform",))

    def shift_time_of_day(self, name: str, seconds: float) -> None:
        """Shifts the time of day of an entry host."""
        (self._folder / f"{name}.jump").write_text(str(seconds))

    async def start_host(self, name: str) -> None:
        async with self._start_locks[name]:
            if not self.hosts[name].is_running():
                await self.hosts[name].start()

    def publish_configuration(self) -> None:
        """Publishes the next configuration version, which adds a queue."""
        self.configuration_version += 1
        routes = [build_route()]
        routes += [
            build_route(f"/extra{number}/", name=f"extra{number}")
            for number in range(self.configuration_version - 1)
        ]
        document = build_operator_configuration(self.configuration_version, *routes)
        document["services"][0]["rejectsOverload"] = self.plan.edition < 3
        self.store.put("keyed.op", "config", document)

    async def stop(self) -> None:
        if self._beating is not None:
            self._beating.cancel()
        for host in self.hosts.values():
            await host.kill()
        for link in self.links.values():
            link.close()
        for worker in self.list_present_workers():
            await worker.stop()
        await self.store.stop()
        self._ports.release()


class SoakRun:
    """Runs callers and faults of one seed and checks the promises.

    Parameters
    ----------
    plan : SoakPlan
        Seed, duration and size of the run.
    folder : Path
        Folder of the entry hosts' logs.
    """

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.deployment = SoakDeployment(plan, folder)
        self.jobs: list[Job] = []
        self.findings: list[str] = []
        self.faults: list[str] = []
        self.response_counts: Counter[str] = Counter()
        self.long_running_jobs: list[Job] = []
        self.watch = LongRunningWatch(
            self.long_running_jobs, self.deployment.workers, self._measure_calm_seconds
        )
        self.short_watch = ShortJobWatch(
            self.jobs,
            self.deployment.workers,
            self._measure_calm_seconds,
            self.deployment.store.get_generation,
        )
        self.count_watch = CountWatch(
            self.jobs,
            self.deployment.workers,
            self._ask_count,
            lambda: sorted(self.deployment.hosts),
        )
        self._random = Random(plan.seed)
        # Time since which no fault has been injected, None outside of calm times.
        self._calm_since: float | None = None
        self._crash_count = 0
        self._session: aiohttp.ClientSession | None = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        await self.deployment.start()
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as self._session:
            await asyncio.sleep(1.5)
            if self.plan.edition >= 4:
                async with asyncio.timeout(COMPLETION_TIMEOUT_S):
                    await self._submit_long_running_jobs()
            watching = asyncio.ensure_future(self.watch.watch())
            watching_short = asyncio.ensure_future(self.short_watch.watch())
            ends_at = self._now() + self.plan.total_seconds
            seeds = [self._random.getrandbits(32) for _ in range(self.plan.callers + 2)]
            callers = [
                self._run_caller(Random(seed), number, ends_at)
                for number, seed in enumerate(seeds[2:])
            ]
            await asyncio.gather(*callers, self._inject_series([Random(s) for s in seeds[:2]]))
            watching.cancel()
            await self._await_completion()
            watching_short.cancel()
        await self.deployment.stop()
        self._check_runs()

    async def _submit_long_running_jobs(self) -> None:
        for number, tasks in enumerate(LONG_RUNNING_TASKS, 1):
            job = Job(build_identifier(number), tasks)
            job.is_long_running = True
            self.jobs.append(job)
            self.long_running_jobs.append(job)
            self.deployment.long_running_jobs.add(job.identifier)
            while job.accepted_at is None:
                await self._submit(job, self._random)
            job.rejected = False

    def _measure_calm_seconds(self) -> float:
        """Returns for how long there has been no fault; a crash under a task is one."""
        crash_count = sum(worker.crash_count for worker in self.deployment.workers)
        if self._calm_since is not None and crash_count != self._crash_count:
            self._calm_since = self._now()
        self._crash_count = crash_count
        return self._now() - self._calm_since if self._calm_since is not None else 0.0

    async def _inject_series(self, randoms: list[Random]) -> None:
        """Injects each series of faults, and since edition 4 observes a calm time after it.

        A worker leaves for good under long-running tasks at its beginning.
        """
        for seconds in self.plan.series:
            ends_at = self._now() + seconds
            await asyncio.gather(*(self._inject(random, ends_at) for random in randoms))
            if self.plan.edition >= 4:
                self.deployment.end_pending_faults()
                await asyncio.sleep(SETTLING_TIME_S)
                worker = self.deployment.find_busiest_worker()
                await self.deployment.remove_worker(worker)
                self.faults.append(f"{self._now():.2f}: {worker.name} gone; a calm time begins")
                self._calm_since = self._now()
                await asyncio.sleep(self.plan.calm_seconds)
                self._calm_since = None
                if self.plan.edition >= 6:
                    await self._deny_starts(randoms[0])
                await self.deployment.add_worker()

    async def _deny_starts(self, random: Random) -> None:
        """Has no worker take start orders for a time, while the partitions change their owners."""
        watching = asyncio.ensure_future(self.count_watch.watch())
        workers = self.deployment.list_present_workers()
        for worker in workers:
            worker.unhealthy_status = random.choice([503, 429, 0])
            worker.ignores_starts = not worker.unhealthy_status
        change_after = random.uniform(0.0, UNHEALTHY_TIME_S)
        self.faults.append(f"{self._now():.2f}: no worker takes orders for {UNHEALTHY_TIME_S} s")
        await asyncio.sleep(change_after)
        self.deployment.store.rotate_owners("owners")
        self.faults.append(f"{self._now():.2f}: deal-anew")
        await asyncio.sleep(UNHEALTHY_TIME_S - change_after)
        for worker in workers:
            worker.unhealthy_status, worker.ignores_starts = 0, False
        watching.cancel()

    async def _inject(self, random: Random, ends_at: float) -> None:
        """Injects faults sequentially; two such sequences run in parallel, so faults overlap."""
        faults = get_faults(self.plan.edition)
        while self._now() < ends_at:
            await asyncio.sleep(random.uniform(0.1, 1.5))
            name = random.choice(sorted(faults))
            started_at = self._now()
            affected = await faults[name](self.deployment, random)
            self.faults.append(f"{started_at:.2f} to {self._now():.2f}: {name} {affected}")

    async def _call(self, method: str, identifier: str, host: str, document: Any = None):
        """Returns status, body and headers of a call; the status is 0 without an answer."""
        url = f"http://{self.deployment.caller_addresses[host]}{PREFIX}{identifier}"
        headers = {"Host": HOST, "Timeout-Ms": str(int(CALL_TIMEOUT_S * 1000))}
        try:
            async with self._session.request(method, url, json=document, headers=headers) as answer:
                result = answer.status, await answer.json(), dict(answer.headers)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            result = 0, None, {}
        self.response_counts[f"{method} {result[0] or 'none'}"] += 1
        return result

    async def _run_caller(self, random: Random, caller: int, ends_at: float) -> None:
        count = 0
        while self._now() < ends_at:
            count += 1
            job = Job(build_identifier((caller + 1) * 100_000 + count), random.randint(1, 4))
            if self.plan.edition >= 5:
                job.steps = random.choice(STEP_COUNTS)
            self.jobs.append(job)
            is_crashing = self.plan.edition >= 3 and random.random() < CRASHING_SHARE
            if is_crashing and self._calm_since is None:
                job.is_crashing = True
                self.deployment.crashing_tasks.add(f"{job.identifier}.0.0.0")
            await self._submit(job, random)
            if job.accepted_at is not None:
                if random.random() < CANCELLATION_SHARE:
                    await self._cancel(job, random)
                else:
                    await self._poll_until_completed(job, random, ends_at)
            await asyncio.sleep(random.uniform(0.0, 0.3))

    async def _ask_count(self, host: str) -> int | None:
        status, document, _ = await self._call("GET", "", host)
        return document["pending"] if status == 200 else None

    def _choose_host(self, random: Random) -> str:
        return random.choice(sorted(self.deployment.hosts))

    async def _submit(self, job: Job, random: Random) -> None:
        options = (
            {"longRunning": True, "mayMiss": 1}
            if job.is_long_running
            else {"estimateMs": int(TASK_DURATION_S * 1000)}
        )
        document = build_job(job.tasks, **options)
        (step,) = document["steps"]
        document["steps"] += [step | {"after": [number]} for number in range(job.steps - 1)]
        for _ in range(MAX_ATTEMPTS):
            status, _, headers = await self._call(
                "POST", job.identifier, self._choose_host(random), document
            )
            if status == 200:
                job.accepted_at = self._now()
                return
            if status not in (429, 503):
                job.outcome_unknown = True
            await asyncio.sleep(min(1.0, float(headers.get("Retry-After", 0.2))))
        job.rejected = not job.outcome_unknown

    async def _cancel(self, job: Job, random: Random) -> None:
        job.is_being_cancelled = True
        status, _, _ = await self._call("DELETE", job.identifier, self._choose_host(random))
        job.cancelled_at = self._now()
        job.outcome_unknown = status not in (200, 410)

    async def _poll_until_completed(self, job: Job, random: Random, ends_at: float) -> None:
        while self._now() < ends_at and not job.completed:
            await self._poll(job, self._choose_host(random))
            await asyncio.sleep(random.uniform(0.2, 0.6))

    async def _poll(self, job: Job, host: str) -> bool:
        """Reads the state of a job; returns whether there was one."""
        status, document, _ = await self._call("GET", job.identifier, host)
        if status == 410 and self._now() - job.accepted_at > VISIBILITY_DELAY_S:
            self.findings.append(f"LOST: {job.identifier} is not known at {host}")
        if status != 200:
            return False
        state = document["state"]
        if state == "completed":
            job.completed = True
            self._check_completed(job)
        elif state == "failed" and self._may_be_given_up(job):
            job.completed = True
        elif state in ("failed", "cancelled"):
            self.findings.append(f"LOST: {job.identifier} is shown as {state} at {host}")
            job.completed = True
        return True

    async def _await_completion(self) -> None:
        """Restarts the entry hosts and polls all accepted jobs until they are completed."""
        for name in self.deployment.hosts:
            await self.deployment.start_host(name)
        self._calm_since = self._now()
        deadline = self._now() + COMPLETION_TIMEOUT_S
        random = Random(self.plan.seed)

        def list_incomplete() -> list[Job]:
            return [
                job
                for job in self.jobs
                if job.accepted_at is not None and job.cancelled_at is None and not job.completed
                if not job.is_long_running
            ]

        while list_incomplete() and self._now() < deadline:
            for job in list_incomplete():
                await self._poll(job, self._choose_host(random))
            await asyncio.sleep(0.3)
        for job in self.long_running_jobs:
            while self._now() < deadline:
                if await self._poll(job, self._choose_host(random)):
                    break
                await asyncio.sleep(0.3)
            else:
                self.findings.append(f"LOST: the state of {job.identifier} cannot be read")
        self.findings += [
            f"LOST: {job.identifier} is not completed {COMPLETION_TIMEOUT_S:.0f} s after the last"
            " fault"
            for job in list_incomplete()
        ]

    # -- checks ----------------------------------------------------------------------------------

    def _count_completions(self, identifier: str) -> Counter[str]:
        """Returns the number of successful runs of each task of a job."""
        return Counter(
            task
            for worker in self.deployment.workers
            for task, _, result, _ in worker.ends
            if result == "done" and task.startswith(identifier)
        )

    def _may_be_given_up(self, job: Job) -> bool:
        """Returns whether enough workers have crashed under one of the tasks of a job."""
        crashes = Counter(
            task
            for worker in self.deployment.workers
            for task, _, result, _ in worker.ends
            if result == "crashed" and task.startswith(job.identifier)
        )
        return max(crashes.values(), default=0) >= GIVE_UP_CRASHES

    def _check_completed(self, job: Job) -> None:
        if len(self._count_completions(job.identifier)) < job.task_count:
            self.findings.append(f"MIXED: {job.identifier} is completed before all its tasks")

    def _check_runs(self) -> None:
        """Checks the workers' records against the answers that the callers got."""
        runs: dict[str, list[tuple[float, float, str, int]]] = {}
        acknowledged: dict[str, float] = {}
        for worker in self.deployment.workers:
            ended = {(task, run): at for task, run, _, at in worker.ends}
            for start in worker.starts:
                end = ended.get((start.task, start.run), float("inf"))
                runs.setdefault(start.task, []).append(
                    (start.started_at, end, worker.name, start.run)
                )
            done = {(task, run) for task, run, result, _ in worker.ends if result == "done"}
            for key in done & set(worker.acknowledged):
                at = worker.acknowledged[key]
                acknowledged[key[0]] = min(at, acknowledged.get(key[0], at))
        for task, items in runs.items():
            items.sort()
            for (_, end, first, _), (started_at, _, second, run) in zip(
                items, items[1:], strict=False
            ):
                if started_at < end:
                    self.findings.append(f"TWICE: {task} ran on {first} and {second} (run {run})")
            if task in acknowledged and items[-1][0] > acknowledged[task]:
                self.findings.append(f"TWICE: {task} began after its end was acknowledged")
        self._check_starts(runs)
        self._check_batches()
        self._check_long_running_tasks()
        self._check_short_jobs()
        self._check_capacity()
        self._check_crashes()
        self.findings += self.count_watch.findings

    def _check_batches(self) -> None:
        """Checks that no batch of records arrived under the number of another one."""
        self.findings += [
            f"LOST: a batch under the number of another one: {number}"
            for number in self.deployment.store.reused_numbers
        ]

    def _check_long_running_tasks(self) -> None:
        """Checks that no long-running task stayed away in calm times with room for it."""
        given_up = {job.identifier for job in self.long_running_jobs if job.completed}
        self.findings += [
            f"LOST: {task} did not run again after {last:.2f}"
            for task, last in self.watch.missing.items()
            if task.partition(".")[0] not in given_up
        ]

    def _check_short_jobs(self) -> None:
        """Checks that no short job stood still in calm with room, and that all ended in time."""
        self.findings += [f"LOST: {text}" for text in self.short_watch.overdue.values()]
        self.findings += [
            f"LOST: {identifier} had not ended after {COMPLETION_LIMIT_S:.0f} s of calm"
            for identifier in sorted(self.short_watch.unfinished)
        ]

    def _check_crashes(self) -> None:
        """Checks that no task went on crashing its workers."""
        crashing = {f"{job.identifier}.0.0.0" for job in self.jobs if job.is_crashing}
        starts = Counter(
            start.task
            for worker in self.deployment.workers
            for start in worker.starts
            if start.task in crashing
        )
        self.findings += [
            f"BUDGET: {task} was started {count} times, and crashed its worker each time"
            for task, count in starts.items()
            if count > MAX_CRASHES
        ]

    def _check_capacity(self) -> None:
        """Checks that no start brought a worker over its capacity; each task uses one core."""
        for worker in self.deployment.workers:
            if self.plan.edition >= 3:
                self.findings += [f"LIMIT: {task} at {worker.name}" for task, _ in worker.overloads]
                continue
            ended = {(task, run): at for task, run, _, at in worker.ends}
            spans = [
                (start.started_at, ended.get((start.task, start.run), float("inf")))
                for start in worker.starts
            ]
            for started_at, _ in spans:
                running = sum(begun <= started_at < end for begun, end in spans)
                if running > self.plan.worker_cores:
                    self.findings.append(f"LIMIT: {worker.name} ran {running} tasks at once")

    def _check_starts(self, runs: dict[str, list[tuple[float, float, str, int]]]) -> None:
        jobs = {job.identifier: job for job in self.jobs}
        for task, items in runs.items():
            job = jobs.get(task.partition(".")[0])
            if job is None:
                self.findings.append(f"UNASKED: {task} began, and nobody submitted its job")
            elif job.rejected:
                self.findings.append(f"REFUSED: {task} began, and all attempts were rejected")
            elif self._started_after_cancellation(job, items[-1][0]):
                self.findings.append(f"UNASKED: {task} began after its job was cancelled")

    def _started_after_cancellation(self, job: Job, started_at: float) -> bool:
        """Returns whether a task started too long after its job's acknowledged cancellation."""
        if job.cancelled_at is None or job.outcome_unknown:
            return False
        return started_at > job.cancelled_at + CANCELLATION_DELAY_S

    def describe(self) -> dict[str, Any]:
        """Returns the results of the run as a JSON-serializable object."""
        return {
            "seed": self.plan.seed,
            "jobs": len(self.jobs),
            "accepted": sum(job.accepted_at is not None for job in self.jobs),
            "completed": sum(job.completed for job in self.jobs),
            "answers": dict(self.response_counts),
            "faults": len(self.faults),
            "restarts": self.watch.restart_count,
            "steps": dict(Counter(job.steps for job in self.jobs if job.accepted_at is not None)),
            "judged_s": round(self.short_watch.calm_seconds, 1),
            "longest_idle_s": round(max(self.short_watch.longest.values(), default=0.0), 2),
            "longest_idle_in_calm_s": round(self.short_watch.longest_in_calm_s, 2),
            "judged_counts": self.count_watch.judged,
            "findings": self.findings,
        }


async def run_seed(plan: SoakPlan, folder: Path) -> SoakRun:
    """Runs one seed and returns the finished run; the hosts' logs are in ``folder``."""
    run = SoakRun(plan, folder)
    try:
        await run.run()
    finally:
        for host in run.deployment.hosts.values():
            await host.kill()
    return run


def run_seed_in_folder(plan: SoakPlan, folder: Path | None = None) -> SoakRun:
    """Runs one seed, in a temporary folder unless one is given."""
    if folder is not None:
        return asyncio.run(run_seed(plan, folder))
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(run_seed(plan, Path(name)))
