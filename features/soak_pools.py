"""Soak of pools: entry hosts as processes, and machines that move, leave and go through upkeep.

A job of long-running tasks needs a worker for each of them, in a pool of as many machines and one
more, with others on standby. Workers leave on notice or are lost, hosts are paused, killed and
stopped, and the machines service refuses orders, delays them or does not answer, in series that are
each followed by a calm time. Every task has to be at work again within the time that rules allow.
"""

from __future__ import annotations

import asyncio
import signal
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from platform_builders import (
    HOST,
    PREFIX,
    SERVICE,
    build_identifier,
    build_job,
    build_lasting_job,
    build_operator_configuration,
    build_wave,
)
from soak_lasting import SoakWorker

from carawayshore_standins.platform_machines import PlatformMachine, PlatformMachines
from carawayshore_standins.platform_store import PlatformStore
from carawayshore_standins.ports import PortReserver
from carawayshore_standins.processes import ManagedProcess, ProcessSpec

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

STANDBY = "spare"
HOSTS, IN_SERVICE, ON_STANDBY = 4, 6, 10
JOBS, TASKS, CORES = 1, 5, 1.3
BEAT_S, ENTRY_LIFETIME_S = 1.5, 4.5
NOTICE_S, UNLISTED_AFTER_S, REPLACEMENT_S = 2.0, 0.5, 4.0
# A task is lost if nothing runs it for this long, of which the last part was calm.
ABSENCE_LIMIT_S, CALM_S = 9.0, 7.0
SAMPLE_S = 0.1
# Time in which the pool has the size that it needs, and time without disruptions after a series.
SETTLE_S, QUIET_S = 6.0, 12.0
SERIES_S, GAP_S = 6.0, 1.2
WAVE_S, MAX_DOWN = 20.0, 2
CALL_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 50
SHORT_TASKS, SHORT_INTERVAL_S, TASK_S = 12, 0.8, 0.4

DISRUPTIONS: dict[str, Callable] = {}


def disruption(*, weight: int = 1) -> Callable:
    """Registers a disruption of the soak."""

    def register(function: Callable) -> Callable:
        for number in range(weight):
            DISRUPTIONS[f"{function.__name__}-{number}"] = function
        return function

    return register


class PoolSoakPlan(NamedTuple):
    """Seed and number of series of one run."""

    seed: int
    series: int = 2


