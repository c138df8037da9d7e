"""Steps on log streams and on the command that explains a request from the logs."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import os
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from carawayctl.cli import main
from carawayd.process.logs import QueuedHandler

OTHER_IDENTIFIER = "00000000000000bb"
# Log lines of a replayed load by event: time in seconds, entry host, message and fields.
LINES_BY_EVENT = {
    "a rejection": [
        (
            1,
            "umea-1",
            "submission considered",
            {"admitted": False, "why": "the backlog exceeds the slack", "cores": 40.0},
        ),
    ],
    "a late end": [
        (1, "umea-1", "submission considered", {"admitted": True, "cores": 40.0}),
        (2, "umea-1", "tasks ordered", {"step": 0, "workers": {"w1": [0]}}),
        (9, "lulea-1", "task reset: lease expired", {"worker": "w1", "run": 1}),
        (9.1, "lulea-1", "tasks ordered", {"step": 0, "workers": {"w2": [0]}}),
        (10, "lulea-1", "workflow ended", {"state": "completed", "late_seconds": 6.1}),
    ],
    "a crash of its workers": [
        (1, "umea-1", "worker lost with its runs", {"runs": [[1, "started", False, 0.01]]}),
        (
            5,
            "lulea-1",
            "workflow ended",
            {"state": "failed", "why": "workers crashed under a task"},
        ),
    ],
    "a failure": [
        (1, "umea-1", "submission considered", {"admitted": True}),
        (3, "umea-1", "task reset: failed", {"worker": "w1", "failures": 1}),
        (5, "umea-1", "workflow ended", {"state": "failed", "why": "task failed 2 times"}),
    ],
}


def _write_logs(folder: Path, event: str, identifier: str) -> list[Path]:
    lines: dict[str, list[str]] = {"umea-1": [], "lulea-1": []}
    for seconds, member, message, fields in LINES_BY_EVENT[event]:
        for name in (identifier, OTHER_IDENTIFIER):
            key = "task" if "worker" in fields else "workflow"
            value = f"{name}.0.0.0" if key == "task" else name
            if "runs" in fields:
                key, value = "tasks", [f"{name}.0.0.0"]
            stamp = f"2026-01-01T00:00:{seconds:06.3f}+00:00"
            line = {"time": stamp, "level": "info", "member": member, "message": message}
            if name == identifier or message != "task reset: lease expired":
                lines[member].append(
                    f"{seconds} {member} {json.dumps(line | {key: value} | fields)}"
                )
    lines["umea-1"].append("a line that is no JSON {")
    paths = []
    for member, member_lines in lines.items():
        path = folder / f"{member}.log"
        path.write_text("\n".join(member_lines))
        paths.append(path)
    return paths


@given("the logs of two entry hosts in which {event} happened to {identifier}")
def write_logs(context, event, identifier):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.paths = _write_logs(Path(folder.name), event, identifier)
    context.identifier = identifier


@when("an operator runs explain on {identifier}")
def run_explain(context, identifier):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.status = main(["explain", identifier, *map(str, context.paths), "--json"])
    context.lines = json.loads(output.getvalue())["lines"]


@then("the lines are ordered by time")
def expect_sorted(context):
    times = [line["time"] for line in context.lines]
    assert context.status == 0 and times == sorted(times), times


@then("they state {cause}")
def expect_cause(context, cause):
    if cause == "nothing about other requests":
        assert OTHER_IDENTIFIER not in json.dumps(context.lines)
        return
    assert cause in json.dumps(context.lines), context.lines


@then("the command finds nothing and exits with status {status:d}")
def expect_nothing(context, status):
    assert context.status == status and not context.lines


@given("a log stream that is never read")
def open_blocked_stream(context):
    reader, writer = os.pipe()
    context.stream = os.fdopen(writer, "w", buffering=1)
    # Closing the read end makes a writer that is still blocked fail instead of hanging.
    context.add_cleanup(lambda: os.close(reader))
    writer = logging.StreamHandler(context.stream)
    writer.handleError = lambda _record: None
    context.handler = QueuedHandler(writer, size=100)


@when("{count:d} lines are written")
def write_lines(context, count):
    started_at = time.monotonic()
    for _ in range(count):
        record = logging.LogRecord("x", logging.INFO, "", 0, "line " + "x" * 200, (), None)
        context.handler.emit(record)
    context.write_seconds = time.monotonic() - started_at


@then("writing them took less than {seconds:g} s")
def expect_fast(context, seconds):
    assert context.write_seconds < seconds, context.write_seconds


@then("the lines that did not fit are counted")
def expect_dropped(context):
    assert context.handler.dropped > 0, context.handler.dropped
