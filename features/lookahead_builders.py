"""Builders of pools in which large short tasks wait among small ones, planned without any I/O."""

from __future__ import annotations

import math

from claims_builders import Pool
from workflow_builders import build_workflow

from carawayshore.workflows.model import StepSpec, TaskName
from carawayshore.workflows.state import WorkflowState

# Allowance of the objectives, longer than any backlog of the scenarios but one.
ALLOWANCE_MS = 60_000
# Rack of all workers.
RACK = "a"
NEVER_S = math.inf
# Number of different run times of a job whose tasks differ.
RUN_TIMES = 7


class WaitingPool(Pool):
    """Workers ``w0``, ``w1`` and so on, with short jobs that wait for room there."""

    def __init__(self, count: int, cores: int) -> None:
        super().__init__({f"w{number}": (cores, RACK) for number in range(count)})
        # The planner ranks by the table that it was given.
        self.deadlines = self.planner._deadlines
        # Run times in seconds of the tasks of each job.
        self.run_seconds: dict[str, float] = {}
        # Longest of them, for jobs whose tasks differ.
        self.longest_seconds: dict[str, float] = {}

    def run_short(self, worker: str, cores: int, *, estimate_ms: int, seconds: float) -> None:
        """Lets a short task run on a worker for some seconds, with another estimate."""
        job = self.add_job(StepSpec(millicores=cores * 1000, memory_mb=1, estimate_ms=estimate_ms))
        self.run_task(TaskName(job.identifier, 0, 0, 0), worker, seconds)

    def submit(
        self,
        step: StepSpec,
        *,
        due: float,
        seconds: float,
        priority: int = 5,
        allowance_ms: int = ALLOWANCE_MS,
    ) -> WorkflowState:
        """Lets a job of one step wait that should be done by ``due``."""
        identifier = f"{len(self.workflows) + 1:016x}"
        spec = build_workflow(
            step, identifier=identifier, priority=priority, allowance_ms=allowance_ms, advice=None
        )
        state = self.workflows[identifier] = WorkflowState(spec, self.clock.seconds)
        self.deadlines[identifier] = due
        self.run_seconds[identifier] = seconds
        self.open_steps[identifier, 0, 0] = state.steps[0, 0]
        return state

    def play(self, seconds: float) -> None:
        """Plans and carries out the plans until some time has passed."""
        until = self.clock.seconds + seconds
        while self.clock.seconds < until - 1e-6:
            self.scan(lambda: 0.0)

    def run_task(self, name: TaskName, worker: str, seconds: float) -> None:
        seconds = self.run_seconds.get(name.workflow, seconds)
        longest = self.longest_seconds.get(name.workflow, seconds)
        # The tasks of a worker end at different times, so that it is never empty by itself.
        seconds += (longest - seconds) * (name.index % RUN_TIMES) / RUN_TIMES
        super().run_task(name, worker, seconds)

    def find_start(self, job: WorkflowState) -> float:
        """Returns the time at which the first task of a job started, infinite if none has."""
        times = [start.at for start in self.starts if start.name.workflow == job.identifier]
        return min(times, default=NEVER_S)

    def count_starts(self, job: WorkflowState) -> int:
        return sum(start.name.workflow == job.identifier for start in self.starts)


def build_task_step(cores: int, estimate_ms: int, *, count: int = 1) -> StepSpec:
    """Returns a step of short tasks."""
    return StepSpec(
        count=count, millicores=cores * 1000, memory_mb=cores * 1000, estimate_ms=estimate_ms
    )
