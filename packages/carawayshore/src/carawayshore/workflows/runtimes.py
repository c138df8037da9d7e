"""Expected run times of tasks and steps, learned for each queue.

Load pattern: jobs of one queue differ by a factor of several, the tasks of one step less, and a few
run many times longer than the rest. The declared estimates of one queue may be close, those of
another far off. Declaration and history are weighed by their errors, as learned, and a step takes
as long as its slowest task.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.workflows.model import StepSpec, Workflow

# Weight of a new run time in the running means.
LEARNING_RATE = 0.05
# Run times above this multiple of the mean count as this multiple.
STRAGGLER_MULTIPLE = 4.0
# Expected run time in seconds of a task without estimate in a queue without history.
DEFAULT_SECONDS = 1.0
# Number of run times after which the history is used.
WARM_COUNT = 3
# Standard deviation of the logarithm of a run time, and of a declared estimate's error, that is
# assumed before there is a history: a factor of about 1.6.
DEFAULT_DEVIATION = 0.5
# Smallest deviation that is believed: a factor of 1.1.
LEAST_DEVIATION = 0.1
# Time of the slowest task of a step as a multiple of the mean of its tasks, before it is learned.
DEFAULT_SLOWEST = 1.3


class QueueTimes(NamedTuple):
    """What is known of the run times of one queue; logarithms are of seconds.

    Parameters
    ----------
    count : int
        Number of run times.
    mean : float
        Mean of the logarithm of a run time.
    variance : float
        Its variance.
    bias : float
        Mean of the logarithm of run time over declared estimate.
    error_variance : float
        Variance of that logarithm.
    slowest : float
        Mean ratio of the slowest task of a step to the mean of its tasks.
    """

    count: int = 0
    mean: float = 0.0
    variance: float = DEFAULT_DEVIATION**2
    bias: float = 0.0
    error_variance: float = DEFAULT_DEVIATION**2
    slowest: float = DEFAULT_SLOWEST


class RuntimeModel:
    """Run times in seconds of the tasks of each queue."""

    def __init__(self) -> None:
        self._queues: dict[str, QueueTimes] = {}

    def learn(self, queue: str, step: StepSpec, seconds: float) -> None:
        """Adds the run time of a task that ended well."""
        known = self._queues.get(queue, QueueTimes())
        count = known.count + 1
        rate = max(LEARNING_RATE, 1.0 / count)
        value = math.log(max(seconds, 0.001))
        if known.count:
            value = min(value, known.mean + math.log(STRAGGLER_MULTIPLE))
        else:
            known = known._replace(mean=value)
        error = value - math.log(step.estimate_ms / 1000) if step.estimate_ms > 0 else known.bias
        self._queues[queue] = known._replace(
            count=count,
            mean=known.mean + rate * (value - known.mean),
            # Learned more slowly than the means, so that few values do not look like certainty.
            variance=_blend(known.variance, (value - known.mean) ** 2),
            bias=known.bias + rate * (error - known.bias),
            error_variance=_blend(known.error_variance, (error - known.bias) ** 2),
        )

    def learn_step(self, queue: str, seconds: list[float]) -> None:
        """Adds the run times of all tasks of a step."""
        known = self._queues.get(queue)
        if known is None or len(seconds) < 2:
            return
        ratio = max(seconds) * len(seconds) / max(sum(seconds), 0.001)
        slowest = known.slowest + LEARNING_RATE * (min(ratio, STRAGGLER_MULTIPLE) - known.slowest)
        self._queues[queue] = known._replace(slowest=slowest)

    def restore(self, queue: str, times: QueueTimes) -> None:
        """Takes what an earlier owner learned."""
        self._queues[queue] = times

    def describe(self, queue: str) -> QueueTimes:
        """Returns what is known of a queue."""
        return self._queues.get(queue, QueueTimes())

    def expect(self, queue: str, step: StepSpec) -> float:
        """Returns the expected run time of one task of ``step`` in seconds."""
        known = self._queues.get(queue)
        if known is None or known.count < WARM_COUNT:
            return step.estimate_ms / 1000 if step.estimate_ms else DEFAULT_SECONDS
        spread = max(known.variance, LEAST_DEVIATION**2)
        if not step.estimate_ms:
            return math.exp(known.mean + spread / 2)
        error = max(known.error_variance, LEAST_DEVIATION**2)
        declared = math.log(step.estimate_ms / 1000) + known.bias
        weight = spread / (spread + error)
        expected = weight * declared + (1 - weight) * known.mean
        return math.exp(expected + weight * error / 2)

    def expect_step(self, queue: str, step: StepSpec) -> float:
        """Returns the expected time of ``step``, which is that of its slowest task, in seconds."""
        seconds = self.expect(queue, step)
        return seconds * self.describe(queue).slowest if step.count > 1 else seconds

    def expect_chain(self, workflow: Workflow) -> float:
        """Returns the expected time of the longest chain of steps in seconds."""
        ends: list[float] = []
        for step in workflow.steps:
            start = max((ends[number] for number in step.after), default=0.0)
            ends.append(start + self.expect_step(workflow.queue, step))
        return max(ends, default=0.0)

    def expect_work(self, workflow: Workflow) -> float:
        """Returns the expected work of one occurrence in core-seconds."""
        return sum(
            step.count * step.millicores / 1000 * self.expect(workflow.queue, step)
            for step in workflow.steps
            if not step.long_running
        )


def _blend(known: float, value: float) -> float:
    return known + LEARNING_RATE * (value - known)
