"""behave fixture: one deployment shared by all scenarios of a feature."""

from __future__ import annotations

import asyncio
import tempfile
import threading
from pathlib import Path

from behave import fixture

from matrix.runner import Lane

# Fixed so that CI repeats the same random choices; tools/matrix.py draws seeds.
SEED = 7


@fixture
def serve_lane(context):
    """Yields a function that runs a cell on an event loop in a separate thread.

    The relays between the entry hosts must keep running between two behave steps.
    """
    seed = context.seed = SEED
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def call_in_loop(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result()

    lanes: list[Lane] = []

    async def replace_lane(folder: str) -> None:
        await close()
        lanes.append(await Lane(Path(folder), f"lane{len(lanes)}", seed).__aenter__())

    async def close() -> None:
        if lanes:
            await lanes[-1].__aexit__(None, None, None)

    def run(cell, folder: str):
        result = call_in_loop(lanes[-1].run(cell))
        if not result.reusable:
            call_in_loop(replace_lane(folder))
        return result

    try:
        with tempfile.TemporaryDirectory() as folder:
            call_in_loop(replace_lane(folder))
            yield lambda cell: run(cell, folder)
            call_in_loop(close())
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
