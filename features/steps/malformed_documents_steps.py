"""Steps on documents of other programs that cannot be read."""

from __future__ import annotations

import asyncio
import json
import logging
import tempfile
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import looptime
import msgspec
from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st
from malformed_builders import (
    DIGITS,
    JOB,
    NESTING,
    OTHER_JOB,
    VALUES,
    LineCollector,
    MemoryStore,
    PassiveOwner,
    ScriptedMachines,
    ScriptedReports,
    build_machine_document,
    build_malformed,
    build_report_document,
    build_wave_document,
    build_worker_document,
    build_workflow_records,
    replace_value,
)
from owner_builders import OwnerHarness, build_settings
from platform_builders import build_identifier, build_job, build_operator_configuration
from virtual import LoopClock
from workflow_builders import build_entry

from carawayd import supervision
from carawayd.partition.contactloss import UNRESPONSIVE_PREFIX
from carawayd.partition.cordons import CORDON_PREFIX, MAX_LIFETIME_SECONDS
from carawayd.partition.knownworkers import WORKER_PREFIX
from carawayd.partition.ledger import WORKFLOWS_TOPIC, Ledger
from carawayd.partition.owner import ACCEPTED, RUNTIME_PREFIX, UNKNOWN_OUTCOME, Reply
from carawayd.partition.workerlink import WorkerLink
from carawayd.platform.common import PlatformError
from carawayd.platform.documents import decode_submission
from carawayd.platform.store import OPERATOR_TOPIC, WORKERS_TOPIC
from carawayd.process import discovery as discovery_module
from carawayd.process.discovery import Discovery
from carawayd.process.exchange import PeerRpc, PeerUnreachable, _CallLink
from carawayd.process.layout import LAYOUT_TOPIC
from carawayd.process.ownercalls import SUBMIT, OwnerCalls
from carawayd.process.site import read_site
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayd.request.workflows import Origin, WorkflowHandler
from carawayd.unreadable import unreadable_records
from carawayshore.findings import FindingsError
from carawayshore.workflows.model import StepSpec
from carawayshore.workflows.runtimes import RuntimeModel, RuntimeStatistics

SEED = 31
SERVICES = {"booking"}
ODD = "odd"
# Time in which an entry that was written is read and applied, and a report is repeated.
APPLY_S, REPORT_S = 1.0, 10.0
SETTINGS_DOCUMENT = {
    "member": "entry", "data_centre": "umea", "caller_address": "127.0.0.1:1",
    "ready_address": "127.0.0.1:1", "peer_host": "127.0.0.1", "peer_port": 1, "metrics_port": 1,
    "store": "127.0.0.1:1", "partitions": 4, "drain_ms": 2000, "status_seconds": 120, "seed": 1,
}  # fmt: skip


def check_examples(count: int, check: Any, *strategies: st.SearchStrategy) -> None:
    """Runs a check on random examples, the same ones in each run."""

    limits = settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    limits(seed(SEED)(hypothesis_given(*strategies)(check)))()


