"""What a worker really ran, optionally kept in a file that outlives a killed worker."""

from __future__ import annotations

import json
from collections import OrderedDict, deque
from pathlib import Path
from typing import TYPE_CHECKING, Any

from carawayshore_standins.common import format_time

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayshore.clock import Clock


class ExecutionRecord:
    """Executions and rejections of one worker, bounded in number.

    Parameters
    ----------
    clock : Clock
    limit : int
        Entries kept in each list; older ones are dropped and counted.
    path : str
        File to which every entry is appended as one JSON line; empty for none.
    """

    def __init__(self, clock: Clock, limit: int, path: str) -> None:
        self._clock = clock
        self._limit = limit
        self._executions: OrderedDict[int, dict[str, Any]] = OrderedDict()
        self._rejections: deque[dict[str, Any]] = deque(maxlen=limit)
        self._next_number = 0
        self._dropped = 0
        self._counts: dict[str, int] = {}
        self._ran: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self._revoked: OrderedDict[str, None] = OrderedDict()
        self.tasks: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.fences: OrderedDict[str, int] = OrderedDict()
        self.drain_began: timedelta | None = None
        if path:
            self._load(Path(path))
        self._file = open(path, "a", buffering=1) if path else None  # noqa: SIM115

    def _load(self, path: Path) -> None:
        """Takes over the entries of an earlier process of the same worker."""
        if not path.exists():
            return
        for line in path.read_text().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue  # A kill may cut the last line short.
            self._take_over(entry.pop("entry"), entry)

    def _take_over(self, kind: str, entry: dict[str, Any]) -> None:
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
            self._bound(self.tasks)
            self._set_fence(entry["job"], entry["lease"])
        else:
            self._ran[entry["request"]] = entry
            self._bound(self._ran)
        self._executions[entry["number"]] = entry
        self._next_number = max(self._next_number, entry["number"] + 1)
        self._dropped += self._bound(self._executions)

    def _set_fence(self, job: str, lease: int) -> None:
        self.fences[job] = max(lease, self.fences.get(job, -1))
        self.fences.move_to_end(job)
        self._bound(self.fences)

    def _bound(self, entries: OrderedDict[Any, Any]) -> int:
        """Drops the oldest of ``entries`` beyond the limit and returns their number."""
        dropped = max(0, len(entries) - self._limit)
        for _ in range(dropped):
            entries.popitem(last=False)
        return dropped

    def _write(self, kind: str, entry: dict[str, Any]) -> None:
        if self._file:
            self._file.write(json.dumps({"entry": kind} | entry) + "\n")

    def describe_arrival(self) -> dict[str, Any]:
        """Returns whether something that arrives now arrives while draining, and how late."""
        if self.drain_began is None:
            return {"draining": False, "seconds_after_drain": None}
        passed = self._clock.elapsed() - self.drain_began
        return {"draining": True, "seconds_after_drain": passed.total_seconds()}

    def begin(self, kind: str, **members: Any) -> dict[str, Any]:
        """Records the start of an execution and returns its entry."""
        entry = {"number": self._next_number, "kind": kind, **members}
        entry |= {"started": format_time(self._clock), "ended": None, "finished": False}
        self._store(entry)
        self._write("execution", entry)
        return entry

    def end(self, entry: dict[str, Any], *, finished: bool, result: str) -> None:
        """Records the end of an execution; ``finished`` is false if it was cut off."""
        entry |= {"ended": format_time(self._clock), "finished": finished, "result": result}
        self._write("execution", entry)

    def reject(self, reason: str, **members: Any) -> None:
        """Records something that was refused and did not run."""
        entry = {"reason": reason, "at": format_time(self._clock)}
        entry |= members | self.describe_arrival()
        self._counts[reason] = self._counts.get(reason, 0) + 1
        self._rejections.append(entry)
        self._write("rejection", entry)

    def revoke(self, identifier: str) -> dict[str, Any]:
        """Returns the state of a request; one that has not run will never run from now on."""
        entry = self._ran.get(identifier)
        if entry:
            return {"state": "finished", "cut_off": not entry["finished"]}
        if identifier not in self._revoked:
            self._revoked[identifier] = None
            self._bound(self._revoked)
            self._write("revocation", {"request": identifier})
        return {"state": "not-run"}

    def is_revoked(self, identifier: str) -> bool:
        return identifier in self._revoked

    def raise_fence(self, job: str, lease: int) -> None:
        """Refuses leases of ``job`` below ``lease`` from now on."""
        self._set_fence(job, lease)
        self._write("fence", {"job": job, "lease": lease})

    def read(self) -> dict[str, Any]:
        return {
            "executions": list(self._executions.values()),
            "executions_dropped": self._dropped,
            "rejections": list(self._rejections),
            "rejection_counts": self._counts,
        }

    def clear(self) -> None:
        """Forgets the entries, but not which requests and leases are refused."""
        self._executions.clear()
        self._rejections.clear()
        self._counts.clear()
        self._dropped = 0

    def close(self) -> None:
        if self._file:
            self._file.close()
