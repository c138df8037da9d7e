"""Replays a load on the planner of a partition in virtual time, without a network."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import NamedTuple

from benchmarks.placement_load import QUEUE, SERVICE, Job, Load, draw_jobs, draw_long_running
from benchmarks.report import Line, case
from carawayd.partition.advisor import Advisor
from carawayd.partition.claims import Claims
from carawayd.partition.deferrals import Deferrals
from carawayd.partition.demand import Demand
from carawayd.partition.isolation import Isolation
from carawayd.partition.owner import MAX_PENDING_STARTS, PLAN_DELAY, PLAN_INTERVAL_SECONDS
from carawayd.partition.planner import Planner
from carawayshore.clock import SteadyTimeOfDay
from carawayshore.workflows.admission import Request, decide_admission
from carawayshore.workflows.model import TaskName, WorkerEntry
from carawayshore.workflows.placement import WorkerCapacity
from carawayshore.workflows.runtimes import RuntimeModel
from carawayshore.workflows.state import COMPLETED, DONE, ORDERED, WAITING, WorkflowState

# From the placement of a task to its start, and from its end to the record of it.
START_SECONDS = 0.02
END_SECONDS = 0.02
# Interval at which the fragmentation is sampled.
SAMPLE_SECONDS = 0.25


class VirtualClock:
    """Clock that is set by its user."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self.seconds)

    def now(self) -> datetime:
        return datetime.fromtimestamp(1.7e9 + self.seconds, UTC)


class Result(NamedTuple):
    """Outcome of one replay.

    Parameters
    ----------
    jobs, accepted, on_time : int
        Number of short jobs, of the accepted ones, and of those that ended within the objective.
    waits : dict of str to list of float
        Seconds from the time at which a step was ready to the placement of each of its tasks, by
        ``small`` and ``large``.
    fragmentation : list of float
        Samples of the share of free processors that a large task cannot use.
    idle_workers : list of int
        Samples of the number of workers without a run.
    """

    jobs: int
    accepted: int
    on_time: int
    waits: dict[str, list[float]]
    fragmentation: list[float]
    idle_workers: list[int]


def build_links(load: Load) -> dict[str, SimpleNamespace]:
    """Returns the links to idle workers."""
    links = {}
    for number in range(load.workers):
        entry = WorkerEntry(
            f"w{number}", SERVICE, "127.0.0.1:1", "umea", "ready",
            load.cores * 1000, load.memory_mb, 0, (), "", 1,
        )  # fmt: skip
        capacity = WorkerCapacity(entry)
        capacity.usable = capacity.expected = True
        links[entry.worker] = SimpleNamespace(
            worker=entry.worker, entry=entry, capacity=capacity, orders={}, unordered_runs={},
            is_departing=False,
        )  # fmt: skip
    return links


def build_planner(clock, links, workflows, open_steps, deadlines, **options):
    """Returns a planner and the model of run times that it uses."""
    runtimes, deferrals = RuntimeModel(), Deferrals(clock)

    def find_task(name: TaskName):
        workflow = workflows.get(name.workflow)
        found = workflow and workflow.find_task(name)
        return (workflow, *found) if found else None

    planner = Planner(
        workflows,
        links,
        open_steps,
        deadlines,
        runtimes=runtimes,
        isolation=Isolation(links, deferrals, clock),
        deferrals=deferrals,
        claims=Claims(links, find_task, runtimes, clock),
        advisor=Advisor(None, clock, lambda: None),
        clock=clock,
        time_of_day=SteadyTimeOfDay(clock),
        **options,
    )
    return planner, runtimes