class _Host:
    """Discovery of an entry host over a store in memory, in virtual time."""

    def __init__(self, store: MemoryStore, *, enforces_capacity: bool = True) -> None:
        self.loop = looptime.new_event_loop(start=1_000, noop_cycles=2)
        self.store = store
        self.version = 1
        self.enforces_capacity = enforces_capacity
        self.errors_before = supervision.unexpected_errors.count
        # A fault is logged once in a process, and scenarios share theirs.
        unreadable_records.logged_faults.clear()
        self.lines = LineCollector()
        self.logger = logging.getLogger("carawayd")
        self.logger.addHandler(self.lines)
        self.logger.setLevel(logging.INFO)
        self.joined = 1
        self.write_configuration()
        self.write_worker("w1")
        self.run(self._start())

    async def _start(self) -> None:
        self.discovery = Discovery(self.store, build_settings(), LoopClock())
        self.discovery.needs_workers = True
        await self.discovery.start()
        await asyncio.sleep(APPLY_S)

    def run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    def follow(self, seconds: float = APPLY_S) -> None:
        self.run(asyncio.sleep(seconds))

    def write_configuration(self, *services: str) -> None:
        document = build_operator_configuration(self.version)
        document["services"][0]["rejectsOverload"] = self.enforces_capacity
        document["services"] += [{"name": name} for name in services if name not in SERVICES]
        self.store.put(OPERATOR_TOPIC, "config", json.dumps(document).encode())

    def write_worker(self, name: str, value: bytes | None = None) -> None:
        document = json.dumps(build_worker_document()).encode()
        self.store.put(WORKERS_TOPIC, name, document if value is None else value)

    def add_worker(self) -> str:
        self.joined += 1
        self.write_worker(f"w{self.joined}")
        return f"w{self.joined}"

    def list_workers(self) -> dict[str, Any]:
        return self.discovery.list_workers(SERVICES) or {}

    def is_capacity_used(self, worker: str) -> bool:
        return self.discovery.is_capacity_current(self.list_workers()[worker])

    def close(self) -> None:
        self.logger.removeHandler(self.lines)
        self.logger.setLevel(logging.NOTSET)
        self.run(self.discovery.stop())
        self.loop.close()


def _start_host(context: Any, *, enforces_capacity: bool = True) -> None:
    store = getattr(context, "store", None) or MemoryStore()
    context.host = _Host(store, enforces_capacity=enforces_capacity)
    context.add_cleanup(context.host.close)


def _replace(document: Any, field: str, value: str) -> bytes:
    return replace_value(document, tuple(field.split(".")), VALUES[value])


@given("an entry host that follows the list of workers")
def start_host(context):
    _start_host(context)


@given("an entry host that follows the list of workers, which {guard}")
def start_guarded_host(context, guard):
    _start_host(context, enforces_capacity=guard == "refuse overload")


@given("a list of workers with an entry whose {field} is {value}")
@given("a list of workers with an entry whose {field} are {value}")
def build_list(context, field, value):
    context.store = MemoryStore()
    context.store.put(WORKERS_TOPIC, ODD, _replace(build_worker_document(), field, value))


@given("a list of workers whose page has the item {item}")
def build_page(context, item):
    context.store = MemoryStore()
    context.store.items[WORKERS_TOPIC].append(item.encode())


@given('a fault of the program that shows when the entry "{key}" is applied')
def add_fault(context, key):
    original = discovery_module.decode_worker

    def decode_worker(name, value):
        if name == key:
            raise ZeroDivisionError("a fault of the program")
        return original(name, value)

    discovery_module.decode_worker = decode_worker
    context.add_cleanup(setattr, discovery_module, "decode_worker", original)


@when("another writer leaves an entry whose {field} is {value}, and a worker joins afterwards")
def leave_entry(context, field, value):
    host = context.host
    # The entry is written again and again, as entries of workers are.
    for _ in range(5):
        host.write_worker(ODD, _replace(build_worker_document(), field, value))
        host.follow(0.3)
    join(context)


@when("an entry with a key that is no UTF-8 is written, and a worker joins afterwards")
def leave_key(context):
    context.host.store.put(WORKERS_TOPIC, b"\xff\xfe", json.dumps(build_worker_document()).encode())
    join(context)


@when("a worker joins")
def join(context):
    context.host.add_worker()
    context.host.follow()


@then("the host lists that worker and those before it, but not the unreadable entry")
def expect_list(context):
    assert set(context.host.list_workers()) == {"w1", "w2"}, context.host.list_workers()


@then("one log line names the unreadable entry, however long it stays")
def expect_line(context):
    lines = [fields for message, fields in context.host.lines.lines if fields.get("key") == ODD]
    assert len(lines) == 1, context.host.lines.lines
    assert lines[0]["topic"] == WORKERS_TOPIC, lines
    assert len(lines[0]["error"]) < 300, lines


