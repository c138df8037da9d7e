"""Steps that control the stand-ins and check their answers and records."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
from datetime import timedelta
from pathlib import Path

from behave import given, then, when
from standin_builders import DeploymentHarness, StandinHarness

from carawayshore_standins.content import PAGE_BYTES, ContentVerifier, generate_pages

WORKER = {"host": "w1", "pool": "booking"}
REQUEST_HEADERS = {"Carawayshore-Pool": "booking"}
STREAM = "/v1/streams/global/records"
TASK = {"attempt": 1, "lease_seconds": 10, "service": "booking", "run_seconds": 100}


def _get_harness(context) -> StandinHarness:
    if not hasattr(context, "harness"):
        context.harness = StandinHarness()
        context.add_cleanup(context.harness.close)
        context.pending = {}
    return context.harness


def _build_headers(request: str, seconds: float = 0) -> dict[str, str]:
    return REQUEST_HEADERS | {"Carawayshore-Request": request, "Work-Seconds": str(seconds)}


def _read_record(context, name: str) -> dict:
    return _get_harness(context).call("GET", name, "/v1/record").body


@given("the stand-in {name:w}")
def start_standin(context, name):
    _get_harness(context).start(name, **(WORKER if name == "worker" else {}))


@given("the stand-in {name:w} with {{{settings}}}")
def start_standin_with(context, name, settings):
    _get_harness(context).start(name, **json.loads("{" + settings + "}"))


@given("the stand-in worker with a record file")
def start_worker_with_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.record_file = str(Path(folder.name) / "record")
    _get_harness(context).start("worker", record_file=context.record_file, **WORKER)


@given("the stand-in pools for that worker")
def start_pools(context):
    harness = _get_harness(context)
    host = WORKER | {"address": harness.addresses["worker"][0]}
    harness.start("pools", hosts=[host])


@given("{name:w} has the faults {faults}")
def set_faults(context, name, faults):
    answer = _get_harness(context).call("POST", name, "/v1/faults", json.loads(faults))
    assert answer.status == 200, answer


@given("{count:d} records are appended")
@when("{count:d} records are appended")
@when("{count:d} record is appended")
def append_records(context, count):
    record = {"id": {"producer": "umea-1/0", "sequence": 1}, "type": "x", "body": {}}
    context.answer = _get_harness(context).call(
        "POST", "log", STREAM, {"records": [record] * count}
    )


@when("the stream is read from {offset:d}")
def read_stream(context, offset):
    context.answer = _get_harness(context).call("GET", "log", f"{STREAM}?from={offset}")


@when("the stream is read from {offset:d} at listener {number:d}")
def read_stream_at(context, offset, number):
    path = f"{STREAM}?from={offset}"
    context.answer = _get_harness(context).call("GET", "log", path, listener=number)


@when("{seconds:g} s pass")
def advance(context, seconds):
    harness = _get_harness(context)
    harness.clock.advance(timedelta(seconds=seconds))


@when("host {host} is listed as {state}")
def list_host(context, host, state):
    entry = {"data_centre": "umea", "address": "127.0.0.1:1", "state": state}
    answer = _get_harness(context).call("PUT", "hostlist", f"/v1/hosts/{host}", entry)
    assert answer.status == 200, answer


@when("operation {operation} drains the worker under fence {fence:d}")
def drain_host(context, operation, fence):
    body = {"operation": operation, "fence": fence}
    context.answer = _get_harness(context).call("POST", "pools", "/v1/hosts/w1/drain", body)


@when("operation {operation} returns the worker to {pool} under fence {fence:d}")
def return_host(context, operation, pool, fence):
    body = {"operation": operation, "fence": fence, "pool": pool}
    context.answer = _get_harness(context).call("POST", "pools", "/v1/hosts/w1/return", body)


@when("the worker is ordered to drain")
def drain_worker(context):
    answer = _get_harness(context).call("POST", "worker", "/v1/control/drain", {})
    assert answer.status == 200, answer


@when("request {request:w} is sent")
def send_request(context, request):
    context.answer = _get_harness(context).call(
        "POST", "worker", "/services/booking/a", {}, headers=_build_headers(request)
    )


@when("request {request:w} of {seconds:g} s starts")
def begin_request(context, request, seconds):
    harness = _get_harness(context)
    headers = _build_headers(request, seconds)
    context.pending[request] = harness.begin(
        "POST", "worker", "/services/booking/a", {}, headers=headers
    )

    async def is_running() -> bool:
        status = await harness.exchange("GET", "worker", "/v1/status")
        return request in status.body["running"]

    harness.wait_until(is_running)


@given("an open connection that has carried a request")
def open_connection(context):
    harness = _get_harness(context)
    context.session = harness.open_session()
    headers = _build_headers("r1")
    answer = harness.call(
        "POST", "worker", "/services/booking/a", {}, headers=headers, session=context.session
    )
    assert answer.status == 200, answer


@when("request {request:w} is sent on the open connection")
def begin_request_on_connection(context, request):
    context.pending[request] = _get_harness(context).begin(
        "POST",
        "worker",
        "/services/booking/a",
        {},
        headers=_build_headers(request),
        session=context.session,
    )


@when("request {request:w} is revoked")
def revoke_request(context, request):
    path = f"/v1/requests/{request}/revoke"
    context.answer = _get_harness(context).call("POST", "worker", path)


@when("job {job:w} is placed under lease {lease:d}")
def place_job(context, job, lease):
    body = TASK | {"lease": lease}
    context.answer = _get_harness(context).call("PUT", "worker", f"/v1/tasks/{job}", body)


@when("the lease {lease:d} of job {job:w} is {action:w}")
def change_lease(context, lease, job, action):
    verb = {"renewed": "renew", "stopped": "stop"}[action]
    path = f"/v1/tasks/{job}/{verb}"
    context.answer = _get_harness(context).call("POST", "worker", path, {"lease": lease})
    assert context.answer.status == 200, context.answer


@when("the worker is started again")
def restart_worker(context):
    harness = _get_harness(context)
    harness.stop("worker")
    harness.start("worker", record_file=context.record_file, **WORKER)


@then("the connection closes without an answer")
def expect_closed_connection(context):
    assert context.answer.status == 0, context.answer


@then("the answer is {status:d} with {members}")
def expect_answer(context, status, members):
    assert context.answer.status == status, context.answer
    expected = json.loads(members)
    found = {name: context.answer.body.get(name) for name in expected}
    assert found == expected, context.answer


@then("the outcome is {outcome}")
def expect_outcome(context, outcome):
    assert context.answer.headers["Carawayshore-Outcome"] == outcome, context.answer.headers


@then("the host list has {count:d} hosts")
def expect_hosts(context, count):
    answer = _get_harness(context).call("GET", "hostlist", "/v1/hosts?data_centre=umea")
    assert len(answer.body["hosts"]) == count, answer


@then("the pools service recorded {count:d} operation that had an effect")
@then("the pools service recorded {count:d} operations that had an effect")
def expect_operations(context, count):
    operations = _read_record(context, "pools")["operations"]
    assert sum(not item["repeated"] for item in operations) == count, operations


@then("the worker ran {count:d} times")
def expect_executions(context, count):
    executions = _read_record(context, "worker")["executions"]
    assert len(executions) == count, executions


@then("the last rejection came {seconds:g} s after the drain")
def expect_rejection(context, seconds):
    rejection = _read_record(context, "worker")["rejections"][-1]
    assert rejection["seconds_after_drain"] == seconds, rejection


@then("the answer of request {request:w} is its own")
def expect_own_answer(context, request):
    answer = _get_harness(context).run(context.pending[request])
    assert (answer.status, answer.body["request"]) == (200, request), answer


@then("request {request:w} has neither an answer nor an error")
def expect_no_response(context, request):
    pending = context.pending[request]
    assert not pending.done(), pending
    pending.cancel()
    _get_harness(context).run(asyncio.wait({pending}))


@then("request {request:w} never reached the worker")
def expect_not_reached(context, request):
    record = _read_record(context, "worker")
    received = [entry["request"] for entry in record["executions"] + record["rejections"]]
    assert request not in received, received
    assert record["silent_connections"] == 1, record["silent_connections"]


@then("job {job:w} is {state:w}")
def expect_task(context, job, state):
    harness = _get_harness(context)

    async def is_in_state() -> bool:
        task = await harness.exchange("GET", "worker", f"/v1/tasks/{job}")
        return task.body["state"] == state

    harness.wait_until(is_in_state)


@given("the content of {path} with {size:d} bytes")
def generate_content(context, path, size):
    context.pages = list(generate_pages(path, size))
    context.size = size


def _is_complete(context, path: str, content: bytes) -> bool:
    verifier = ContentVerifier(path, context.size)
    for start in range(0, len(content), 1000):
        verifier.feed(content[start : start + 1000])
    return verifier.is_complete()


@then("a caller of {path} accepts it as complete")
def expect_complete(context, path):
    assert _is_complete(context, path, b"".join(context.pages))


@then("a caller of {path} rejects it")
def expect_foreign(context, path):
    assert not _is_complete(context, path, b"".join(context.pages))


@then("a caller of {path} rejects it without its last byte")
def expect_truncated(context, path):
    assert not _is_complete(context, path, b"".join(context.pages)[:-1])


@then("a caller of {path} rejects it with two pages swapped")
def expect_swapped_pages(context, path):
    first, second, *others = context.pages
    assert len(first) == len(second) == PAGE_BYTES
    assert not _is_complete(context, path, b"".join([second, first, *others]))


@when("{module:w} is run with {settings}")
def run_module(context, module, settings):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(settings)
        file.flush()
        command = [sys.executable, "-m", f"carawayshore_standins.{module}", "--settings", file.name]
        context.process_result = subprocess.run(command, capture_output=True, text=True, timeout=30)


@then("it ends with status {status:d} and names {pointers}")
def expect_findings(context, status, pointers):
    assert context.process_result.returncode == status, context.process_result
    lines = context.process_result.stderr.splitlines()[1:]
    found = {line.strip().partition(":")[0] for line in lines}
    assert found == set(pointers.split(", ")), context.process_result.stderr


@given("a running deployment with {count:d} worker")
def start_deployment(context, count):
    context.deployment = DeploymentHarness(count)
    context.add_cleanup(context.deployment.close)
    context.first_address = context.deployment.launcher.get_address("umea-w1")


@when("the launcher kills {name}")
def kill_process(context, name):
    context.deployment.run(context.deployment.launcher.kill(name))


@when("the launcher starts {name}")
def start_process(context, name):
    context.deployment.run(context.deployment.launcher.start(name))


@then("{name:S} does not run")
def expect_not_running(context, name):
    assert context.deployment.launcher.processes[name].exit_status == -9


@then("{name:S} answers on its first address")
def expect_address(context, name):
    launcher = context.deployment.launcher
    assert launcher.get_address(name) == context.first_address
    assert context.deployment.run(launcher.read_record(name))["host"] == name


@when("the launcher pauses {name} and ends the deployment")
def pause_and_end(context, name):
    launcher = context.deployment.launcher
    launcher.pause(name)
    context.processes = [process.pid for process in launcher.processes.values()]
    context.deployment.close()


@then("no process of the deployment is left")
def expect_no_process(context):
    assert len(context.processes) == 4, context.processes
    left = [pid for pid in context.processes if Path(f"/proc/{pid}").exists()]
    assert not left, left
