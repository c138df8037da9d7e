"""Counters and histograms of the workflows, in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from carawayd.process.metrics import Histogram

if TYPE_CHECKING:
    from datetime import timedelta

ACCOUNT_KINDS = ("held", "used", "waiting")
# Accounts with metrics of their own, so that the number of label values is limited.
MAX_COUNTED_ACCOUNTS = 50
OTHER_ACCOUNTS = "other"


class WorkflowMetrics:
    """All metrics of one entry host on the platform."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = self._add_counter("caraway_answers", "Callers' answers.", "call", "status")
        self.caller_refusals = self._add_counter(
            "caraway_caller_refusals",
            "Connections of callers closed before their request was handled, by reason.",
            "reason",
        )
        self.submissions = self._add_counter(
            "caraway_submissions", "Submissions considered by the owner.", "service", "verdict"
        )
        self.orders = self._add_counter(
            "caraway_start_orders", "Start orders.", "service", "outcome"
        )
        self.ends = self._add_counter("caraway_run_ends", "Ends of runs.", "service", "kind")
        self.copies = self._add_counter(
            "caraway_copies", "Copies of late runs that were settled.", "service", "outcome"
        )
        self.preempted_runs = self._add_counter(
            "caraway_preempted_runs", "Short runs stopped for long-running tasks.", "service"
        )
        self.worker_losses = self._add_counter(
            "caraway_worker_losses", "Workers that were lost with runs.", "service", "how"
        )
        self.crashing_tasks = self._add_counter(
            "caraway_crashing_tasks", "Tasks given up since they crash their workers.", "service"
        )
        self.workflows = self._add_counter(
            "caraway_workflow_ends", "Workflows that ended.", "service", "state", "on_time"
        )
        self.ownership = self._add_counter(
            "caraway_ownership_changes", "Partitions acquired and lost.", "event"
        )
        self.appends = self._add_counter("caraway_store_appends", "Appends to the store.", "topic")
        self.appended_bytes = self._add_counter(
            "caraway_store_appended_bytes", "Bytes appended to the store.", "topic"
        )
        self.machine_orders = self._add_counter(
            "caraway_machine_orders", "Orders for machines.", "order", "outcome"
        )
        self.log_lines_dropped = Gauge(
            "caraway_log_lines_dropped", "Log lines dropped.", registry=self.registry
        )
        self.unexpected_errors = Gauge(
            "caraway_unexpected_errors",
            "Unexpected errors after which a task was run again.",
            registry=self.registry,
        )
        self.refused_records = self._add_counter(
            "caraway_refused_records", "Records that the store cannot take.", "topic"
        )
        self.unreadable_records = self._add_gauge(
            "caraway_unreadable_records",
            "Records of others that could not be read or applied, each time they were read.",
            "topic",
        )
        self.long_running_absent = self._add_gauge(
            "caraway_long_running_absent",
            "Long-running tasks that have not been at work for some seconds.",
            "service",
        )
        self.long_running_longest_wait = self._add_gauge(
            "caraway_long_running_longest_wait_seconds",
            "Longest of the times for which they have not been at work.",
            "service",
        )
        self.short_task_longest_wait = self._add_gauge(
            "caraway_short_task_longest_wait_seconds",
            "Longest of the times for which a short task that is due has not been at work.",
            "service",
        )
        self.short_task_longest_unexplained_wait = self._add_gauge(
            "caraway_short_task_longest_unexplained_wait_seconds",
            "Longest of these times among tasks that are ordered, or for which a worker has room.",
            "service",
        )
        self.undriven_tasks = self._add_gauge(
            "caraway_undriven_tasks",
            "Tasks whose turn has come and that nothing is known to act on next; normally 0.",
            "service",
        )
        self.fragmentation = self._add_gauge(
            "caraway_pool_fragmentation",
            "Share of the free processors that the largest unfinished short task cannot use.",
            "service",
        )
        self.unused_workers = self._add_gauge(
            "caraway_unused_workers",
            "Workers that are listed as ready and have not been usable for some seconds.",
            "service",
        )
        self.pool_shortage = self._add_gauge(
            "caraway_pool_shortage", "Machines that a pool lacks beyond those that come.", "service"
        )
        self.account_cores = self._add_gauge(
            "caraway_account_cores",
            "Cores of a client account: share of its cap, what may be running, what waits for it.",
            "partition",
            "account",
            "kind",
        )
        self.account_rejections = self._add_counter(
            "caraway_account_rejections", "Rejected submissions of client accounts.", "account"
        )
        self._counted_accounts: set[str] = set()
        self.version = Gauge(
            "caraway_configuration_version", "Version in force.", registry=self.registry
        )
        self.first_start = self._add_histogram(
            "caraway_first_start_seconds", "From submission to the first known start.", "service"
        )
        self.duration = self._add_histogram(
            "caraway_workflow_seconds", "From submission to the end of a workflow.", "service"
        )
        self.append_time = self._add_histogram(
            "caraway_append_seconds", "Time of an append.", "topic"
        )

    def _add_counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(name, help_text, labels, registry=self.registry)

    def _add_gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        return Gauge(name, help_text, labels, registry=self.registry)

    def _add_histogram(self, name: str, help_text: str, label: str) -> Histogram:
        histogram = Histogram(name, help_text, label)
        self.registry.register(histogram)
        return histogram

    def set_account(
        self, partition: int, account: str, held: float, used: float, waiting: float
    ) -> None:
        """Sets the cores of an account in one partition."""
        for kind, cores in zip(ACCOUNT_KINDS, (held, used, waiting), strict=True):
            self.account_cores.labels(str(partition), account, kind).set(cores)

    def count_account_rejection(self, account: str) -> None:
        """Counts a rejection; accounts beyond a number that is limited are counted together."""
        if not account:
            return
        if len(self._counted_accounts) < MAX_COUNTED_ACCOUNTS:
            self._counted_accounts.add(account)
        name = account if account in self._counted_accounts else OTHER_ACCOUNTS
        self.account_rejections.labels(name).inc()

    def remove_account(self, partition: int, account: str) -> None:
        """Removes the cores of an account that has none in a partition any more."""
        for kind in ACCOUNT_KINDS:
            self.account_cores.remove(str(partition), account, kind)

    def observe_append(self, topic: str, size: int, duration: timedelta) -> None:
        """Records one append of ``size`` bytes."""
        self.appends.labels(topic).inc()
        self.appended_bytes.labels(topic).inc(size)
        self.append_time.observe(topic, duration)

    def format_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