@then("no task of the host has failed")
def expect_no_error(context):
    errors = supervision.unexpected_errors.count - context.host.errors_before
    assert not errors, f"{errors} unexpected errors"


@when("another writer replaces the entry of {worker} by one whose {field} is {value}")
def replace_entry(context, worker, field, value):
    context.host.write_worker(worker, _replace(build_worker_document(), field, value))
    context.host.follow()


@when("the host follows the list for {seconds:d} s")
def follow_list(context, seconds):
    context.host.follow(seconds)


@when("{worker} writes its entry again")
def write_entry(context, worker):
    context.host.write_worker(worker)
    context.host.follow()


@when("the entry of {worker} is removed and the host follows the list for {seconds:d} s")
def remove_entry(context, worker, seconds):
    context.host.write_worker(worker, b"")
    context.host.follow(seconds)
    join(context)
    context.host.follow(seconds)


@then("{worker} is listed, and its capacity is {use}")
def expect_worker(context, worker, use):
    assert worker in context.host.list_workers(), context.host.list_workers()
    assert context.host.is_capacity_used(worker) == (use == "used")


@then("{worker} is not listed")
def expect_no_worker(context, worker):
    assert worker not in context.host.list_workers()


@when(
    "{count:d} random malformed configurations and waves are written, each followed by a valid"
    " configuration"
)
def write_configurations(context, count):
    host = context.host
    context.missed = []

    def check(configuration, wave):
        host.store.put(OPERATOR_TOPIC, "config", configuration)
        host.store.put(OPERATOR_TOPIC, "wave/4", wave)
        # A malformed document may hold a valid version, as long as the others exceed it.
        current = host.discovery.deployment.version
        host.version = max(host.version, current) + 1
        host.write_configuration()
        host.follow()
        if host.discovery.deployment.version != host.version:
            context.missed.append((configuration[:200], wave[:200]))

    document = build_operator_configuration(1)
    document["routes"][0]["advice"] = {"decisionMs": 1, "perWorkerMs": 1, "validMs": 100}
    check_examples(count, check, build_malformed(document), build_malformed(build_wave_document()))


@then("the host has applied each valid configuration")
def expect_configurations(context):
    assert not context.missed, context.missed


@when(
    "{count:d} random malformed entries are written, each followed by the entry of another worker"
)
def write_entries(context, count):
    host = context.host
    context.missed, context.invalid = [], []

    def check(value):
        host.write_worker(ODD, value)
        name = host.add_worker()
        host.follow()
        if name not in host.list_workers():
            context.missed.append(value[:200])
        entry = host.list_workers().get(ODD)
        if entry is not None and not _is_valid(entry):
            context.invalid.append(entry)

    check_examples(count, check, build_malformed(build_worker_document()))


def _is_valid(entry: Any) -> bool:
    host, _, port = entry.address.rpartition(":")
    sizes = (entry.millicores, entry.memory_mb, entry.accelerators, entry.born)
    return (
        bool(host)
        and not set(host) & set(" /@\r\n")
        and port.isdigit()
        and 1 <= int(port) <= 65_535
        and all(type(size) is int and 0 <= size <= 1 << 53 for size in sizes)
        and all(isinstance(text, str) for text in (entry.service, entry.machine, *entry.labels))
    )


@then("the host lists each of these workers")
def expect_workers(context):
    assert not context.missed, context.missed


@then("every listed worker has an address, a port and a capacity that it may have")
def expect_valid_entries(context):
    assert not context.invalid, context.invalid


@given('a layout whose record of the service "{service}" is {value}')
def build_layout(context, service, value):
    context.store = MemoryStore()
    context.store.put(LAYOUT_TOPIC, service, VALUES[value])


@when('the operator adds the services "{first}" and "{second}"')
def add_services(context, first, second):
    context.host.version += 1
    context.host.write_configuration(first, second)
    context.host.follow(2.0)


