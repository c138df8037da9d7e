"""Service tasks that outlive unexpected errors."""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING, Any

from mode import Service

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = logging.getLogger(__name__)

# Pause before a failed task runs again, so that a persistent error does not keep the process busy.
RESTART_DELAY_SECONDS = 0.5


class UnexpectedErrors:
    """Number of unexpected errors of supervised tasks in this process."""

    def __init__(self) -> None:
        self.count = 0


unexpected_errors = UnexpectedErrors()


def supervised_task(function: Callable[[Any], Awaitable[None]]) -> Any:
    """Decorates a service's task so that an unexpected error restarts it.

    The library ``mode`` stops the service and all services above it if a task raises, which would
    end the process. The error is logged and counted instead, and the task runs again from its
    start after ``RESTART_DELAY_SECONDS``.
    """

    @functools.wraps(function)
    async def run(self: Any) -> None:
        while not self.should_stop:
            try:
                await function(self)
                return
            except Exception:
                unexpected_errors.count += 1
                logger.exception(
                    "unexpected error; running the task again",
                    extra={"fields": {"task": function.__qualname__}},
                )
            await asyncio.sleep(RESTART_DELAY_SECONDS)

    return Service.task(run)