class PoolSoak:
    """One run: its store, machines, workers, hosts and what it found.

    Attributes
    ----------
    findings : list of str
    longest : dict of str to float
        Longest absence of each task in seconds.
    """

    def __init__(self, plan: PoolSoakPlan, folder: Path) -> None:
        self.plan = plan
        self.random = Random(plan.seed)
        self.store = PlatformStore()
        self.machines = PlatformMachines(self._start_worker, self._end_worker)
        self.workers: dict[str, SoakWorker] = {}
        self.draining: set[str] = set()
        self.hosts: dict[str, ManagedProcess] = {}
        self.findings: list[str] = []
        self.injected: list[str] = []
        self.longest: dict[str, float] = {}
        self.faults = 0
        self.changed_at = 0.0
        self.wave = 0
        self._folder = folder.resolve()
        self._ports = PortReserver()
        self._addresses: dict[str, str] = {}
        self._jobs = {build_identifier(number + 1) for number in range(JOBS)}
        self._last_run_at: dict[str, float] = {}
        self._machine_count = 0
        self._tasks: list[asyncio.Future] = []
        self._session: aiohttp.ClientSession | None = None

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    # -- machines and workers --------------------------------------------------------------------

    def add_machine(self, pool: str) -> PlatformMachine:
        self._machine_count += 1
        machine = PlatformMachine(f"m{self._machine_count}", pool)
        self.machines.machines[machine.name] = machine
        return machine

    async def _start_worker(self, machine: PlatformMachine) -> None:
        if machine.pool != SERVICE or machine.name not in self.machines.machines:
            return
        machine.starts += 1
        name = f"w-{machine.name}-{machine.starts}"
        worker = SoakWorker(name, SERVICE, self._ports.reserve(), run_seconds=TASK_S)
        worker.long_running_jobs = self._jobs
        await worker.start()
        self.workers[name] = worker
        machine.worker = name
        self._write_entry(worker)

    async def _end_worker(self, machine: PlatformMachine) -> None:
        name, machine.worker = machine.worker, ""
        worker = self.workers.get(name)
        if worker is not None and not worker.gone:
            ended = [task for task in worker.running if task.partition(".")[0] in self._jobs]
            self.findings += [f"AVAIL: an order ended {task} on {name}" for task in ended]
            await worker.leave()
            self.store.put("keyed.servers", name, None)

    def _write_entry(self, worker: SoakWorker) -> None:
        entry = worker.describe("draining" if worker.name in self.draining else "ready")
        entry |= {"born": worker.incarnation, "drainRemainingMs": int(NOTICE_S * 1000)}
        self.store.put("keyed.servers", worker.name, entry)

    async def _write_entries(self) -> None:
        while True:
            for worker in list(self.workers.values()):
                if not worker.gone and worker.name not in self.draining:
                    self._write_entry(worker)
            await asyncio.sleep(BEAT_S)

    def list_ready(self) -> list[SoakWorker]:
        return [
            worker
            for name, worker in sorted(self.workers.items())
            if not worker.gone and name not in self.draining
        ]

    def pick_worker(self) -> SoakWorker | None:
        """Returns a worker, one with long-running tasks if there is one."""
        ready = self.list_ready()
        busy = [worker for worker in ready if worker.count_long_running()]
        return self.random.choice(busy or ready) if ready else None

    async def replace_machine(self, worker: SoakWorker) -> None:
        """Takes the machine of a worker away; another one comes to the standby pool later."""
        for machine in list(self.machines.machines.values()):
            if machine.worker == worker.name:
                del self.machines.machines[machine.name]
        await asyncio.sleep(REPLACEMENT_S)
        self.add_machine(STANDBY)

    # -- hosts and callers -----------------------------------------------------------------------

    async def _start_hosts(self, store: str, machines: str) -> None:
        for number in range(HOSTS):
            name = f"entry-{number}"
            settings = {
                "member": name,
                "data_centre": "umea",
                "caller_address": self._ports.reserve(),
                "ready_address": self._ports.reserve(),
                "peer_host": "127.0.0.1",
                "peer_port": int(self._ports.reserve().rpartition(":")[2]),
                "metrics_port": int(self._ports.reserve().rpartition(":")[2]),
                "store": store,
                "machines": machines,
                "partitions": self.store.partition_count,
                "seed": self.plan.seed * 100 + number + 1,
            }
            self._addresses[name] = settings["caller_address"]
            spec = ProcessSpec(name, "features.soak_host", settings, "", {}, ("--platform",))
            self.hosts[name] = ManagedProcess(spec, self._folder)
            await self.hosts[name].start()

    async def submit(self, identifier: str, document: dict[str, Any]) -> bool:
        """Submits a job at some host; returns whether it was accepted."""
        address = self._addresses[self.random.choice(sorted(self._addresses))]
        headers = {"Host": HOST, "Timeout-Ms": str(int(CALL_TIMEOUT_S * 1000))}
        url = f"http://{address}{PREFIX}{identifier}"
        try:
            async with self._session.post(url, json=document, headers=headers) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _submit_long_running_jobs(self) -> None:
        document = build_lasting_job(TASKS, cores=CORES, most_per_worker=1, most_away=1)
        for identifier in sorted(self._jobs):
            for _ in range(MAX_ATTEMPTS):
                if await self.submit(identifier, document):
                    break
                await asyncio.sleep(0.3)
            else:
                raise RuntimeError(f"{identifier} was not accepted in {MAX_ATTEMPTS} attempts")
            accepted_at = self.now()
            for index in range(TASKS):
                self._last_run_at[f"{identifier}.0.0.{index}"] = accepted_at

    async def _submit_short_jobs(self) -> None:
        number = 100_000
        while True:
            number += 1
            document = build_job(SHORT_TASKS, estimateMs=int(TASK_S * 1000))
            await self.submit(build_identifier(number), document)
            await asyncio.sleep(self.random.expovariate(1 / SHORT_INTERVAL_S))

    # -- checks ----------------------------------------------------------------------------------

    async def _watch(self) -> None:
        while True:
            now = self.now()
            running = {task for worker in self.workers.values() for task in worker.running}
            for task, last in self._last_run_at.items():
                if task in running:
                    self._last_run_at[task] = now
                    continue
                self.longest[task] = max(self.longest.get(task, 0.0), now - last)
                is_calm = not self.faults and now - self.changed_at >= CALM_S
                if now - last >= ABSENCE_LIMIT_S and is_calm:
                    self.findings.append(f"LOST at {now:.2f}: {task} away for {now - last:.1f} s")
                    self._last_run_at[task] = now
            await asyncio.sleep(SAMPLE_S)

    def _check_runs(self) -> None:
        """Checks that no two runs of a long-running task overlapped, nor any shared a worker."""
        spans: dict[str, list[tuple[float, float, str]]] = {}
        for worker in self.workers.values():
            ends = {(task, run): at for task, run, _, at in worker.ends}
            for start in worker.starts:
                if start.task in self._last_run_at:
                    end = ends.get((start.task, start.run), float("inf"))
                    spans.setdefault(start.task, []).append((start.started_at, end, worker.name))
        for task, items in spans.items():
            items.sort()
            self.findings += [
                f"TWICE: {task} ran on {first[2]} and {second[2]}"
                for first, second in zip(items, items[1:], strict=False)
                if second[0] < first[1]
            ]
        shared = [
            (task, other)
            for task, items in spans.items()
            for other, others in spans.items()
            if task < other and task.rpartition(".")[0] == other.rpartition(".")[0]
            if any(a[2] == b[2] and a[0] < b[1] and b[0] < a[1] for a in items for b in others)
        ]
        self.findings += [f"ROUTE: {task} and {other} on one worker" for task, other in shared]

    # -- run -------------------------------------------------------------------------------------

    async def run(self) -> None:
        store, machines = self._ports.reserve(), self._ports.reserve()
        await self.store.start(store)
        await self.machines.start(machines)
        document = build_operator_configuration(1)
        document["services"].append(document["services"][0] | {"name": STANDBY, "standby": True})
        self.store.put("keyed.op", "config", document)
        for number in range(IN_SERVICE + ON_STANDBY):
            machine = self.add_machine(SERVICE if number < IN_SERVICE else STANDBY)
            await self._start_worker(machine)
        self._tasks.append(asyncio.ensure_future(self._write_entries()))
        try:
            await self._start_hosts(store, machines)
            timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
            async with aiohttp.ClientSession(timeout=timeout) as self._session:
                await self._submit_long_running_jobs()
                self._tasks.append(asyncio.ensure_future(self._submit_short_jobs()))
                await asyncio.sleep(SETTLE_S)
                self.changed_at = self.now()
                self._tasks.append(asyncio.ensure_future(self._watch()))
                for _ in range(self.plan.series):
                    await self._inject_series()
                    await asyncio.sleep(QUIET_S)
            self._check_runs()
        finally:
            await self._stop()

    async def _inject_series(self) -> None:
        ends_at, running = self.now() + SERIES_S, []
        while self.now() < ends_at:
            name = self.random.choice(sorted(DISRUPTIONS))
            running.append(asyncio.ensure_future(self._disrupt(name)))
            await asyncio.sleep(self.random.expovariate(1 / GAP_S))
        await asyncio.gather(*running)

    async def _disrupt(self, name: str) -> None:
        self.injected.append(f"{self.now():.2f}: {name}")
        self.faults += 1
        try:
            await DISRUPTIONS[name](self)
        finally:
            self.faults -= 1
            self.changed_at = self.now()

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for host in self.hosts.values():
            await host.kill()
        # Machines that come back meanwhile start further workers.
        for worker in list(self.workers.values()):
            if not worker.gone:
                await worker.stop()
        await self.machines.stop()
        await self.store.stop()
        self._ports.release()

    def describe(self) -> dict[str, Any]:
        """Returns the results of the run as a JSON-serializable object."""
        return {
            "seed": self.plan.seed,
            "disruptions": len(self.injected),
            "orders": len(self.machines.orders),
            "longest_absence_s": round(max(self.longest.values(), default=0.0), 2),
            "findings": self.findings,
        }


