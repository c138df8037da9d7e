"""Steps on cordons that outlive their owners, in virtual time."""

from __future__ import annotations

import asyncio

from behave import then, when
from virtual_time import play
from worker_model import World

WORKER = "w0"
CHECK_S = 0.05
LIMIT_S = 40.0


async def _wait_until_usable(world: World) -> float:
    """Returns the time at which the present owner uses the worker again."""
    until = world.now() + LIMIT_S
    while world.now() < until:
        link = world.current.owner.links.get(WORKER)
        if world.current.owner.loaded and link is not None and not link.cordoned:
            break
        await asyncio.sleep(CHECK_S)
    return world.now()


async def _cordon_through_takeovers(seconds: float, owners: int, interval: float) -> float:
    world = World(1, 0.05)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        await world.cordon(WORKER, seconds)
        cordoned_at = world.now()
        for _ in range(owners):
            await asyncio.sleep(interval)
            await world.take_over()
        return await _wait_until_usable(world) - cordoned_at
    finally:
        await world.close()


async def _renew_until_killed(seconds: float, interval: float, until: float) -> float:
    world = World(1, 0.05)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        ends_at = world.now() + until
        while world.now() < ends_at:
            await world.cordon(WORKER, seconds)
            renewed_at = world.now()
            await asyncio.sleep(interval)
        await world.kill_owner()
        return await _wait_until_usable(world) - renewed_at
    finally:
        await world.close()


async def _measure_confirmation(seconds: float, interval: float, append: float) -> float:
    """Returns after how many seconds the second of two requests is confirmed.

    The first one is given up by its caller when the second one is made.
    """
    world = World(1, 0.05)
    try:
        await world.take_over()
        await asyncio.sleep(1.0)
        world.store.append_seconds = append
        began_at = world.now()
        first = asyncio.ensure_future(world.current.owner.cordon([WORKER, seconds]))
        await asyncio.sleep(interval)
        first.cancel()
        await world.current.owner.cordon([WORKER, seconds])
        return world.now() - began_at
    finally:
        await world.close()


@when(
    "a worker is cordoned for {seconds:g} s and {owners:d} owners follow each other after "
    "{interval:g} s each"
)
def cordon_through_takeovers(context, seconds, owners, interval):
    context.seconds = play(_cordon_through_takeovers(seconds, owners, interval))


@when(
    "a worker is cordoned for {seconds:g} s each {interval:g} s and the owner is killed after "
    "{until:g} s"
)
def renew_until_killed(context, seconds, interval, until):
    context.seconds = play(_renew_until_killed(seconds, interval, until))


@when(
    "a worker is cordoned for {seconds:g} s, again after {interval:g} s, and an append takes "
    "{append:g} s"
)
def cordon_twice(context, seconds, interval, append):
    context.confirmed_after = play(_measure_confirmation(seconds, interval, append))


@then("the owner confirms the second request after {least:g} s at the earliest")
def expect_late_confirmation(context, least):
    assert context.confirmed_after >= least, context.confirmed_after


@then(
    "it is used again {least:g} s after it was cordoned at the earliest, and {most:g} s after that "
    "at the latest"
)
def expect_end_between(context, least, most):
    assert least <= context.seconds <= most, context.seconds


@then("it is used again {least:g} s after the last renewal at the earliest")
def expect_end_after(context, least):
    assert least <= context.seconds < LIMIT_S, context.seconds
