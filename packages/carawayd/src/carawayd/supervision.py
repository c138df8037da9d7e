"""Service tasks that outlive unexpected errors, and background work whose errors are seen.

For callers that start a few tasks for each order or report; nothing here is called in a loop.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING, Any

from mode import Service

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

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


# Keeps the running tasks, since asyncio itself holds only weak references to them.
_background_tasks: set[asyncio.Task[None]] = set()


def start_in_background(
    work: Coroutine[Any, Any, Any], on_error: Callable[[], None] | None = None
) -> asyncio.Task[None]:
    """Runs a coroutine that nobody awaits; an unexpected error is logged and counted.

    Parameters
    ----------
    work : coroutine
    on_error : callable, optional
        Called after an unexpected error, to settle what the coroutine has left half done.
    """
    task = asyncio.ensure_future(_run_in_background(work, on_error))
    _background_tasks.add(task)
    task.add_done_callback(_background_tasks.discard)
    return task


async def _run_in_background(
    work: Coroutine[Any, Any, Any], on_error: Callable[[], None] | None
) -> None:
    try:
        await work
    except Exception:
        unexpected_errors.count += 1
        logger.exception(
            "unexpected error in the background",
            extra={"fields": {"task": getattr(work, "__qualname__", repr(work))}},
        )
        if on_error is not None:
            on_error()