class Replay:
    """One play of a load; the options are those of the planner."""

    def __init__(self, load: Load, seed: int, seconds: float, **options) -> None:
        self.clock = VirtualClock()
        self.links = build_links(load)
        self.workflows: dict[str, WorkflowState] = {}
        self.open_steps: dict = {}
        self.deadlines: dict[str, float] = {}
        self._random = Random(seed)
        self.planner, self._runtimes = build_planner(
            self.clock, self.links, self.workflows, self.open_steps, self.deadlines, **options
        )
        self.demand = Demand(
            self.workflows, self.links, self.open_steps, self.deadlines, self._runtimes, self.clock
        )
        self._jobs = {job.spec.identifier: job for job in draw_jobs(load, seed, seconds)}
        self._long_running = draw_long_running(load, seed)
        self._first_attempts: dict[str, float] = {}
        self._ready_at: dict[tuple[str, int, int], float] = {}
        self._events: list[tuple[float, int, object]] = []
        self._numbers = count()
        self._plan_at = float("inf")
        self._seconds = seconds
        self.result = Result(len(self._jobs), 0, 0, {"small": [], "large": []}, [], [])

    def _schedule(self, at: float, action) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _wake(self) -> None:
        self._plan_at = min(self._plan_at, self.clock.seconds + PLAN_DELAY.total_seconds())

    def _open_step(self, workflow: WorkflowState, step) -> None:
        key = (workflow.identifier, step.occurrence, step.number)
        self.open_steps[key] = step
        self._ready_at[key] = self.clock.seconds
        self._wake()

    def _submit(self, job: Job) -> None:
        now, spec = self.clock.seconds, job.spec
        first = self._first_attempts.setdefault(spec.identifier, now)
        objective = self._runtimes.estimate_objective_seconds(spec)
        request = Request(
            self._runtimes.estimate_chain_seconds(spec),
            self._runtimes.estimate_core_seconds(spec),
            objective, now - first, False, False, True,
        )  # fmt: skip
        capacities = [link.capacity for link in self.links.values()]
        backlog = self.demand.measure_backlog(SERVICE, capacities, first + objective)
        decision = decide_admission(request, backlog, self._random.random())
        if decision.admitted:
            self.result = self.result._replace(accepted=self.result.accepted + 1)
            state = self.workflows[spec.identifier] = WorkflowState(spec, now)
            self.deadlines[spec.identifier] = first + objective
            self._open_step(state, state.steps[0, 0])
        elif now + decision.retry_after_seconds < first + objective:
            self._schedule(now + decision.retry_after_seconds, lambda: self._submit(job))

    def _end(self, name: TaskName, seconds: float) -> None:
        workflow = self.workflows[name.workflow]
        step, task = workflow.find_task(name)
        link = self.links[task.worker]
        link.capacity.release(name)
        del link.orders[name]
        task.status = DONE
        step.done_count += 1
        step.run_seconds.append(seconds)
        self._runtimes.learn(QUEUE, step.spec, seconds)
        if step.is_done:
            self._runtimes.learn_step(QUEUE, step.run_seconds)
            following = workflow.steps.get((0, step.number + 1))
            if following is not None:
                self._open_step(workflow, following)
            else:
                self._complete(workflow)
        self._wake()

    def _complete(self, workflow: WorkflowState) -> None:
        workflow.state = COMPLETED
        job = self._jobs[workflow.identifier]
        # By the run times that the job had, not by the estimates.
        chain = sum(max(runs) for runs in job.run_seconds)
        spec = workflow.spec
        objective = spec.stretch * chain + spec.allowance_ms / 1000
        took = self.clock.seconds - self._first_attempts[workflow.identifier]
        self.result = self.result._replace(on_time=self.result.on_time + (took <= objective))
        del self.workflows[workflow.identifier], self.deadlines[workflow.identifier]

    def _plan(self) -> None:
        self._plan_at = self.clock.seconds + PLAN_INTERVAL_SECONDS
        for placement in self.planner.place_tasks(MAX_PENDING_STARTS):
            step = placement.step
            for capacity, name in placement.chosen:
                self._start(name, step, capacity.entry.worker)

    def _start(self, name: TaskName, step, worker: str) -> None:
        task, now = step.tasks[name.index], self.clock.seconds
        task.status, task.worker = ORDERED, worker
        task.run += 1
        self.links[worker].orders[name] = SimpleNamespace(
            ordered_at=now, progress_percent=0, stopping=False, listed=True, is_adopted=False,
            sent_at=now,
        )  # fmt: skip
        if step.spec.long_running:
            return
        job = self._jobs[name.workflow]
        seconds = job.run_seconds[name.step][name.index]
        self.result.waits[job.sizes[name.step]].append(now - self._ready_at[name[:3]])
        end = now + START_SECONDS + seconds + END_SECONDS
        self._schedule(end, lambda: self._end(name, seconds))

    def _sample(self) -> None:
        capacities = [link.capacity for link in self.links.values()]
        free = sum(max(0, item.free_millicores) for item in capacities)
        usable = sum(
            min(
                item.free_millicores // 13_000,
                (item.entry.memory_mb - item.memory_mb) // 25_000,
            )
            * 13_000
            for item in capacities
        )
        if any(task.status == WAITING for step in self.open_steps.values() for task in step.tasks):
            self.result.fragmentation.append(1 - usable / free if free else 0.0)
        self.result.idle_workers.append(sum(not item.usages for item in capacities))
        if self.clock.seconds < self._seconds:
            self._schedule(self.clock.seconds + SAMPLE_SECONDS, self._sample)

    def play(self) -> Result:
        """Plays the load until all of its jobs have ended."""
        for spec in self._long_running:
            state = self.workflows[spec.identifier] = WorkflowState(spec, 0.0)
            self._open_step(state, state.steps[0, 0])
        for job in self._jobs.values():
            self._schedule(job.at, lambda job=job: self._submit(job))
        self._schedule(SAMPLE_SECONDS, self._sample)
        while self._events:
            at = self._events[0][0]
            if self._plan_at <= at:
                self.clock.seconds = self._plan_at
                self._plan()
                continue
            self.clock.seconds, _, action = heapq.heappop(self._events)
            action()
        return self.result


