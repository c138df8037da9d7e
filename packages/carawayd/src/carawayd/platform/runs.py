"""Client of the workers: orders to start, stop and throttle runs of tasks, and lease renewals."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from carawayd.platform.common import PlatformClient, PlatformError, PlatformRefusal
from carawayd.platform.plugins import platform_client
from carawayshore.decoding import (
    MalformedDocument,
    Number,
    Quantity,
    UnixMilliseconds,
    is_identifier,
    parse_count,
    reject,
)
from carawayshore.workflows.model import TaskName

if TYPE_CHECKING:
    from collections.abc import Callable

ORDER_TIMEOUT_SECONDS = 1.0
# Limit of the long-poll wait of a lease renewal.
MAX_REPORT_WAIT_SECONDS = 2.0
# The timeout of a lease renewal is its long-poll wait plus this.
REPORT_GRACE_SECONDS = 0.8

# Maximum number of ends in one report. A worker holds back the ends after these until the reported
# ones are acknowledged.
MAX_REPORTED_ENDS = 500
# Limit of the numbers in the name of a task.
MAX_TASK_NUMBER = 10**9
# Names of running tasks recur with each report of their worker.
MAX_CACHED_TASKS = 16_384

# Reasons of a refused order, by their names on the wire.
REFUSAL_REASONS = {
    # The worker has seen a higher fencing token.
    "fence": "fenced",
    "old": "superseded",
    # The time until which the order was to be executed has passed.
    "late": "expired",
    # The worker lacks the capacity for the task.
    "room": "full",
    # The placement ticket is missing or not valid.
    "ticket": "unadvised",
}
# Kinds of the end of a run, by their names on the wire.
END_KINDS = {
    "done": "done",
    "failed": "failed",
    "stopped": "stopped",
    # The lease expired, and the worker ended the run.
    "lapsed": "lapsed",
    "broken": "broken",
    "alone": "incomplete",
}


class OtherIncarnation(PlatformError):
    """Another incarnation of the worker, or another worker, has the address."""


class OrderRefused(PlatformError):
    """The worker refused an order, which had no effect.

    Parameters
    ----------
    reason : str
        One of the values of ``REFUSAL_REASONS``, another reason that the worker gave, or an HTTP
        status.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"order refused: {reason}")
        self.reason = reason


class RunningTask(NamedTuple):
    """Run that a worker lists.

    Parameters
    ----------
    task : TaskName
    run : int
        Number of the run of the task.
    checkpoint : str
        Last checkpoint, empty if there is none.
    percent : int
        Progress in percent.
    figure : float
        Tail latency in ms of a serving task, else the processor use.
    """

    task: TaskName
    run: int
    checkpoint: str
    percent: int
    figure: float


class EndedRun(NamedTuple):
    """Ended run that a worker reports until the end is acknowledged.

    Parameters
    ----------
    number : int
        Sequence number of the end, from 1 in each incarnation of the worker.
    task : TaskName
    run : int
        Number of the run of the task.
    kind : str
        One of the values of ``END_KINDS``, or another kind that the worker gave.
    checkpoint : str
        Last checkpoint, empty if there is none.
    """

    number: int
    task: TaskName
    run: int
    kind: str
    checkpoint: str


class WorkerReport(NamedTuple):
    """Response of a worker to a lease renewal.

    Parameters
    ----------
    clock_ms : int
        Clock of the worker.
    born : int
        Start of this incarnation of the worker, in Unix milliseconds.
    running : list of RunningTask
        All runs in progress.
    ended : list of EndedRun
        The first ends that have not been acknowledged, at most ``MAX_REPORTED_ENDS``.
    """

    clock_ms: int
    born: int
    running: list[RunningTask]
    ended: list[EndedRun]

    @property
    def lists_all_ends(self) -> bool:
        """Whether a run that is in neither list is not on the worker and has not ended there."""
        return len(self.ended) < MAX_REPORTED_ENDS


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: Quantity
    saved: str | None
    percent: Number
    figure: Number | None = 0.0


class _EndedRow(msgspec.Struct, array_like=True):
    number: Quantity
    task: str
    run: Quantity
    how: str
    saved: str | None = None


class _ReportDocument(TypedDict):
    clockMs: Quantity
    born: NotRequired[UnixMilliseconds | None]
    running: NotRequired[list[_RunningRow] | None]
    finished: NotRequired[list[_EndedRow] | None]


class _OrderResponse(TypedDict):
    clockMs: Quantity