@then('"{first}" has a partition and "{second}" has none')
def expect_partitions(context, first, second):
    assert context.host.discovery.find_partition(first) is not None
    assert context.host.discovery.find_partition(second) is None


@then('the layout\'s record of "{service}" is unchanged')
def expect_layout(context, service):
    values = [
        value for name, value in context.host.store.logs[LAYOUT_TOPIC] if name == service.encode()
    ]
    assert len(values) == 1, values


# -- records of the ledger -----------------------------------------------------------------------


def _read_ledger(records: dict[str, bytes]) -> dict[str, bytes]:
    """Returns the records as the ledger of a new owner reads them from the store."""
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    store = MemoryStore()
    for key, value in records.items():
        store.put(WORKFLOWS_TOPIC, key, value)

    async def read() -> dict[str, bytes]:
        ledger = Ledger(store, WORKFLOWS_TOPIC, 0, build_settings(), LoopClock(), WorkflowMetrics())
        return dict(await ledger.read_records())

    try:
        return loop.run_until_complete(asyncio.wait_for(read(), 60))
    finally:
        loop.close()


def _take_over(records: dict[str, bytes]) -> OwnerHarness:
    harness = OwnerHarness(_read_ledger(records))
    harness.loop.close()
    return harness


def _build_records() -> dict[str, bytes]:
    return {
        key: json.dumps(document).encode()
        for key, document in build_workflow_records(OTHER_JOB).items()
    }


def _check_takeover(context: Any, records: dict[str, bytes]) -> None:
    try:
        harness = _take_over(_build_records() | records)
    except Exception as error:
        context.missed.append((repr(error), {key: value[:200] for key, value in records.items()}))
        return
    found = harness.owner.workflows.get(OTHER_JOB)
    if not harness.owner.loaded or found is None or not found.was_ordered_before:
        context.missed.append({key: value[:200] for key, value in records.items()})


@when("{count:d} random malformed records are read by a new owner")
def read_records(context, count):
    context.missed = []
    documents = build_workflow_records(JOB)
    job_record, step_record = documents.values()
    step_key = list(documents)[1]
    entry = json.loads(msgspec.json.encode(build_entry("w0")))
    runtimes = json.loads(msgspec.json.encode(RuntimeStatistics()))
    digits = st.one_of(st.sampled_from(DIGITS), st.binary(min_size=1, max_size=8))
    prefixes = st.sampled_from([UNRESPONSIVE_PREFIX + "w0", CORDON_PREFIX + "w0"])
    keys = st.sampled_from([f"{JOB}/0", f"{JOB}/0/0/0", f"{JOB}/x/0", f"{JOB}/{'9' * 90}/0", "/"])
    job = json.dumps(job_record).encode()
    record = st.one_of(
        st.tuples(st.just(JOB), build_malformed(job_record)),
        st.tuples(st.just(step_key), build_malformed(step_record)),
        st.tuples(st.just(WORKER_PREFIX + "w0"), build_malformed(entry)),
        st.tuples(st.just(RUNTIME_PREFIX + "slots"), build_malformed(runtimes)),
        st.tuples(prefixes, digits),
        st.tuples(keys, st.just(json.dumps(step_record).encode())),
    )

    def check(item):
        _check_takeover(context, {JOB: job} | dict([item]))

    check_examples(count, check, record)


@when("the recorded run times of a queue are {value}, and a new owner reads them")
def read_runtimes(context, value):
    context.missed = []
    _check_takeover(context, {RUNTIME_PREFIX + "slots": VALUES[value]})


@when("the recorded statistics of a queue are {value}, and a new owner reads them")
def read_statistics(context, value):
    context.owner = _take_over({RUNTIME_PREFIX + "slots": value.encode()}).owner


@then("it estimates and learns run times as without them")
def expect_estimates(context):
    step = StepSpec(estimate_ms=500)
    runtimes, fresh = context.owner._runtimes, RuntimeModel()
    for model in (runtimes, fresh):
        model.learn("slots", step, 0.7)
    expected = fresh.estimate_task_seconds("slots", step)
    assert runtimes.estimate_task_seconds("slots", step) == expected


