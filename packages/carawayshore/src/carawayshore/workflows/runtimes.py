"""Estimates the run times of tasks and steps from declared estimates and the history of a queue.

Load pattern: run times of the jobs of one queue differ several-fold, those of the tasks of one step
differ less, and a few stragglers run many times longer. Declared estimates are close in one queue
and far off in another. The declared estimate and the history are weighted by their observed error
variances, and a step takes as long as its slowest task.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from carawayshore.decoding import decode_json, reject

if TYPE_CHECKING:
    from carawayshore.workflows.model import StepSpec, Workflow

# Weight of a new observation in the exponential moving averages.
LEARNING_RATE = 0.05
# Run times are clipped at this multiple of the mean, so that stragglers do not distort it.
STRAGGLER_MULTIPLE = 4.0
# Estimate for a task without declared estimate in a queue without history.
DEFAULT_RUN_SECONDS = 1.0
# Minimum number of run times before the history is used.
MIN_RUN_COUNT = 3
# Initial standard deviation of the logarithms of run times and of the errors of declared estimates;
# 0.5 corresponds to a factor of about 1.6.
DEFAULT_LOG_DEVIATION = 0.5
# Lower bound of these standard deviations; 0.1 corresponds to a factor of 1.1.
MIN_LOG_DEVIATION = 0.1
# Initial ratio of the slowest task of a step to the mean of its tasks.
DEFAULT_SLOWEST_RATIO = 1.3


class RuntimeStatistics(NamedTuple):
    """Statistics of the run times of one queue; logarithms are of seconds.

    Parameters
    ----------
    count : int
        Number of observed run times.
    mean, variance : float
        Mean and variance of the logarithm of the run times.
    bias, error_variance : float
        Mean and variance of the logarithm of the ratio of run time to declared estimate.
    slowest_ratio : float
        Mean ratio of the slowest task of a step to the mean of its tasks.
    """

    count: int = 0
    mean: float = 0.0
    variance: float = DEFAULT_LOG_DEVIATION**2
    bias: float = 0.0
    error_variance: float = DEFAULT_LOG_DEVIATION**2
    slowest_ratio: float = DEFAULT_SLOWEST_RATIO


# Larger than the logarithm of any run time in seconds, or of a ratio of two.
MAX_LOGARITHM = 50.0


def decode_statistics(value: bytes) -> RuntimeStatistics:
    """Returns recorded statistics; raises MalformedDocument if they cannot be used."""
    times = decode_json(value, RuntimeStatistics)
    numbers = (times.mean, times.variance, times.bias, times.error_variance, times.slowest_ratio)
    if times.count < 0 or not all(abs(number) <= MAX_LOGARITHM for number in numbers):
        raise reject("", times, f"a count from 0 and numbers of at most {MAX_LOGARITHM}")
    return times


class RuntimeModel:
    """Learns and estimates run times for each queue."""

    def __init__(self) -> None:
        self._queues: dict[str, RuntimeStatistics] = {}

    def learn(self, queue: str, step: StepSpec, seconds: float) -> None:
        """Adds the run time of a task that succeeded."""
        statistics = self._queues.get(queue, RuntimeStatistics())
        count = statistics.count + 1
        rate = max(LEARNING_RATE, 1.0 / count)
        value = math.log(max(seconds, 0.001))
        if statistics.count:
            value = min(value, statistics.mean + math.log(STRAGGLER_MULTIPLE))
        else:
            statistics = statistics._replace(mean=value)
        error = (
            value - math.log(step.estimate_ms / 1000) if step.estimate_ms > 0 else statistics.bias
        )
        self._queues[queue] = statistics._replace(
            count=count,
            mean=statistics.mean + rate * (value - statistics.mean),
            # Adapts more slowly than the means, so that the first few values do
            # not make the variance too small.
            variance=_update_average(statistics.variance, (value - statistics.mean) ** 2),
            bias=statistics.bias + rate * (error - statistics.bias),
            error_variance=_update_average(
                statistics.error_variance, (error - statistics.bias) ** 2
            ),
        )

    def learn_step(self, queue: str, seconds: list[float]) -> None:
        """Adds the run times of all tasks of a step."""
        statistics = self._queues.get(queue)
        if statistics is None or len(seconds) < 2:
            return
        ratio = max(seconds) * len(seconds) / max(sum(seconds), 0.001)
        slowest_ratio = statistics.slowest_ratio + LEARNING_RATE * (
            min(ratio, STRAGGLER_MULTIPLE) - statistics.slowest_ratio
        )
        self._queues[queue] = statistics._replace(slowest_ratio=slowest_ratio)

    def restore(self, queue: str, times: RuntimeStatistics) -> None:
        """Sets the statistics of a queue that an earlier owner stored."""
        self._queues[queue] = times

    def get_statistics(self, queue: str) -> RuntimeStatistics:
        """Returns the statistics of a queue."""
        return self._queues.get(queue, RuntimeStatistics())

    def estimate_task_seconds(self, queue: str, step: StepSpec) -> float:
        """Returns the expected run time of one task of ``step`` in seconds."""
        statistics = self._queues.get(queue)
        if statistics is None or statistics.count < MIN_RUN_COUNT:
            return step.estimate_ms / 1000 if step.estimate_ms else DEFAULT_RUN_SECONDS
        run_variance = max(statistics.variance, MIN_LOG_DEVIATION**2)
        if not step.estimate_ms:
            return math.exp(statistics.mean + run_variance / 2)
        error_variance = max(statistics.error_variance, MIN_LOG_DEVIATION**2)
        declared = math.log(step.estimate_ms / 1000) + statistics.bias
        weight = run_variance / (run_variance + error_variance)
        expected = weight * declared + (1 - weight) * statistics.mean
        return math.exp(expected + weight * error_variance / 2)

    def estimate_log_deviation(self, queue: str, step: StepSpec) -> float:
        """Returns the standard deviation of the logarithm of a task's run time, as estimated."""
        statistics = self._queues.get(queue)
        if statistics is None or statistics.count < MIN_RUN_COUNT:
            return DEFAULT_LOG_DEVIATION
        run_variance = max(statistics.variance, MIN_LOG_DEVIATION**2)
        if not step.estimate_ms:
            return math.sqrt(run_variance)
        error_variance = max(statistics.error_variance, MIN_LOG_DEVIATION**2)
        return math.sqrt(run_variance * error_variance / (run_variance + error_variance))

    def estimate_step_seconds(self, queue: str, step: StepSpec) -> float:
        """Returns the expected run time of the slowest task of ``step`` in seconds."""
        seconds = self.estimate_task_seconds(queue, step)
        return seconds * self.get_statistics(queue).slowest_ratio if step.count > 1 else seconds

    def estimate_chain_seconds(self, workflow: Workflow) -> float:
        """Returns the expected run time of the longest chain of steps in seconds."""
        ends: list[float] = []
        for step in workflow.steps:
            start = max((ends[number] for number in step.after), default=0.0)
            ends.append(start + self.estimate_step_seconds(workflow.queue, step))
        return max(ends, default=0.0)

    def estimate_objective_seconds(self, workflow: Workflow) -> float:
        """Returns the time in seconds within which a workflow should be done."""
        return workflow.stretch * self.estimate_chain_seconds(workflow) + (
            workflow.allowance_ms / 1000
        )

    def estimate_core_seconds(self, workflow: Workflow) -> float:
        """Returns the expected work of the short tasks of one occurrence in core-seconds."""
        return sum(
            step.count * step.millicores / 1000 * self.estimate_task_seconds(workflow.queue, step)
            for step in workflow.steps
            if not step.long_running
        )


def count_chain_steps(workflow: Workflow) -> int:
    """Returns the number of steps of the longest chain."""
    lengths: list[int] = []
    for step in workflow.steps:
        lengths.append(1 + max((lengths[number] for number in step.after), default=0))
    return max(lengths, default=0)


def _update_average(average: float, value: float) -> float:
    return average + LEARNING_RATE * (value - average)
