"""Documents of other programs with one value at fault, and the clients that read them.

The clients are the real ones: only the transport below them is replaced, so that each document
takes the way of a response of the platform.
"""

from __future__ import annotations

import asyncio
import base64
import json
import logging
import struct
from collections import defaultdict
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from hypothesis import strategies as st
from workflow_builders import build_workflow

from carawayd.platform.machines import MachinesClient
from carawayd.platform.runs import RunsClient
from carawayd.platform.store import StoreClient
from carawayshore.workflows.model import TaskName
from carawayshore.workflows.state import ORDERED, WorkflowState

LATENCY_S = 0.002
NESTING = 100_000
JOB, OTHER_JOB = "a" * 16, "b" * 16
PLACEHOLDER = "value at fault"
DEEP = b"[" * NESTING + b"]" * NESTING
# Values as they are written, which no reader may take for one of its own.
VALUES = {
    "deeply nested": DEEP,
    "deeply nested objects": b'{"a":' * NESTING + b"1" + b"}" * NESTING,
    "a number beyond a float": b"1e999",
    "a negative number beyond a float": b"-1e999",
    "an integer of 400 digits": b"9" * 400,
    "an integer of 5000 digits": b"9" * 5000,
    "an integer beyond 64 bits": str(1 << 70).encode(),
    "the largest integer of 64 bits": str((1 << 63) - 1).encode(),
    "a float beyond 64 bits": b"1.5e30",
    "not a number": b"NaN",
    "infinity": b"Infinity",
    "a negative number": b"-5",
    "a fraction": b"0.5",
    "true": b"true",
    "null": b"null",
    "text": b'"x"',
    "empty text": b'""',
    "long text": b'"' + b"x" * 5000 + b'"',
    "text with a line break": b'"a\\r\\nb"',
    "text that is no UTF-8": b'"\xff\xfe"',
    "half a surrogate pair": b'"\\ud800"',
    "an empty list": b"[]",
    "a list of lists": b"[[1],[2]]",
    "an empty object": b"{}",
    "an address without a host": b'":80"',
    "an address without a port": b'"10.1.1.1"',
    "port 0": b'"10.1.1.1:0"',
    "port 99999": b'"10.1.1.1:99999"',
    "port -1": b'"10.1.1.1:-1"',
    "port http": b'"10.1.1.1:http"',
    "a host with a space": b'"10.1.1 .1:80"',
    "a host with empty labels": b'"a..b:80"',
    "a host with a path": b'"10.1.1.1/x:80"',
}
# Whole documents that are no JSON objects.
DOCUMENTS = (
    DEEP,
    b"[",
    b"{",
    b"1",
    b"[]",
    b"null",
    b"\xff\xfe",
    b'{"a":1',
    b"NaN",
    b"{}",
    b"9" * 5000,
)
# Values of records that hold digits instead of JSON.
DIGITS = (
    b"+", b"x", b"\xff", b"-1", b"+-1", b"1.5", b"+1e3", b"9" * 400, b"+" + b"9" * 400,
    b"9" * 5000, b"+" + b"9" * 5000, b"+\xb2", "+²".encode(), b"+ 1", b"+1_0", DEEP,
)  # fmt: skip


def list_paths(document: Any, path: tuple = ()) -> list[tuple]:
    """Returns the paths of all values of a document, without the document itself."""
    paths = [path] if path else []
    if isinstance(document, dict | list):
        items = document.items() if isinstance(document, dict) else enumerate(document)
        for token, value in items:
            paths += list_paths(value, (*path, token))
    return paths


def replace_value(document: Any, path: tuple, value: bytes) -> bytes:
    """Returns the JSON of a document with another value, given as it is written."""
    changed = json.loads(json.dumps(document))
    parent = changed
    for token in path[:-1]:
        parent = parent[token]
    parent[path[-1]] = PLACEHOLDER
    return json.dumps(changed).encode().replace(f'"{PLACEHOLDER}"'.encode(), value)