@then("it takes over each time and has the workflow whose records are readable")
def expect_takeovers(context):
    assert not context.missed, context.missed[:5]


@when("a new owner reads {value} as the time for which w0 was unresponsive and as its cordon")
def read_durations(context, value):
    context.harness = _take_over(
        {
            UNRESPONSIVE_PREFIX + "w0": b"+" + VALUES[value],
            CORDON_PREFIX + "w0": VALUES[value],
        }
    )


@then("w0 counts as unresponsive from now on, and is cordoned for the longest time")
def expect_durations(context):
    owner = context.harness.owner
    assert owner._contact_loss.measure_seconds("w0") == 0.0
    end = owner._cordons.find_end("w0")
    assert end == context.harness.clock.seconds + MAX_LIFETIME_SECONDS, end


# -- reports -------------------------------------------------------------------------------------


class _Link:
    """Link to a worker whose reports are scripted, in virtual time."""

    def __init__(self) -> None:
        self.loop = looptime.new_event_loop(start=1_000, noop_cycles=2)
        self.errors_before = supervision.unexpected_errors.count
        self.run(self._start())

    async def _start(self) -> None:
        self.reports = ScriptedReports()
        entry = build_entry("w0", born=1)
        self.link = WorkerLink(entry, PassiveOwner(), self.reports, build_settings(), LoopClock())
        await self.link.start()
        await asyncio.sleep(REPORT_S)

    def run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        self.run(self.link.stop())
        self.loop.close()


@given("a worker that reports to its owner")
def start_link(context):
    context.host = _Link()
    context.add_cleanup(context.host.close)


@when("{count:d} random malformed reports arrive, each followed by valid ones")
def send_reports(context, count):
    host = context.host
    context.missed = []

    def check(body):
        host.reports.body, calls = body, host.reports.calls
        host.run(asyncio.sleep(REPORT_S))
        if host.link.closed or host.link.is_unresponsive or host.reports.calls < calls + 2:
            context.missed.append(body[:300])

    # A task of another name would be a run that the worker has to stop.
    check_examples(count, check, build_malformed(build_report_document(running=[], finished=[])))
    check_examples(count, check, build_malformed(build_report_document()))


@then("the owner has the worker as responsive after each of them")
def expect_responsive(context):
    assert not context.missed, context.missed[:5]


@when("a report arrives whose second of three running tasks has a malformed name")
def send_report(context):
    rows = [[name, 1, "", 5, 0] for name in (f"{JOB}.0.0.1", f"{JOB}.0.0.x", f"{JOB}.0.0.2")]
    reports = ScriptedReports()
    reports.body = json.dumps(build_report_document(running=rows)).encode()
    try:
        context.report = asyncio.run(
            reports.renew(
                "10.1.1.1:1",
                "w0",
                fence=1,
                acknowledged=0,
                expires_ms=None,
                wait=0.0,
                may_send=lambda: True,
            )
        )
    except PlatformError as error:
        context.report = error


@then("the whole report is rejected")
def expect_rejection(context):
    assert isinstance(context.report, PlatformError), context.report
    assert f"{JOB}.0.0.x" in str(context.report), context.report


# -- machines ------------------------------------------------------------------------------------


@when("random malformed machines are listed between two valid ones")
def list_machines(context):
    context.missed = []
    valid = [json.dumps(build_machine_document(name)).encode() for name in ("m-1", "m-2")]

    def check(value):
        client = ScriptedMachines([valid[0], value, valid[1]])
        try:
            machines = {item.machine: item for item in asyncio.run(client.list_machines()).machines}
        except PlatformError:
            # A page that is no JSON, or too deeply nested, cannot be told into items.
            if _is_json(value):
                context.missed.append(value[:300])
            return
        if not {"m-1", "m-2"} <= machines.keys():
            context.missed.append(value[:300])

    check_examples(200, check, build_malformed(build_machine_document("m-3")))
    odd = replace_value(build_machine_document("m-3"), ("capacity", "cpu"), b"-5")
    client = ScriptedMachines([valid[0], odd, valid[1]])
    context.machines = {item.machine: item for item in asyncio.run(client.list_machines()).machines}


