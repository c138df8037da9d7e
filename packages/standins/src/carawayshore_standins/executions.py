"""Record of what a worker ran, optionally persisted in a file that survives a kill."""

from __future__ import annotations

import json
from collections import OrderedDict, deque
from pathlib import Path
from typing import TYPE_CHECKING, Any

from carawayshore_standins.common import format_now

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayshore.clock import Clock


class ExecutionRecord:
    """Executions, rejections and revocations of one worker, with a bounded number of entries.

    Parameters
    ----------
    clock : Clock
    limit : int
        Maximum number of entries in each list; the oldest are evicted, and executions evicted are
        counted.
    path : str
        File to which every entry is appended as one JSON line; empty for none.
    """

    def __init__(self, clock: Clock, limit: int, path: str) -> None:
        self._clock = clock
        self._limit = limit
        self._executions: OrderedDict[int, dict[str, Any]] = OrderedDict()
        self._rejections: deque[dict[str, Any]] = deque(maxlen=limit)
        self._revocations: deque[dict[str, Any]] = deque(maxlen=limit)
        self._next_number = 0
        self._dropped = 0
        self._rejection_counts: dict[str, int] = {}
        self._requests: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self._revoked: OrderedDict[str, None] = OrderedDict()
        self.tasks: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.fences: OrderedDict[str, int] = OrderedDict()
        self.drain_started_at: timedelta | None = None
        if path:
            self._load(Path(path))
        self._file = open(path, "a", buffering=1) if path else None  # noqa: SIM115

    def _load(self, path: Path) -> None:
        """Loads the entries that an earlier process of the same worker wrote."""
        if not path.exists():
            return
        for line in path.read_text().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue  # A kill can truncate the last line.
            self._restore(entry.pop("entry"), entry)

    def _restore(self, kind: str, entry: dict[str, Any]) -> None:
        if kind == "execution":
            self._store(entry)
        elif kind == "rejection":
            self._rejections.append(entry)
        elif kind == "revocation":
            self._revoked[entry["request"]] = None
        elif kind == "fence":
            self._set_fence(entry["job"], entry["lease"])

    def _store(self, entry: dict[str, Any]) -> None:
        if entry["kind"] == "task":
            self.tasks[entry["job"]] = entry
            self._evict_oldest(self.tasks)
            self._set_fence(entry["job"], entry["lease"])
        else:
            self._requests[entry["request"]] = entry
            self._evict_oldest(self._requests)
        self._executions[entry["number"]] = entry
        self._next_number = max(self._next_number, entry["number"] + 1)
        self._dropped += self._evict_oldest(self._executions)

    def _set_fence(self, job: str, lease: int) -> None:
        self.fences[job] = max(lease, self.fences.get(job, -1))
        self.fences.move_to_end(job)
        self._evict_oldest(self.fences)

    def _evict_oldest(self, entries: OrderedDict[Any, Any]) -> int:
        """Removes the oldest ``entries`` beyond the limit; returns the number removed."""
        dropped = max(0, len(entries) - self._limit)
        for _ in range(dropped):
            entries.popitem(last=False)
        return dropped

    def _write(self, kind: str, entry: dict[str, Any]) -> None:
        if self._file:
            self._file.write(json.dumps({"entry": kind} | entry) + "\n")

    def describe_arrival(self) -> dict[str, Any]:
        """Returns whether the worker is draining, and for how many seconds it has been."""
        if self.drain_started_at is None:
            return {"draining": False, "seconds_after_drain": None}
        drain_duration = self._clock.elapsed() - self.drain_started_at
        return {"draining": True, "seconds_after_drain": drain_duration.total_seconds()}

    def begin(self, kind: str, **members: Any) -> dict[str, Any]:
        """Records the start of an execution and returns its entry."""
        entry = {"number": self._next_number, "kind": kind, **members}
        entry |= {"started": format_now(self._clock), "ended": None, "finished": False}
        self._store(entry)
        self._write("execution", entry)
        return entry

    def end(self, entry: dict[str, Any], *, finished: bool, result: str) -> None:
        """Records the end of an execution; ``finished`` is False if it was interrupted."""
        entry |= {"ended": format_now(self._clock), "finished": finished, "result": result}
        self._write("execution", entry)

    def record_rejection(self, reason: str, **members: Any) -> None:
        """Records a request or task that was refused and did not run."""
        entry = {"reason": reason, "at": format_now(self._clock)}
        entry |= members | self.describe_arrival()
        self._rejection_counts[reason] = self._rejection_counts.get(reason, 0) + 1
        self._rejections.append(entry)
        self._write("rejection", entry)

    def revoke(self, identifier: str) -> dict[str, Any]:
        """Returns the state of a request, and blocks it from running if it has not started yet."""
        entry = self._requests.get(identifier)
        if entry:
            return {"state": "finished", "cut_off": not entry["finished"]}
        if identifier not in self._revoked:
            self._revoked[identifier] = None
            self._evict_oldest(self._revoked)
            self._write("revocation", {"request": identifier})
        return {"state": "not-run"}

    def record_revocation(self, identifier: str, state: str) -> None:
        """Records a revocation call for a request and the state that was returned."""
        entry = {"request": identifier, "state": state, "at": format_now(self._clock)}
        self._revocations.append(entry)

    def is_revoked(self, identifier: str) -> bool:
        return identifier in self._revoked

    def raise_fence(self, job: str, lease: int) -> None:
        """Refuses calls for ``job`` with a lease lower than ``lease`` from now on."""
        self._set_fence(job, lease)
        self._write("fence", {"job": job, "lease": lease})

    def read(self) -> dict[str, Any]:
        return {
            "executions": list(self._executions.values()),
            "executions_dropped": self._dropped,
            "rejections": list(self._rejections),
            "rejection_counts": self._rejection_counts,
            "revocations": list(self._revocations),
        }

    def clear(self) -> None:
        """Deletes the entries, but keeps which requests and leases are refused."""
        self._executions.clear()
        self._rejections.clear()
        self._revocations.clear()
        self._rejection_counts.clear()
        self._dropped = 0

    def close(self) -> None:
        if self._file:
            self._file.close()
