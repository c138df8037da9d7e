"""Steps on workers that crash or change their capacity while entry hosts run against them."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from platform_builders import build_identifier, build_operator_configuration

from carawayshore_standins.platform_worker import SHRINK_GRACE_S

# Interval at which the workers write their entries, as on the platform.
BEAT_S = 1.5


@given("task {index:d} of job {number:d} crashes the worker that starts it")
def set_crashing_task(context, index, number):
    for worker in context.platform.workers.values():
        worker.crashing_tasks.add(f"{build_identifier(number)}.0.0.{index}")


def _count_crashes(platform) -> int:
    return sum(worker.crash_count for worker in platform.workers.values())


@when("a worker has crashed")
def wait_for_crash(context):
    platform = context.platform
    platform.run(platform.wait_until(lambda: _count_crashes(platform), "a worker has crashed"))


@then("at most {most:d} workers have crashed")
def expect_crashes(context, most):
    assert 1 <= _count_crashes(context.platform) <= most, _count_crashes(context.platform)


@then("the owner counts {count:d} task that crashes its workers")
def expect_count(context, count):
    hosts = context.platform.hosts.values()
    texts = [host.metrics.format_text().decode() for host in hosts]
    lines = [line for text in texts for line in text.splitlines()]
    counts = [line for line in lines if line.startswith("caraway_crashing_tasks_total{")]
    assert sum(float(line.split()[-1]) for line in counts) == count, counts


@given("the workers of configuration 2 start everything")
def start_everything(context):
    platform = context.platform
    configuration = build_operator_configuration(2)
    configuration["services"][0]["rejectsOverload"] = False
    platform.store.put("keyed.op", "config", configuration)

    async def write_entries() -> None:
        while True:
            for worker in platform.workers.values():
                platform.store.put("keyed.servers", worker.name, worker.describe())
            await asyncio.sleep(BEAT_S)

    writing = platform._loop.create_task(write_entries())
    context.add_cleanup(writing.cancel)

    def is_applied() -> bool:
        return all(host.discovery.deployment.version == 2 for host in platform.hosts.values())

    platform.run(platform.wait_until(is_applied, "configuration 2 is applied"))


@when("every worker shrinks to {cores:d} cores")
def shrink_workers(context, cores):
    platform = context.platform

    async def shrink() -> None:
        for worker in platform.workers.values():
            worker.resize(cores * 1000)
        await platform.pause(SHRINK_GRACE_S)

    platform.run(shrink())


@then("no worker was filled beyond its capacity")
def expect_no_overload(context):
    assert not [
        worker.overloads for worker in context.platform.workers.values() if worker.overloads
    ]