@disruption(weight=4)
async def take_away(soak: PoolSoak) -> None:
    """Has a worker leave on notice; its tasks end as it leaves."""
    worker = soak.pick_worker()
    if worker is None:
        return
    soak.draining.add(worker.name)
    soak._write_entry(worker)
    await asyncio.sleep(NOTICE_S)
    for task in worker.running:
        worker._end(task, "stopped")
    await asyncio.sleep(UNLISTED_AFTER_S)
    await worker.leave()
    soak.store.put("keyed.servers", worker.name, None)
    soak._tasks.append(asyncio.ensure_future(soak.replace_machine(worker)))


@disruption(weight=2)
async def lose(soak: PoolSoak) -> None:
    """Ends a worker for good, without a notice."""
    worker = soak.pick_worker()
    if worker is None:
        return
    soak.draining.add(worker.name)
    await worker.leave()
    soak._tasks.append(asyncio.ensure_future(soak.replace_machine(worker)))
    loop = asyncio.get_running_loop()
    loop.call_later(ENTRY_LIFETIME_S, soak.store.put, "keyed.servers", worker.name, None)


@disruption(weight=2)
async def begin_wave(soak: PoolSoak) -> None:
    """Asks for the upkeep of all machines of the pool, once in a run."""
    if soak.wave:
        return
    soak.wave = 1
    names = [item.name for item in soak.machines.machines.values() if item.pool == SERVICE]
    soak.store.put("keyed.op", "wave/1", build_wave(1, names, WAVE_S, MAX_DOWN))


