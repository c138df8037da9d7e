"""Log lines of a play, with their fields."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class LineCollector(logging.Handler):
    """Keeps the lines of a logger with their fields."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[tuple[str, dict]] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append((record.getMessage(), getattr(record, "fields", {})))

    def find(self, message: str) -> list[dict]:
        """Returns the fields of the lines with a message."""
        return [fields for found, fields in self.lines if found == message]


@contextlib.contextmanager
def collect_lines(*loggers: str) -> Iterator[LineCollector]:
    """Collects what some loggers write."""
    collector = LineCollector()
    found = [logging.getLogger(name) for name in loggers]
    levels = [logger.level for logger in found]
    for logger in found:
        logger.addHandler(collector)
        logger.setLevel(logging.INFO)
    try:
        yield collector
    finally:
        for logger, level in zip(found, levels, strict=True):
            logger.removeHandler(collector)
            logger.setLevel(level)
