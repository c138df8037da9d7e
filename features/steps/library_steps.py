"""Steps that use the library as other programs embed it."""

from __future__ import annotations

import doctest
import importlib
import pkgutil
import subprocess
import sys

from behave import then, when

import carawayshore

DAEMON_MODULES = ("carawayd", "aiohttp", "zmq", "mode")


@when("the examples of all modules of carawayshore run")
def run_examples(context):
    names = [item.name for item in pkgutil.iter_modules(carawayshore.__path__)]
    modules = [importlib.import_module(f"carawayshore.{name}") for name in names]
    context.results = [doctest.testmod(module) for module in modules]


@then("none fails and there are at least {count:d}")
def expect_examples(context, count):
    assert not sum(result.failed for result in context.results), context.results
    assert sum(result.attempted for result in context.results) >= count, context.results


@when("carawayshore is imported in a separate process")
def import_alone(context):
    code = "import carawayshore, sys; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    context.loaded = {name.partition(".")[0] for name in completed.stdout.split()}


@then("no module of carawayd, aiohttp, zmq or mode is loaded")
def expect_alone(context):
    assert not context.loaded & set(DAEMON_MODULES), context.loaded & set(DAEMON_MODULES)