LOADS = {
    "mixed": Load(),
    "overload": Load(burst_load=2.4),
    "few-large": Load(large_share=0.08),
    "wrong-estimates": Load(error_deviation=0.9),
    "small-only": Load(large_share=0.0),
}
SEEDS = 6
SECONDS = 40.0


def _summarize(results: list[Result]) -> dict[str, float]:
    waits = {
        size: sorted(wait for item in results for wait in item.waits[size])
        for size in ("large", "small")
    }
    fragmentation = [share for item in results for share in item.fragmentation]
    figures = {
        "on_time": sum(item.on_time for item in results) / sum(item.jobs for item in results),
        "fragmentation": sum(fragmentation) / max(1, len(fragmentation)),
    }
    for size, values in waits.items():
        if values:
            figures[f"{size}_mean_s"] = sum(values) / len(values)
            figures[f"{size}_p95_s"] = values[int(0.95 * len(values))]
            figures[f"{size}_max_s"] = values[-1]
    return {name: round(value, 4) for name, value in figures.items()}


@case("placement-lookahead")
def compare_placement(seed: int) -> Iterator[Line]:
    """Compares the share of jobs on time, and the waits, without and with reservations."""
    for name, load in LOADS.items():
        before, after = (
            _summarize(
                [
                    Replay(load, seed + number, SECONDS, looks_ahead=looks_ahead).play()
                    for number in range(SEEDS)
                ]
            )
            for looks_ahead in (False, True)
        )
        yield Line(
            f"placement-lookahead/{name}",
            seed,
            before["on_time"],
            after["on_time"],
            after["on_time"] / before["on_time"],
            "share of jobs on time not lower",
            after["on_time"] >= before["on_time"],
            {"unit": "share of jobs", "seeds": SEEDS, "before": before, "after": after},
        )
