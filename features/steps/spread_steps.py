"""Steps on the number of workers that long-running tasks need."""

from __future__ import annotations

import re

from behave import given, then, when
from workflow_builders import build_load, build_machines

from carawayshore.workflows.placement import Amounts
from carawayshore.workflows.pools import PoolHistory
from carawayshore.workflows.spread import TaskGroup, count_needed_workers

TASKS = re.compile(
    r"(?P<count>\d+) of (?P<cores>[\d.]+) cores?"
    r"(?: and (?P<memory>\d+) MB)?(?: and (?P<accelerators>\d+) accelerators)?"
    r"(?:, (?P<most>one|two) a worker)?"
)
LIMITS = {None: 0, "one": 1, "two": 2}


@given("workers of {cores:d} cores, {memory:d} MB and {accelerators:d} accelerators")
def set_size(context, cores, memory, accelerators):
    context.size = Amounts(cores * 1000, memory, accelerators)


@when("their pool has long-running tasks of {tasks}")
def count_workers(context, tasks):
    context.groups = []
    for text in tasks.split("; "):
        found = TASKS.fullmatch(text)
        amounts = Amounts(
            int(float(found["cores"]) * 1000),
            int(found["memory"] or 0),
            int(found["accelerators"] or 0),
        )
        context.groups.append(TaskGroup(int(found["count"]), amounts, LIMITS[found["most"]]))
    context.needed_workers = count_needed_workers(context.groups, context.size)


@then("they need {count:d} workers")
def expect_workers(context, count):
    assert context.needed_workers == count, context.needed_workers


@then("the pool needs {count:d} machines")
def expect_machines(context, count):
    cores = sum(group.count * group.amounts.millicores for group in context.groups) / 1000
    load = build_load("booking", build_machines(booking=1), long_running_cores=cores)
    load = load._replace(long_running_workers=context.needed_workers)
    need = PoolHistory().update(0.0, load, context.size.millicores, 1)
    assert need.needed == count, need
    assert need.taking_tasks == context.needed_workers, need
