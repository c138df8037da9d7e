"""Log lines: one JSON object a line, for changes of state only, limited in rate."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from carawayshore.clock import Clock

MAX_LINES_PER_SECOND = 50


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object; identifiers come from ``extra={"fields": {...}}``."""

    def __init__(self, member: str) -> None:
        super().__init__()
        self._member = member

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "member": self._member,
            "logger": record.name,
            "message": record.getMessage(),
        }
        line |= getattr(record, "fields", {})
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class RateLimit(logging.Filter):
    """Drops lines above a rate; the next line that passes tells how many were dropped."""

    def __init__(self, clock: Clock, *, lines_per_second: int = MAX_LINES_PER_SECOND) -> None:
        super().__init__()
        self._clock = clock
        self._limit = lines_per_second
        self._window = clock.elapsed()
        self._count = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = self._clock.elapsed()
        if now - self._window >= timedelta(seconds=1):
            self._window, self._count = now, 0
        self._count += 1
        if self._count > self._limit:
            self._dropped += 1
            return False
        if self._dropped:
            record.fields = getattr(record, "fields", {}) | {"lines_dropped": self._dropped}
            self._dropped = 0
        return True


def drop_lifecycle(record: logging.LogRecord) -> bool:
    """Filters out the lines in which mode tells that it starts and stops each service."""
    return not (isinstance(record.msg, str) and record.msg.startswith("[^"))


def configure_logging(
    member: str, clock: Clock, *, level: str = "info", stream: TextIO = sys.stderr
) -> None:
    """Sends the process's log lines to a stream."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(member))
    handler.addFilter(drop_lifecycle)
    handler.addFilter(RateLimit(clock))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("mode").setLevel(logging.WARNING)