def _is_json(value: bytes) -> bool:
    """Whether the items of a page can be told apart if one is written like this."""
    try:
        items = msgspec.json.decode(b"[%s]" % value, type=list[msgspec.Raw])
    except (msgspec.MsgspecError, RecursionError):
        return False
    return len(items) == 1


@then("each list has both valid machines, and a named malformed one is down")
def expect_machines(context):
    assert not context.missed, context.missed[:5]
    assert context.machines["m-3"].state == "down", context.machines


# -- submissions ---------------------------------------------------------------------------------


class _AcceptingOwners:
    """Owner calls that accept each submission."""

    async def call(self, partition, operation, argument, *, deadline_seconds) -> Reply:
        return Reply(ACCEPTED)


async def _prepare_submission(queue: Any) -> bool:
    return True


def _submit(body: bytes) -> Any:
    handler = WorkflowHandler(
        SimpleNamespace(
            prepare_submission=_prepare_submission, list_partitions=lambda _, **__: [0]
        ),
        _AcceptingOwners(),
        WorkflowMetrics(),
        lambda: True,
    )
    deployment = discovery_module.decode_configuration(
        json.dumps(build_operator_configuration(1)).encode()
    )
    origin = Origin(deployment.queues[0], 1, "")
    return asyncio.run(handler._submit(origin, build_identifier(1), body, 1.0))


@when("{count:d} random malformed submissions arrive")
def send_submissions(context, count):
    context.missed = []
    document = build_job(after=[], image="i", mayMiss=1, gang=False, requiredLabel="a") | {
        "repeatCount": 2, "startAtMs": 1, "intervalMs": 1000,
    }  # fmt: skip

    def check(body):
        try:
            response = _submit(body)
        except Exception as error:
            context.missed.append((repr(error)[:300], body[:300]))
            return
        findings = json.loads(response.body).get("findings", [])
        is_short = all(len(finding) < 400 for finding in findings)
        if response.status != 200 and (response.status != 400 or not findings or not is_short):
            context.missed.append((response.status, findings, body[:300]))

    check_examples(count, check, build_malformed(document))


@then("each is accepted or answered with status 400 and findings")
def expect_answers(context):
    assert not context.missed, context.missed[:5]


@when("a job of {count:d} tasks is submitted with a repeatCount of {repeats:d}")
def submit_occurrences(context, count, repeats):
    queue = SimpleNamespace(
        service="booking", priority=0, max_failures=1, stretch=1.0, allowance_ms=0,
        name="slots", advice=None,
    )  # fmt: skip
    body = json.dumps(build_job(count) | {"repeatCount": repeats}).encode()
    context.submission = decode_submission(build_identifier(1), queue, body)


@then("it is answered with status 400 and a finding at {pointer}")
def expect_finding(context, pointer):
    workflow, findings = context.submission
    assert workflow is None and [item.pointer for item in findings] == [pointer], findings


# -- settings ------------------------------------------------------------------------------------


@when("{count:d} random malformed settings are read")
def read_settings(context, count):
    context.missed = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"

        def check(text):
            path.write_bytes(text)
            try:
                site = read_site(path)
            except FindingsError as error:
                if not error.findings or len(str(error)) > 20_000:
                    context.missed.append((str(error)[:300], text[:300]))
                return
            except Exception as error:
                context.missed.append((repr(error)[:300], text[:300]))
                return
            if not (1 <= site.peer_port <= 65_535 and 1 <= site.metrics_port <= 65_535):
                context.missed.append((site, text[:300]))

        check_examples(count, check, build_malformed(SETTINGS_DOCUMENT))


