"""Estimates the run times of tasks and steps from declared estimates and the history of a queue.

Load pattern: run times of the jobs of one queue differ several-fold, those of the tasks of one step
differ less, and a few stragglers run many times longer. Declared estimates are close in one queue
and far off in another. The declared estimate and the history are weighted by their observed error
variances, and a step takes as long as its slowest task.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.workflows.model import StepSpec, Workflow

# Weight of a new observation in the exponential moving averages.
LEARNING_RATE = 0.05
# Run times are clipped at this multiple of the mean, so that stragglers do not distort it.
STRAGGLER_MULTIPLE = 4.0
# Estimate for a task without declared estimate in a queue without history.
DEFAULT_SECONDS = 1.0
# Minimum number of run times before the history is used.
MIN_RUN_COUNT = 3
# Initial standard deviation of the logarithm of run times and of declared estimates' errors; equals
# a factor of about 1.6.
DEFAULT_DEVIATION = 0.5
# Lower bound of the standard deviations, equals a factor of 1.1.
MIN_DEVIATION = 0.1
# Initial ratio of the slowest task of a step to the mean of its tasks.
DEFAULT_SLOWEST_RATIO = 1.3


class QueueTimes(NamedTuple):
    """Statistics of the run times of one queue; logarithms are of seconds.

    Parameters
    ----------
    count : int
        Number of observed run times.
    mean, variance : float
        Mean and variance of the logarithm of the run times.
    bias, error_variance : float
        Mean and variance of the logarithm of the ratio of run time to declared estimate.
    slowest : float
        Mean ratio of the slowest task of a step to the mean of its tasks.
    """

    count: int = 0
    mean: float = 0.0
    variance: float = DEFAULT_DEVIATION**2
    bias: float = 0.0
    error_variance: float = DEFAULT_DEVIATION**2
    slowest: float = DEFAULT_SLOWEST_RATIO


class RuntimeModel:
    """Learns and estimates run times for each queue."""

    def __init__(self) -> None:
        self._queues: dict[str, QueueTimes] = {}

    def learn(self, queue: str, step: StepSpec, seconds: float) -> None:
        """Adds the run time of a task that succeeded."""
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
            # Adapts more slowly than the means, so that few values do not give false confidence.
            variance=_update_average(known.variance, (value - known.mean) ** 2),
            bias=known.bias + rate * (error - known.bias),
            error_variance=_update_average(known.error_variance, (error - known.bias) ** 2),
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
        """Sets the statistics of a queue that an earlier owner stored."""
        self._queues[queue] = times

    def describe(self, queue: str) -> QueueTimes:
        """Returns the statistics of a queue."""
        return self._queues.get(queue, QueueTimes())

    def expect(self, queue: str, step: StepSpec) -> float:
        """Returns the expected run time of one task of ``step`` in seconds."""
        known = self._queues.get(queue)
        if known is None or known.count < MIN_RUN_COUNT:
            return step.estimate_ms / 1000 if step.estimate_ms else DEFAULT_SECONDS
        spread = max(known.variance, MIN_DEVIATION**2)
        if not step.estimate_ms:
            return math.exp(known.mean + spread / 2)
        error = max(known.error_variance, MIN_DEVIATION**2)
        declared = math.log(step.estimate_ms / 1000) + known.bias
        weight = spread / (spread + error)
        expected = weight * declared + (1 - weight) * known.mean
        return math.exp(expected + weight * error / 2)

    def expect_step(self, queue: str, step: StepSpec) -> float:
        """Returns the expected run time of the slowest task of ``step`` in seconds."""
        seconds = self.expect(queue, step)
        return seconds * self.describe(queue).slowest if step.count > 1 else seconds

    def expect_chain(self, workflow: Workflow) -> float:
        """Returns the expected run time of the longest chain of steps in seconds."""
        ends: list[float] = []
        for step in workflow.steps:
            start = max((ends[number] for number in step.after), default=0.0)
            ends.append(start + self.expect_step(workflow.queue, step))
        return max(ends, default=0.0)

    def expect_work(self, workflow: Workflow) -> float:
        """Returns the expected work of the short tasks of one occurrence in core-seconds."""
        return sum(
            step.count * step.millicores / 1000 * self.expect(workflow.queue, step)
            for step in workflow.steps
            if not step.long_running
        )


def _update_average(known: float, value: float) -> float:
    return known + LEARNING_RATE * (value - known)