def remove_value(document: Any, path: tuple) -> bytes:
    """Returns the JSON of a document without one of its values."""
    changed = json.loads(json.dumps(document))
    parent = changed
    for token in path[:-1]:
        parent = parent[token]
    del parent[path[-1]]
    return json.dumps(changed).encode()


def build_malformed(document: Any) -> st.SearchStrategy[bytes]:
    """Returns a strategy of documents that differ from a valid one in one value."""
    path = st.sampled_from(list_paths(document))
    return st.one_of(
        st.builds(replace_value, st.just(document), path, st.sampled_from([*VALUES.values()])),
        st.builds(replace_value, st.just(document), path, st.sampled_from([*VALUES.values()])),
        st.builds(remove_value, st.just(document), path),
        st.sampled_from(DOCUMENTS),
        st.binary(max_size=40),
    )


def build_worker_document(**changes: Any) -> dict[str, Any]:
    """Returns the entry of a worker as it writes it."""
    return {
        "backend": "booking", "address": "10.1.1.1:8663", "zone": "umea", "state": "ready",
        "capacity": {"cpu": 4000, "memMb": 8000, "gpus": 0}, "labels": ["a", "r1-1"], "born": 1,
        "machine": "m-1", "seq": 4, "slots": 3,
    } | changes  # fmt: skip


def build_report_document(**changes: Any) -> dict[str, Any]:
    """Returns a worker's report as it writes it."""
    return {
        "clockMs": 482_113, "born": 1,
        "running": [[f"{JOB}.0.0.1", 2, "00bb", 41, 12.5]],
        "finished": [[58, f"{JOB}.0.0.0", 1, "done", ""]],
    } | changes  # fmt: skip


def build_machine_document(name: str, **changes: Any) -> dict[str, Any]:
    """Returns a machine as the machines service lists it."""
    return {
        "machine": name, "pool": "booking", "state": "up", "zone": "umea", "labels": ["a"],
        "capacity": {"cpu": 4000, "memMb": 8000, "gpus": 0}, "id": f"w-{name}",
    } | changes  # fmt: skip


def build_wave_document() -> dict[str, Any]:
    """Returns a wave of upkeep as the operator writes it."""
    return {"wave": 4, "machines": ["m-1", "m-2"], "withinS": 20, "cap": 1}


def build_workflow_records(identifier: str) -> dict[str, Any]:
    """Returns the records of a workflow of two tasks, the first of which was ordered."""
    state = WorkflowState(build_workflow(identifier=identifier), 0.0, 1)
    step = state.steps[0, 0]
    step.tasks[0].status, step.tasks[0].run, step.tasks[0].worker = ORDERED, 1, "w0"
    return {
        state.key(): json.loads(state.encode()),
        state.step_key(step): json.loads(step.encode()),
    }


def build_task(index: int = 0) -> TaskName:
    """Returns the name of a task of the job of the reports."""
    return TaskName(JOB, 0, 0, index)


def _respond(body: bytes, status: int = 200) -> tuple[SimpleNamespace, bytes]:
    return SimpleNamespace(status=status, headers={}), body


