"""Fragmentation of each service's free processors, as a metric."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayshore.workflows.lookahead import find_reference_size, measure_fragmentation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayd.partition.workerlink import WorkerLink
    from carawayd.process.workflowmetrics import WorkflowMetrics
    from carawayshore.workflows.state import WorkflowState


def publish_fragmentation(
    services: Iterable[str],
    workflows: dict[str, WorkflowState],
    links: dict[str, WorkerLink],
    metrics: WorkflowMetrics,
) -> None:
    """Sets the metric of the services; 0 for those without unfinished short tasks."""
    for service in services:
        steps = [
            step.spec
            for workflow in workflows.values()
            if workflow.spec.service == service and not workflow.is_terminal
            for step in workflow.steps.values()
            if not step.is_done
        ]
        size = find_reference_size(steps)
        capacities = [link.capacity for link in links.values() if link.entry.service == service]
        share = measure_fragmentation(capacities, size) if size is not None else 0.0
        metrics.fragmentation.labels(service).set(share)