@platform_client("runs")
class RunsClient(PlatformClient):
    """Calls workers by address; one connection pool serves all of them.

    Every call takes ``may_send``, which is called before the call is sent. It raises
    :class:`PlatformUnreached`, without effect, if the permission has ended.
    """

    async def _order(
        self,
        address: str,
        worker: str,
        path: str,
        body: dict[str, Any],
        timeout: float,
        may_send: Callable[[], bool],
        kind: Any = Any,
    ) -> Any:
        instance_headers = {"Expect-Instance": worker}
        try:
            return await self.call(
                "POST",
                f"http://{address}{path}",
                body=body,
                timeout=timeout,
                headers=instance_headers,
                may_send=may_send,
                kind=kind,
            )
        except PlatformRefusal as refusal:
            if refusal.status == 421:
                raise OtherIncarnation(f"{worker} at {address}") from refusal
            if refusal.status == 409:
                reason = REFUSAL_REASONS.get(refusal.reason, refusal.reason)
                raise OrderRefused(reason or f"status {refusal.status}") from refusal
            if refusal.status in (400, 429, 503):
                raise OrderRefused(f"status {refusal.status}") from refusal
            raise

    async def start(
        self,
        address: str,
        worker: str,
        task: TaskName,
        run: int,
        *,
        spec: str,
        expires_ms: int,
        fence: int,
        may_send: Callable[[], bool],
        checkpoint: str = "",
        ticket: str = "",
    ) -> int:
        """Starts a run and returns the worker's clock in ms.

        ``expires_ms`` is a time of the worker's clock after which the order has no effect.

        Raises
        ------
        OrderRefused, PlatformUnreached
            If the order had no effect.
        PlatformError
            If it is unknown whether the run started.
        """
        body: dict[str, Any] = {
            "task": format_task(task),
            "run": run,
            "spec": spec,
            "deadlineMs": expires_ms,
            "fencingToken": fence,
        }
        if checkpoint:
            body["checkpoint"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        response = await self._order(
            address,
            worker,
            "/api/run-start",
            body,
            ORDER_TIMEOUT_SECONDS,
            may_send,
            _OrderResponse,
        )
        return int(response["clockMs"])

    async def stop(
        self,
        address: str,
        worker: str,
        task: TaskName,
        run: int,
        *,
        fence: int,
        may_send: Callable[[], bool],
    ) -> int:
        """Orders a run to stop and returns the worker's clock in ms.

        The end is reported like any other. A start order for the run that arrives later is refused
        by this incarnation of the worker.
        """
        body = {"task": format_task(task), "run": run, "fencingToken": fence}
        response = await self._order(
            address,
            worker,
            "/api/run-stop",
            body,
            ORDER_TIMEOUT_SECONDS,
            may_send,
            _OrderResponse,
        )
        return int(response["clockMs"])

    async def throttle(
        self,
        address: str,
        worker: str,
        task: TaskName,
        run: int,
        *,
        percent: int,
        fence: int,
        may_send: Callable[[], bool],
    ) -> None:
        """Limits a run to a percentage of its processor time."""
        body = {
            "task": format_task(task),
            "run": run,
            "percent": percent,
            "fencingToken": fence,
        }
        await self._order(address, worker, "/api/pace", body, ORDER_TIMEOUT_SECONDS, may_send)

    async def renew(
        self,
        address: str,
        worker: str,
        *,
        fence: int,
        acknowledged: int,
        expires_ms: int | None,
        wait: float,
        may_send: Callable[[], bool],
    ) -> WorkerReport:
        """Renews the lease of all runs, acknowledges ends, and waits for the next end.

        Parameters
        ----------
        address, worker : str
        fence : int
            Fencing token of the owner.
        acknowledged : int
            Number of the last end that the worker may discard.
        expires_ms : int, optional
            New end of the lease on the worker's clock; None leaves the lease as it is.
        wait : float
            Maximum time in seconds for which the worker may delay its response until a run ends.
        """
        body: dict[str, Any] = {
            "fencingToken": fence,
            "lastSeen": acknowledged,
            "waitMs": int(min(wait, MAX_REPORT_WAIT_SECONDS) * 1000),
        }
        if expires_ms is not None:
            body["deadlineMs"] = expires_ms
        response = await self._order(
            address,
            worker,
            "/api/hold",
            body,
            wait + REPORT_GRACE_SECONDS,
            may_send,
            _ReportDocument,
        )
        return _decode_report(response)


def format_task(task: TaskName) -> str:
    """Returns the wire name of a task."""
    return f"{task.workflow}.{task.occurrence}.{task.step}.{task.index}"


@functools.lru_cache(MAX_CACHED_TASKS)
def parse_task(text: str) -> TaskName:
    """Returns the task of a wire name; raises MalformedDocument if it is not one."""
    workflow, *parts = text.split(".")
    try:
        numbers = [parse_count(part, MAX_TASK_NUMBER) for part in parts]
    except MalformedDocument:
        numbers = []
    if len(numbers) != 3 or not is_identifier(workflow):
        raise reject("", text, "a task name, ID.K.STEP.INDEX")
    return TaskName(workflow, *numbers)


def _decode_report(document: _ReportDocument) -> WorkerReport:
    """Returns a report; a report with a malformed row is rejected as a whole.

    A run that is not listed counts as ended, so no row may be left out.
    """
    try:
        running = [
            RunningTask(
                parse_task(row.task),
                int(row.run),
                row.saved or "",
                int(row.percent),
                row.figure or 0.0,
            )
            for row in document.get("running") or ()
        ]
        ended = [
            EndedRun(
                int(row.number),
                parse_task(row.task),
                int(row.run),
                END_KINDS.get(row.how, row.how),
                row.saved or "",
            )
            for row in document.get("finished") or ()
        ]
    except MalformedDocument as error:
        raise PlatformError(f"malformed worker report: {error}") from error
    return WorkerReport(int(document["clockMs"]), int(document.get("born") or 0), running, ended)