class MemoryStore(StoreClient):
    """Client of a store in memory, whose topics have one partition each."""

    def __init__(self) -> None:
        self.logs: dict[str, list[tuple[bytes, bytes]]] = defaultdict(list)
        # Items that the pages of a topic have as well, as they are written.
        self.items: dict[str, list[bytes]] = defaultdict(list)
        # First offset of each topic that is still there.
        self.start_offsets: dict[str, int] = defaultdict(int)
        # Whether every call is rejected.
        self.is_down = False

    def put(self, topic: str, key: str | bytes, value: bytes) -> None:
        name = key if isinstance(key, bytes) else key.encode()
        self.logs[topic].append((name, value))

    async def close(self) -> None:
        """Does nothing, as no connection is open."""

    async def send_request(self, method: str, path: str, *, data: bytes | None = None, **_: Any):
        url = urlsplit(path)
        query = dict(parse_qsl(url.query))
        log = self.logs[query["topic"]]
        await asyncio.sleep(LATENCY_S)
        if self.is_down:
            return _respond(b"", 503)
        if url.path == "/api/log-read":
            if int(query["from"]) < self.start_offsets[query["topic"]]:
                return _respond(b"", 410)
            return await self._read(log, int(query["from"]), int(query["waitMs"]) / 1000)
        if url.path == "/api/log-newest":
            return _respond(self._encode_page(query["topic"]))
        if "at" in query and int(query["at"]) != len(log):
            return _respond(json.dumps({"endOffset": len(log)}).encode(), 412)
        position = 0
        while position < len(data):
            length, name_length = struct.unpack_from(">IB", data, position)
            record = data[position + 5 : position + 4 + length]
            log.append((record[:name_length], record[name_length:]))
            position += 4 + length
        return _respond(json.dumps({"offset": 0, "endOffset": len(log)}).encode())

    async def _read(self, log: list[tuple[bytes, bytes]], offset: int, wait: float):
        waited = 0.0
        while len(log) <= offset and waited < wait:
            await asyncio.sleep(0.05)
            waited += 0.05
        frames = b"".join(
            struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
            for name, value in log[offset:]
        )
        return _respond(struct.pack(">QQ", len(log), 0) + frames)

    def forget_history(self, topic: str) -> None:
        """Expires all records of a topic; the newest one of each key stays."""
        self.start_offsets[topic] = len(self.logs[topic])

    def _encode_page(self, topic: str) -> bytes:
        newest = {
            name.decode(): (value, offset) for offset, (name, value) in enumerate(self.logs[topic])
        }
        items = [
            json.dumps(
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            ).encode()
            for key, (value, offset) in sorted(newest.items())
            if value
        ]
        joined = b",".join([*self.items[topic], *items])
        end = len(self.logs[topic])
        return b'{"items":[%s],"hasMore":false,"endOffset":%d}' % (joined, end)


class ScriptedReports(RunsClient):
    """Client of a worker that answers with ``body`` once, and otherwise with a valid report."""

    def __init__(self) -> None:
        self.body: bytes | None = None
        self.calls = 0

    async def send_request(self, method: str, path: str, **_: Any):
        await asyncio.sleep(LATENCY_S)
        self.calls += 1
        body, self.body = self.body, None
        clock_ms = int(asyncio.get_running_loop().time() * 1000)
        valid = build_report_document(clockMs=clock_ms, running=[], finished=[])
        return _respond(json.dumps(valid).encode() if body is None else body)


class ScriptedMachines(MachinesClient):
    """Client of the machines service that gets ``items`` as they are written."""

    def __init__(self, items: list[bytes]) -> None:
        self._items = items

    async def send_request(self, method: str, path: str, **_: Any):
        return _respond(b'{"machines":[%s],"nextPageToken":""}' % b",".join(self._items))


class PassiveOwner:
    """Owner of a link, which keeps no tasks."""

    fence = 1

    def __init__(self) -> None:
        self.recoveries = 0

    def are_recorded(self, tasks: Any) -> bool:
        return True

    def may_renew(self) -> bool:
        return True

    def find_recorded_start(self, worker: str) -> int:
        return 0

    def find_recorded_lease(self, worker: str, born: int) -> float | None:
        return None

    def measure_unresponsive_seconds(self, worker: str) -> float:
        return 0.0

    def adopt_if_ordered(self, task: TaskName, run: int, worker: str) -> bool:
        return False

    def find_usage(self, task: TaskName) -> None:
        return None

    async def handle_recovery(self, link: Any) -> None:
        self.recoveries += 1

    def flush(self) -> asyncio.Future[None]:
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future

    def ignore(self, *_: Any, **__: Any) -> None:
        """Ignores what the link tells."""

    handle_end = handle_missing_run = handle_stuck_task = handle_loss = ignore
    handle_start = handle_report = handle_fenced = handle_unresponsive = ignore


class LineCollector(logging.Handler):
    """Collects the fields of log lines by message."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append((record.getMessage(), getattr(record, "fields", {})))
