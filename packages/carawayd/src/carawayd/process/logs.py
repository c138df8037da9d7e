"""Log output: one JSON object per line, only for state changes, limited in rate."""

from __future__ import annotations

import json
import logging
import queue
import sys
import threading
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from carawayshore.clock import Clock

MAX_LINES_PER_SECOND = 50
# Warnings and errors have a limit of their own, since a busy process writes them when it also
# writes most of its routine lines.
MAX_WARNINGS_PER_SECOND = 20
# Further lines are dropped and counted while the output is slow.
MAX_QUEUED_LINES = 1_000
# Limit for writing the queued lines at the end of the process.
FLUSH_SECONDS = 0.3


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object; identifiers come from ``extra={"fields": {...}}``.

    What all lines of a process or module have in common comes last, so that a line that is shown
    in part still tells what happened to what, and why.
    """

    def __init__(self, member: str) -> None:
        super().__init__()
        self._member = member

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "message": record.getMessage(),
        }
        line |= getattr(record, "fields", {})
        line |= {"member": self._member, "logger": record.name}
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class RateLimitFilter(logging.Filter):
    """Drops lines above a rate; the next line that passes reports how many were dropped."""

    def __init__(self, clock: Clock, *, lines_per_second: int = MAX_LINES_PER_SECOND) -> None:
        super().__init__()
        self._clock = clock
        self._limit = lines_per_second
        self._window_start = clock.elapsed()
        self._count = 0
        self._warning_count = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = self._clock.elapsed()
        if now - self._window_start >= timedelta(seconds=1):
            self._window_start, self._count, self._warning_count = now, 0, 0
        if record.levelno >= logging.WARNING:
            self._warning_count += 1
            is_dropped = self._warning_count > MAX_WARNINGS_PER_SECOND
        else:
            self._count += 1
            is_dropped = self._count > self._limit
        if is_dropped:
            self._dropped += 1
            return False
        if self._dropped:
            record.fields = getattr(record, "fields", {}) | {"lines_dropped": self._dropped}
            self._dropped = 0
        return True


def is_not_mode_lifecycle(record: logging.LogRecord) -> bool:
    """Filters out the lines that the ``mode`` library logs when it starts or stops a service."""
    return not (isinstance(record.msg, str) and record.msg.startswith("[^"))


class QueuedHandler(logging.Handler):
    """Writes lines from a separate thread; drops and counts them while the output blocks.

    Parameters
    ----------
    handler : logging.Handler
        Formats and writes the lines.
    size : int
        Maximum number of queued lines.
    """

    def __init__(self, handler: logging.Handler, *, size: int = MAX_QUEUED_LINES) -> None:
        super().__init__()
        self.dropped = 0
        self._handler = handler
        self._queue: queue.Queue[logging.LogRecord | None] = queue.Queue(size)
        self._thread = threading.Thread(target=self._write, name="logs", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def _write(self) -> None:
        while (record := self._queue.get()) is not None:
            self._handler.handle(record)

    def finish(self) -> None:
        """Writes the queued lines, for at most ``FLUSH_SECONDS``."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(FLUSH_SECONDS)


def count_dropped_lines() -> int:
    """Returns the number of lines dropped because the stream blocked."""
    return sum(
        handler.dropped
        for handler in logging.getLogger().handlers
        if isinstance(handler, QueuedHandler)
    )


def configure_queued_logging(
    member: str, clock: Clock, *, level: str = "info", stream: TextIO = sys.stdout
) -> QueuedHandler:
    """Sends the log lines of the process to a stream without blocking the caller."""
    configure_logging(member, clock, level=level, stream=stream)
    root = logging.getLogger()
    writer = root.handlers[0]
    handler = QueuedHandler(writer)
    for item in list(writer.filters):
        writer.removeFilter(item)
        handler.addFilter(item)
    root.handlers = [handler]
    return handler


def configure_logging(
    member: str, clock: Clock, *, level: str = "info", stream: TextIO = sys.stderr
) -> None:
    """Sends the log lines of the process to a stream."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(member))
    handler.addFilter(is_not_mode_lifecycle)
    handler.addFilter(RateLimitFilter(clock))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("mode").setLevel(logging.WARNING)
