"""What may be running of each client account on the workers of a partition."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayshore.workflows.amounts import NOTHING, Amounts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayd.partition.workerlink import CallHistory, WorkerLink
    from carawayshore.workflows.model import TaskName
    from carawayshore.workflows.placement import Usage, WorkerCapacity
    from carawayshore.workflows.state import WorkflowState


# Time after a takeover for which the runs of workflows that ended shortly before count: until the
# workers have reported and stopped them.
STOPPING_SECONDS = 3.0
# Age of such an end up to which its runs may not have been stopped.
MAX_END_AGE_MS = 15_000


class AccountUsage:
    """Counts the runs that hold capacity on workers, by account.

    Those are started runs, start orders without an answer, and runs that are being stopped. Runs
    whose worker has no link, and orders that may still be carried out late, are counted apart.

    Parameters
    ----------
    workflows : dict of str to WorkflowState
        Table of the partition owner.
    find_usage : callable
        Returns the resources of a run of a task, None if the task is not known.
    """

    def __init__(
        self,
        workflows: dict[str, WorkflowState],
        find_usage: Callable[[TaskName], Usage | None],
    ) -> None:
        self._workflows = workflows
        self._find_usage = find_usage
        self._used: dict[str, Amounts] = {}
        self._started: dict[str, Amounts] = {}
        self._unsettled: dict[str, Amounts] = {}
        # Account and amounts of runs that an earlier owner was stopping, until a time of the clock.
        self._stopping: list[tuple[str, Amounts]] = []
        self._stopping_until = 0.0
        # Account and number of counted runs of each workflow: a workflow may be forgotten before
        # its last run has ended.
        self._accounts: dict[str, tuple[str, int]] = {}

    def count(self, usage: Usage, sign: int) -> None:
        """Adds the resources of a run, or removes them if ``sign`` is -1."""
        identifier = usage.group[0]
        account, runs = self._accounts.get(identifier) or (self._find_account(identifier), 0)
        if not account:
            return
        if runs + sign > 0:
            self._accounts[identifier] = (account, runs + sign)
        else:
            self._accounts.pop(identifier, None)
        self._used[account] = self._used.get(account, NOTHING).add(usage.requested, sign)
        if sign > 0:
            self._started[account] = self._started.get(account, NOTHING).add(usage.requested)
        if self._used[account] == NOTHING:
            del self._used[account]

    def _find_account(self, identifier: str) -> str:
        workflow = self._workflows.get(identifier)
        return workflow.account if workflow is not None else ""

    def restore(self, now: float, unix_ms: int) -> None:
        """Counts the runs of workflows that ended shortly before a takeover.

        Their records tell no tasks. ``now`` is in seconds of the clock, ``unix_ms`` the same time.
        """
        self._stopping = [
            (workflow.account, Amounts(*workflow.remaining[1:]))
            for workflow in self._workflows.values()
            if workflow.remaining is not None
            and unix_ms - workflow.remaining.ended_unix_ms <= MAX_END_AGE_MS
        ]
        self._stopping_until = now + STOPPING_SECONDS

    def count_unsettled(
        self,
        now: float,
        orphans: Iterable[TaskName],
        links: Iterable[WorkerLink],
        histories: Iterable[CallHistory],
    ) -> None:
        """Counts the runs that hold no capacity on a link but may be running, or may start yet.

        Parameters
        ----------
        now : float
            Seconds of the clock.
        orphans : iterable of TaskName
            Tasks that were ordered on workers without a link.
        links : iterable of WorkerLink
        histories : iterable of CallHistory
            Calls that may still take effect, of workers without a link.
        """
        names = list(orphans)
        for link in links:
            if link.late_starts:
                names += [
                    task
                    for task, run in link.late_starts.list_runs()
                    if task not in link.orders or link.orders[task].run != run
                ]
        for history in histories:
            names += [task for task, _ in history.late_starts.list_runs()]
        self._unsettled = {}
        for account, amounts in self._stopping if now < self._stopping_until else ():
            self._unsettled[account] = self._unsettled.get(account, NOTHING).add(amounts)
        for name in names:
            account, usage = self._find_account(name.workflow), self._find_usage(name)
            if account and usage is not None:
                former = self._unsettled.get(account, NOTHING)
                self._unsettled[account] = former.add(usage.requested)

    def measure(self, account: str) -> Amounts:
        """Returns what may be running of an account."""
        used = self._used.get(account, NOTHING)
        return used.add(self._unsettled[account]) if account in self._unsettled else used

    def measure_started(self, account: str) -> Amounts:
        """Returns what has been reserved on workers for an account since the takeover, in sum."""
        return self._started.get(account, NOTHING)

    def measure_workers(self, capacities: Iterable[WorkerCapacity]) -> dict[str, Amounts]:
        """Returns what each account uses of some workers."""
        used: dict[str, Amounts] = {}
        for capacity in capacities:
            for usage in capacity.usages.values():
                account = self._find_account(usage.group[0])
                if account:
                    used[account] = used.get(account, NOTHING).add(usage.requested)
        return used

    def list_accounts(self) -> set[str]:
        """Returns the accounts of which something may be running."""
        return self._used.keys() | self._unsettled.keys()
