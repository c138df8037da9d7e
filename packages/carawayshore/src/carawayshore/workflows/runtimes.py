"""Expected run times of tasks, learned for each queue.

Load pattern: declared estimates are off by up to a factor of several either way, and a few tasks
run many times longer than the rest. A running mean of what the queue's tasks took, with a bound on
the weight of one straggler, predicts a backlog better than the declarations.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayshore.workflows.model import StepSpec, Workflow

# Weight of a new run time in the running mean.
LEARNING_RATE = 0.05
# Run times above this multiple of the mean count as this multiple.
STRAGGLER_MULTIPLE = 4.0
# Expected run time in seconds of a task without estimate in a queue without history.
DEFAULT_SECONDS = 1.0
# Number of run times after which the mean replaces the declared estimates.
WARM_COUNT = 3


class RuntimeModel:
    """Mean run time in seconds of the tasks of each queue."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def learn(self, queue: str, seconds: float) -> None:
        """Adds the run time of a task that ended well."""
        mean = self._means.get(queue)
        if mean is None:
            self._means[queue], self._counts[queue] = seconds, 1
            return
        self._counts[queue] += 1
        rate = max(LEARNING_RATE, 1.0 / self._counts[queue])
        self._means[queue] = mean + rate * (min(seconds, STRAGGLER_MULTIPLE * mean) - mean)

    def restore(self, queue: str, mean: float, count: int) -> None:
        """Takes what an earlier owner learned."""
        self._means[queue], self._counts[queue] = mean, count

    def describe(self, queue: str) -> tuple[float, int]:
        """Returns the mean and the number of run times of a queue."""
        return self._means.get(queue, 0.0), self._counts.get(queue, 0)

    def expect(self, queue: str, step: StepSpec) -> float:
        """Returns the expected run time of one task of ``step`` in seconds."""
        if self._counts.get(queue, 0) >= WARM_COUNT:
            return self._means[queue]
        return step.estimate_ms / 1000 if step.estimate_ms else DEFAULT_SECONDS

    def expect_chain(self, workflow: Workflow) -> float:
        """Returns the expected time of the longest chain of steps in seconds."""
        ends: list[float] = []
        for step in workflow.steps:
            start = max((ends[number] for number in step.after), default=0.0)
            ends.append(start + self.expect(workflow.queue, step))
        return max(ends, default=0.0)

    def expect_work(self, workflow: Workflow) -> float:
        """Returns the expected work of one occurrence in core-seconds."""
        return sum(
            step.count * step.millicores / 1000 * self.expect(workflow.queue, step)
            for step in workflow.steps
            if not step.long_running
        )
