"""Client of the workers' runs: orders to start, stop and pace tasks, and lease renewals."""

from __future__ import annotations

from typing import Any, NamedTuple

from carawayd.platform.common import PlatformClient, PlatformError, PlatformRefusal
from carawayd.platform.plugins import platform_client
from carawayshore.workflows.model import TaskName

ORDER_TIMEOUT_SECONDS = 1.0
# The longest time for which a worker holds back the answer to a lease renewal.
LONGEST_WAIT_SECONDS = 2.0
LOOK_GRACE_SECONDS = 0.8

# Reasons of a refused start, by the words of the workers.
REFUSAL_REASONS = {
    "fence": "fenced",
    "old": "superseded",
    "late": "expired",
    "room": "full",
    "ticket": "unadvised",
}
# Ends of a run, by the words of the workers.
END_KINDS = {
    "done": "done",
    "failed": "failed",
    "stopped": "stopped",
    "lapsed": "lapsed",
    "broken": "broken",
    "alone": "incomplete",
}


class OtherIncarnation(PlatformError):
    """Another life of the worker, or another worker, has the address."""


class OrderRefused(PlatformError):
    """The worker answered that it did nothing; ``reason`` tells why."""

    def __init__(self, reason: str, clock_ms: int) -> None:
        super().__init__(f"order refused: {reason}")
        self.reason = reason
        self.clock_ms = clock_ms


class RunningTask(NamedTuple):
    """``figure`` is the tail latency in ms of a serving task, else the processor use."""

    task: TaskName
    run: int
    checkpoint: str
    percent: int
    figure: float


class EndedRun(NamedTuple):
    """``number`` counts the ends of one life of the worker from 1."""

    number: int
    task: TaskName
    run: int
    kind: str
    checkpoint: str


class WorkerReport(NamedTuple):
    """``born`` is the start of this life of the worker, in Unix milliseconds."""

    clock_ms: int
    born: int
    running: list[RunningTask]
    ended: list[EndedRun]


@platform_client("runs")
class RunsClient(PlatformClient):
    """Calls workers by their address; one pool of connections for all of them."""

    async def _order(
        self, address: str, worker: str, path: str, body: dict[str, Any], timeout: float
    ) -> Any:
        self_headers = {"Expect-Instance": worker}
        try:
            return await self.call(
                "POST", f"http://{address}{path}", body=body, timeout=timeout, headers=self_headers
            )
        except PlatformRefusal as refusal:
            document = refusal.document if isinstance(refusal.document, dict) else {}
            if refusal.status == 421:
                raise OtherIncarnation(f"{worker} at {address}") from refusal
            if refusal.status == 409:
                word = str(document.get("reason"))
                reason = REFUSAL_REASONS.get(word, word)
                raise OrderRefused(reason, int(document.get("clockMs", 0))) from refusal
            if refusal.status in (400, 429, 503):
                raise OrderRefused(f"status {refusal.status}", 0) from refusal
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
        checkpoint: str = "",
        ticket: str = "",
    ) -> int:
        """Starts a run and returns the worker's clock in ms.

        ``expires_ms`` is a time on the worker's clock: later, the order has no effect.

        Raises
        ------
        OrderRefused
            If the worker did nothing.
        PlatformError
            If it is not known whether the run started.
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
        answer = await self._order(address, worker, "/api/run-start", body, ORDER_TIMEOUT_SECONDS)
        return int(answer["clockMs"])

    async def stop(self, address: str, worker: str, task: TaskName, run: int, fence: int) -> None:
        """Orders a run to stop; its end is reported like any other."""
        body = {"task": format_task(task), "run": run, "fencingToken": fence}
        await self._order(address, worker, "/api/run-stop", body, ORDER_TIMEOUT_SECONDS)

    async def throttle(
        self, address: str, worker: str, task: TaskName, run: int, *, percent: int, fence: int
    ) -> None:
        """Throttles a run to a share of its processor time."""
        body = {
            "task": format_task(task),
            "run": run,
            "percent": percent,
            "fencingToken": fence,
        }
        await self._order(address, worker, "/api/pace", body, ORDER_TIMEOUT_SECONDS)

    async def renew(
        self,
        address: str,
        worker: str,
        *,
        fence: int,
        acknowledged: int,
        expires_ms: int | None,
        wait: float,
    ) -> WorkerReport:
        """Renews the lease of all runs, acknowledges ends, and waits for the next end.

        ``acknowledged`` is the number of the last end that the worker may forget.
        """
        body: dict[str, Any] = {
            "fencingToken": fence,
            "lastSeen": acknowledged,
            "waitMs": int(min(wait, LONGEST_WAIT_SECONDS) * 1000),
        }
        if expires_ms is not None:
            body["deadlineMs"] = expires_ms
        answer = await self._order(address, worker, "/api/hold", body, wait + LOOK_GRACE_SECONDS)
        return _decode_report(answer)


def format_task(task: TaskName) -> str:
    """Returns the name of a task on the wire."""
    return f"{task.workflow}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskName:
    """Returns the task that the wire names."""
    workflow, occurrence, step, index = text.split(".")
    return TaskName(workflow, int(occurrence), int(step), int(index))


def _decode_report(document: Any) -> WorkerReport:
    try:
        running = [
            RunningTask(
                parse_task(row[0]),
                int(row[1]),
                str(row[2] or ""),
                int(row[3]),
                float(row[4]) if len(row) > 4 else 0.0,
            )
            for row in document.get("running") or ()
        ]
        ended = [
            EndedRun(
                int(row[0]),
                parse_task(row[1]),
                int(row[2]),
                END_KINDS.get(row[3], str(row[3])),
                str(row[4] or "") if len(row) > 4 else "",
            )
            for row in document.get("finished") or ()
        ]
        return WorkerReport(
            int(document["clockMs"]), int(document.get("born") or 0), running, ended
        )
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise PlatformError(f"malformed report of a worker: {error!r}") from error
