"""Steps on queues that move to another service, with owners that the test plays."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

from behave import given, then, when
from owner_builders import ManualClock, build_settings
from platform_builders import build_job, build_operator_configuration, build_route

from carawayd.partition.owner import ABSENT, ACCEPTED, FOUND, UNREADY, Reply
from carawayd.platform.documents import CONFIGURATION_KEY
from carawayd.platform.store import KeyedRecord
from carawayd.process.discovery import Discovery
from carawayd.process.ownercalls import CANCEL, COUNT_PENDING, GET_STATE
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayd.request.workflows import WorkflowHandler

PARTITIONS = {"booking": 0, "office": 1}
HOST = "jobs.example"
PREFIX = "/slots/"


class PlayedOwners:
    """Answers calls to the owners of two partitions from their sets of jobs."""

    def __init__(self) -> None:
        self.jobs: dict[int, set[str]] = {0: set(), 1: set()}
        self.unreached: set[int] = set()

    async def call(self, partition, operation, subject, *, deadline_seconds) -> Reply:
        if partition in self.unreached:
            return Reply(UNREADY)
        jobs = self.jobs[partition]
        if operation == GET_STATE:
            return Reply(FOUND, "running") if subject in jobs else Reply(ABSENT)
        if operation == CANCEL:
            return Reply(ACCEPTED if subject in jobs else ABSENT)
        if operation == COUNT_PENDING:
            return Reply(FOUND, len(jobs))
        jobs.add(subject[0])
        return Reply(ACCEPTED)


def _publish(context, version: int, service: str) -> None:
    route = build_route() | {"host": HOST, "pathPrefix": PREFIX, "backend": service}
    document = build_operator_configuration(version, route)
    document["services"] = [{"name": name} for name in PARTITIONS]
    record = KeyedRecord(CONFIGURATION_KEY, json.dumps(document).encode())
    context.discovery._apply_operator([record], False)


def _identify(number: int) -> str:
    return f"{number:016x}"


@given("an entry host and job {number:d} of a queue of the service booking")
def build_host(context, number):
    context.owners = PlayedOwners()
    context.clock = ManualClock(1.0)
    context.discovery = Discovery(None, build_settings(), context.clock)
    context.discovery._partition_by_service = dict(PARTITIONS)
    context.handler = WorkflowHandler(
        context.discovery, context.owners, WorkflowMetrics(), lambda: True
    )
    _publish(context, 1, "booking")
    context.owners.jobs[PARTITIONS["booking"]].add(_identify(number))


@given("the owner of the service {service} can't be reached")
def cut_owner(context, service):
    context.owners.unreached.add(PARTITIONS[service])


def _send(context, method: str, path: str) -> None:
    async def read() -> bytes:
        return json.dumps(build_job()).encode()

    request = SimpleNamespace(
        method=method, path=path, headers={"Host": HOST}, content_length=10, read=read
    )
    context.answer = asyncio.run(context.handler._handle(request))


@when("a configuration sends the queue to the service office, and the caller sends {call}")
def move_queue(context, call):
    _publish(context, 2, "office")
    method, _, subject = call.split(" ", 2)
    number = subject.removeprefix("job ")
    _send(context, method, PREFIX + (_identify(int(number)) if number.isdigit() else ""))


@when(
    "a configuration sends the queue to the service office, and {seconds:g} s later the caller"
    " sends POST of job {number:d}"
)
def move_queue_earlier(context, seconds, number):
    _publish(context, 2, "office")
    context.clock.seconds += seconds
    _send(context, "POST", PREFIX + _identify(number))


@then("the answer is {status:d}")
def expect_status(context, status):
    assert context.answer.status == status, context.answer.status


@then("the owner of the service office has no job")
def expect_no_job(context):
    assert not context.owners.jobs[PARTITIONS["office"]]


@then("the answer is {status:d} with {count:d} waiting job")
def expect_count(context, status, count):
    answer = context.answer
    assert (answer.status, json.loads(answer.body)) == (status, {"pending": count})
