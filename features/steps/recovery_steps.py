"""Steps for the recovery of a stream reader whose next offset retention has removed."""

from __future__ import annotations

import asyncio
import contextlib
import random

from behave import given, then, when
from builders_jobs import build_test_settings

from carawayd.platform.common import PlatformError
from carawayd.platform.log import OffsetRemoved, Page
from carawayd.process.metrics import Metrics
from carawayd.process.streams import StreamReader
from carawayshore.clock import SystemClock

ERRORS = {
    "an outage of the log": PlatformError("the log has an outage"),
    "retention that moves on": OffsetRemoved(20, 30),
    "a stream without any snapshot": None,
}
RECOVERY_TIMEOUT_S = 10.0


class FailingLog:
    """Log that has removed the offset of the first read and fails the second one."""

    def __init__(self, error: Exception | None) -> None:
        self.reads = 0
        self.resumed = asyncio.Event()
        self._error = error

    async def read(self, stream: str, offset: int, *, wait: float) -> Page:
        self.reads += 1
        if self.reads == 1:
            raise OffsetRemoved(10, 20)
        if self.reads == 2 and self._error is not None:
            raise self._error
        if self.reads > 2:
            self.resumed.set()
            await asyncio.sleep(0.01)
        return Page([], 0, 0)


@given("a reader whose next offset was removed by retention")
def note_reader(context):
    """Does nothing: the reader is started together with the fault of its recovery."""


@when("its recovery encounters {error}")
def recover(context, error):
    async def run() -> None:
        log = FailingLog(ERRORS[error])
        reader = StreamReader(
            "global",
            log=log,
            settings=build_test_settings(),
            clock=SystemClock(),
            metrics=Metrics(),
            rng=random.Random(1),
        )
        await reader.start()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(log.resumed.wait(), RECOVERY_TIMEOUT_S)
        context.resumed, context.crash = log.resumed.is_set(), reader.crash_reason
        await reader.stop()

    asyncio.run(run())


@then("it continues to read the stream")
def expect_reading(context):
    assert context.resumed, context.crash
    assert context.crash is None, context.crash