@disruption(weight=3)
async def disturb_machines(soak: PoolSoak) -> None:
    """Has the machines service refuse or not answer orders for some seconds."""
    soak.machines.mode = soak.random.choice(["silent", "unanswered", "busy"])
    soak.machines.late_seconds = soak.random.uniform(1.0, 8.0)
    await asyncio.sleep(soak.random.uniform(1.0, 5.0))
    soak.machines.mode = ""


@disruption(weight=2)
async def pause_host(soak: PoolSoak) -> None:
    host = soak.hosts[soak.random.choice(sorted(soak.hosts))]
    if host.is_running():
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(soak.random.uniform(1.0, 3.5))
        # It may have been killed meanwhile.
        if host.is_running():
            host.send_signal(signal.SIGCONT)


@disruption()
async def kill_host(soak: PoolSoak) -> None:
    host = soak.hosts[soak.random.choice(sorted(soak.hosts))]
    if host.is_running():
        await host.kill()
        await asyncio.sleep(soak.random.uniform(0.3, 2.0))
        if not host.is_running():
            await host.start()


@disruption()
async def delay_store(soak: PoolSoak) -> None:
    soak.store.append_delay_seconds = soak.random.choice([0.1, 0.5, 1.0])
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    soak.store.append_delay_seconds = 0.0


async def run_pool_seed(plan: PoolSoakPlan, folder: Path) -> PoolSoak:
    """Runs one seed and returns the finished run; the hosts' logs are in ``folder``."""
    soak = PoolSoak(plan, folder)
    await soak.run()
    return soak