@then("each is rejected with findings or has values within bounds")
def expect_findings(context):
    assert not context.missed, context.missed[:5]


# -- peers ---------------------------------------------------------------------------------------


class _Socket:
    """Socket that keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    async def send_multipart(self, frames: list[bytes], flags: int = 0) -> None:
        self.sent.append(msgspec.msgpack.decode(frames[-1]))


NOT_A_NUMBER = float("nan")
PEER_MESSAGES = (
    b"", b"\xff", b"\x91" * 100_000, b"\xc1", msgspec.msgpack.encode(None),
    *(msgspec.msgpack.encode(item) for item in (
        [], [1], [1, "look", ["x"]], ["1", "look", [0, "x"], None], [[], "look", [0, "x"], None],
        [1, [], [0, "x"], None], [1, "look", {}, None], [1, "look", [0, 7], None],
        [1, "look", [0, "x"], ["p"]], [1, "look", [0, "x"], 7], [-1, "look", [0, "x"], None],
        [1, "cordon", [0, ["w0", NOT_A_NUMBER]], None], [1, "cordon", [0, ["w0", -1.0]], None],
        [1, "survey", [0, {"booking": NOT_A_NUMBER}], None], [1, "submit", [0, []], None],
        [1, "submit-version", [0, []], None], [1, "submit-version", [0, [[], []]], None],
        [1, "confirm-absence", [0, "x"], None], [1, "confirm-absence", [0, ["x", []]], None],
        [1, "confirm-absence", [0, ["x", ["h", "/", "2"]]], None],
        [1, "unknown", [0, "x"], None],
    )),
)  # fmt: skip


@when("malformed messages of peers arrive at an entry host, each followed by a call")
def send_messages(context):
    asyncio.run(_send_messages(context))


async def _send_messages(context: Any) -> None:
    clock = SimpleNamespace(elapsed=LoopClock().elapsed)
    rpc = PeerRpc(build_settings(), clock)
    ran: list[Any] = []
    operations = (
        "submit",
        "confirm_absence",
        "read_state",
        "cancel",
        "count_pending",
        "report_load",
    )
    owner = SimpleNamespace(**dict.fromkeys((*operations, "cordon", "uncordon"), _record(ran)))
    ownership = SimpleNamespace(find_owner=lambda partition: owner, is_current=lambda: True)
    OwnerCalls(ownership, rpc, clock)
    rpc._socket.close()
    rpc._socket = _Socket()
    context.missed = []
    expiry = [rpc._process, NOT_A_NUMBER]
    messages = [*PEER_MESSAGES, msgspec.msgpack.encode([1, "look", [0, "late"], expiry])]
    for message in messages:
        before = len(ran)
        await rpc._serve_call(b"peer", [message])
        if len(ran) != before:
            context.missed.append(("ran", message[:80], ran[-1]))
        valid = msgspec.msgpack.encode([2, "look", [0, "x"], None])
        await rpc._serve_call(b"peer", [valid])
        if rpc._socket.sent[-1][:2] != [2, "ran"]:
            context.missed.append(("not served", message[:80]))
    rpc._context.destroy(linger=0)


def _record(ran: list[Any]) -> Any:
    async def handle(argument: Any) -> Reply:
        ran.append(argument)
        return Reply(ACCEPTED)

    return handle


def _build_malformed_replies(number: int) -> list[bytes]:
    documents = [
        None,
        [],
        [number],
        [[], "ran", "odd", "p", 1.0],
        [number, "ran", "odd", "p", NOT_A_NUMBER],
        [number, "ran", "odd", 7, 1.0],
        [number, "ran", "odd", "p", 1e300],
        [number, 7, "odd", "p", 1.0],
    ]
    encoded = [msgspec.msgpack.encode(document) for document in documents]
    return [b"", b"\xff", b"\x91" * NESTING, *encoded]


class _PeerSocket:
    """Socket of a peer that sends malformed replies ahead of the valid one."""

    def __init__(self) -> None:
        self._replies: asyncio.Queue[bytes] = asyncio.Queue()

    async def send_multipart(self, frames: list[bytes], flags: int = 0) -> None:
        number, *_ = msgspec.msgpack.decode(frames[-1])
        valid = msgspec.msgpack.encode([number, "ran", "valid", "p", 1.0])
        for reply in (*_build_malformed_replies(number), valid):
            self._replies.put_nowait(reply)

    async def recv_multipart(self) -> list[bytes]:
        return [await self._replies.get()]

    def close(self) -> None:
        """Does nothing, as no connection is open."""


@when("a peer sends malformed replies ahead of the valid one to each of {count:d} calls")
def reply_ahead(context, count):
    context.host = SimpleNamespace(errors_before=supervision.unexpected_errors.count)
    context.replies = asyncio.run(_call_peer(count))


async def _call_peer(count: int) -> list[Any]:
    rpc = PeerRpc(build_settings(), LoopClock())
    link = _CallLink("127.0.0.1:1", rpc._context, LoopClock())
    link._socket.close()
    link._socket = _PeerSocket()
    await link.start()
    replies = []
    for _ in range(count):
        try:
            replies.append(await link.call("look", ("x",), 0.3, None))
        except PeerUnreachable as error:
            replies.append(error)
    await link.stop()
    rpc._socket.close()
    rpc._context.destroy(linger=0)
    return replies


@then("each call gets its valid reply")
def expect_replies(context):
    assert set(context.replies) == {"valid"}, context.replies


@then("each call is served, and none whose expiry is no number")
def expect_calls(context):
    assert not context.missed, context.missed


@when("an owner replies with malformed documents to a forwarded submission")
def reply_to_submission(context):
    context.outcomes = []
    clock = SimpleNamespace(elapsed=None, sleep=None)
    for answer in (None, [], 7, [7], ["accepted", None, "soon"], ["accepted", None, 0.0, 1], {}):

        async def call(*_: Any, answer=answer, **__: Any) -> Any:
            return answer

        async def find_address(*_: Any, **__: Any) -> str:
            return "10.1.1.1:1"

        ownership = SimpleNamespace(
            find_owner=lambda partition: None,
            find_address=find_address,
            address="10.1.1.2:1",
            reads_queue_versions=lambda partition: True,
            reads_accounts=lambda partition: True,
        )
        calls = OwnerCalls(ownership, SimpleNamespace(call=call), clock)
        reply, may_have_effect = asyncio.run(calls.call_once(0, SUBMIT, [], 1.0))
        context.outcomes.append((answer, reply.outcome, may_have_effect))


@then("the outcome of the submission is unknown each time")
def expect_unknown(context):
    for answer, outcome, may_have_effect in context.outcomes:
        assert may_have_effect and outcome not in (ACCEPTED, UNKNOWN_OUTCOME), (answer, outcome)


@when('the group names owners as null, "{second}" and "{third}"')
def name_owners(context, second, third):
    rows = [["keyed.jobs", number, name, 0] for number, name in enumerate((None, second, third))]
    store = MemoryStore()

    async def send_request(*_: Any, **__: Any) -> Any:
        return SimpleNamespace(status=200, headers={}), json.dumps({"parts": rows}).encode()

    store.send_request = send_request
    context.calls = asyncio.run(_call_owners(store))


async def _call_owners(store: MemoryStore) -> list[Any]:
    owners = await store.list_owners("owners")
    rpc = PeerRpc(build_settings(), LoopClock())
    calls = []
    for member in owners.values():
        if member:
            try:
                calls.append(await rpc.call(member, "look", "x", timeout=0.2))
            except PeerUnreachable as error:
                calls.append(error.sent)
    rpc._socket.close()
    rpc._context.destroy(linger=0)
    return calls


@then("none of them is reached, and no call may have taken effect")
def expect_no_calls(context):
    assert context.calls == [False, False], context.calls
