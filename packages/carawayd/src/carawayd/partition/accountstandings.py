"""Standing of client accounts at the submission of workflows to one partition."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.fairness import Standing, SubmissionRates, is_over_share

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from carawayd.partition.accountusage import AccountUsage
    from carawayshore.clock import Clock
    from carawayshore.workflows.model import AccountConfig
    from carawayshore.workflows.placement import WorkerCapacity

# Time for which the judgement of a workflow is kept for later attempts to submit it.
RETENTION_SECONDS = 20.0


class AccountStandings:
    """Judges submissions by the weights of their accounts.

    The rate of an account is that of the submissions to this partition, so an account whose queues
    are in several partitions may exceed its weight in sum.

    Parameters
    ----------
    usage : AccountUsage
    list_accounts : callable
        Returns the accounts of the configuration in force, None if it has none.
    clock : Clock
    """

    def __init__(
        self,
        usage: AccountUsage,
        list_accounts: Callable[[], Mapping[str, AccountConfig] | None],
        clock: Clock,
    ) -> None:
        self._usage = usage
        self._list_accounts = list_accounts
        self._clock = clock
        self._rates = SubmissionRates()
        # Whether a workflow is beyond the weight of its account, and when that was judged.
        self._judged: dict[str, tuple[bool, float]] = {}

    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def judge(
        self, identifier: str, account: str, capacities: Iterable[WorkerCapacity]
    ) -> Standing:
        """Returns the standing of an account for a workflow.

        One that is within the weight once stays so when it is submitted again.

        Parameters
        ----------
        identifier : str
            Identifier of the workflow.
        account : str
            Empty for a call to a public queue, which is within any weight.
        capacities : iterable of WorkerCapacity
            Workers of the service.
        """
        accounts = self._list_accounts()
        if accounts is None or not account:
            return Standing()
        config = accounts.get(account)
        if config is None:
            # The account has been removed, so nothing is owed to it.
            return Standing(beyond_weight=True)
        is_beyond, _ = self._judged.get(identifier, (True, 0.0))
        if is_beyond:
            is_beyond = not self._rates.take(account, config.weight, self._now())
            self._judged[identifier] = (is_beyond, self._now())
        return Standing(is_beyond, self._is_over_share(account, accounts, capacities))

    def _is_over_share(
        self,
        account: str,
        accounts: Mapping[str, AccountConfig],
        capacities: Iterable[WorkerCapacity],
    ) -> bool:
        usable = [capacity for capacity in capacities if capacity.expected]
        used = self._usage.measure_workers(usable)
        entries = [capacity.entry for capacity in usable]
        size = Amounts(
            sum(entry.millicores for entry in entries),
            sum(entry.memory_mb for entry in entries),
            sum(entry.accelerators for entry in entries),
        )
        weights = {name: accounts[name].weight for name in used if name in accounts}
        return is_over_share(account, used, weights, size)

    def expire(self) -> None:
        """Forgets judgements whose workflows are hardly submitted again."""
        now = self._now()
        for identifier, (_, at) in list(self._judged.items()):
            if now - at > RETENTION_SECONDS:
                del self._judged[identifier]
        self._rates.retain(self._list_accounts() or {})
