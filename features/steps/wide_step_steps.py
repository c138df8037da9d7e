"""Steps on wide steps, their records, and records that the store refuses."""

from __future__ import annotations

import asyncio
import json
import logging
from types import SimpleNamespace

import looptime
import msgspec
from behave import given, then, when
from malformed_builders import LineCollector
from owner_builders import OwnerHarness, build_settings
from platform_builders import build_job, build_operator_configuration
from virtual import LoopClock
from virtual_time import play
from wide_step_builders import (
    WIDTH,
    disturb,
    measure_writes,
    queue_behind_wide_step,
    refuse_for_a_while,
    refuse_key,
)
from worker_model import ModelStore
from workflow_builders import build_workflow

from carawayd.partition.ledger import Ledger
from carawayd.partition.owner import TOO_LARGE, Reply
from carawayd.platform.documents import decode_configuration
from carawayd.platform.runs import EndedRun, WorkerReport
from carawayd.process.workflowmetrics import WorkflowMetrics
from carawayd.request.workflows import Origin, WorkflowHandler
from carawayshore.decoding import MAX_IDENTIFIER_LENGTH
from carawayshore.workflows.crashes import WorkerLoss
from carawayshore.workflows.model import StepSpec, Submission
from carawayshore.workflows.state import (
    DONE,
    MAX_CHECKPOINT_BYTES,
    MAX_RECORDED_LOSSES,
    ORDERED,
    WAITING,
    TaskState,
    WorkflowState,
    count_part_tasks,
    fits_checkpoint,
)

JOB = "a" * 16


# -- wide steps in virtual time --------------------------------------------------------------------


@given("a store that takes records of 16,384 bytes, and a step of 400 long-running tasks")
def note_step(context):
    context.outcome = None


@when("it runs beside a small job, and {disturbance}")
def play_disturbance(context, disturbance):
    context.outcome = play(disturb(disturbance))


@then("no promise was broken")
def expect_promises(context):
    assert not context.outcome.violations, context.outcome.violations[:3]


@then("all {count:d} tasks run")
def expect_running(context, count):
    assert count == WIDTH
    assert context.outcome.running == count, context.outcome


@then("the small jobs are completed")
def expect_completed(context):
    assert not context.outcome.unfinished, context.outcome.unfinished


@then("no record was refused")
def expect_no_refusal(context):
    assert context.outcome.refusals == 0, context.outcome


@when("steps of {first:d}, {second:d} and {third:d} tasks start and one task of each ends")
def measure_steps(context, first, second, third):
    context.written = {width: play(measure_writes(width)) for width in (first, second, third)}


@then("the bytes written for the starts grow with the number of tasks")
def expect_linear_starts(context):
    per_task = {width: started / width for width, (started, _) in context.written.items()}
    narrowest = per_task[min(per_task)]
    assert max(per_task.values()) < 1.5 * narrowest, per_task


@then("the end of one task writes the same for each of them")
def expect_constant_end(context):
    ends = [ended for _, ended in context.written.values()]
    assert max(ends) < 1.5 * min(ends), ends


@given("three jobs, and a store that refuses {record} of the second one")
def play_refusals(context, record):
    suffix = {"the record": "", "the steps": "/0/0"}[record]
    context.states, context.refusals, violations = play(refuse_key(suffix))
    assert not violations, violations


@then("the first and the third one are completed")
def expect_others(context):
    assert (context.states[0], context.states[2]) == ("completed", "completed"), context.states


@then("the second one is {state}")
def expect_second(context, state):
    assert context.states[1] == state, context.states


@then("it was refused fewer than {count:d} times")
def expect_few_refusals(context, count):
    assert 0 < context.refusals < count, context.refusals


@given("a store that refuses the record of a step while its two tasks end")
def play_refused_ends(context):
    context.kept, context.left, context.running = play(refuse_for_a_while())


@then("their ends are not acknowledged")
def expect_kept_ends(context):
    assert context.kept == 2, context.kept


@then("once the store takes the record, they are acknowledged and both tasks run again")
def expect_resumed(context):
    assert (context.left, context.running) == (0, 2), (context.left, context.running)


@when("a job of 1 task is submitted while 3000 tasks start on workers that answer after 0.7 s")
def play_queue(context):
    context.waited = play(queue_behind_wide_step())


@then("it starts within {seconds:g} s")
def expect_start(context, seconds):
    assert context.waited <= seconds, context.waited


# -- ledger ----------------------------------------------------------------------------------------


class _LedgerBench:
    """Ledger on a store in memory, in virtual time."""

    def __init__(self) -> None:
        self.loop = looptime.new_event_loop(start=0, noop_cycles=2)
        self.store = ModelStore()
        self.lines = LineCollector()
        self.logger = logging.getLogger("carawayd.partition.ledger")
        self.logger.addHandler(self.lines)
        self.run(self._start())

    async def _start(self) -> None:
        self.ledger = Ledger(
            self.store, "keyed.jobs", 0, build_settings(), LoopClock(), WorkflowMetrics()
        )
        await self.ledger.take_over(1)
        await self.ledger.maybe_start()

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def write(self, encoders) -> None:
        for key, encode in encoders.items():
            self.ledger.mark_dirty(key, encode)
        await self.ledger.flush()

    def close(self) -> None:
        self.logger.removeHandler(self.lines)
        self.run(self.ledger.stop())
        self.loop.close()


def _start_bench(context) -> _LedgerBench:
    context.bench = _LedgerBench()
    context.add_cleanup(context.bench.close)
    return context.bench


@given("a ledger of a store without faults")
def build_ledger(context):
    _start_bench(context)


@given('a ledger whose store refuses the key "{key}"')
def build_refusing_ledger(context, key):
    _start_bench(context).store.refused_keys = {key}


@when('it writes "a", "b" and "c"')
def write_three(context):
    context.bench.run(context.bench.write({key: key.encode for key in "abc"}))


@when('it writes "a", {change} and "c"')
def write_change(context, change):
    def fail() -> bytes:
        raise ValueError("cannot be encoded")

    key, encode = {
        "a key of 300 bytes": ("k" * 300, b"v".__bytes__),
        "a value that cannot be encoded": ("b", fail),
        "a value of 300000 bytes": ("b", (b"v" * 300_000).__bytes__),
    }[change]
    context.bench.run(context.bench.write({"a": b"a".__bytes__, key: encode, "c": b"c".__bytes__}))


@when('the store takes "{key}" and {seconds:g} s pass')
def accept_key(context, key, seconds):
    context.bench.store.refused_keys.clear()
    context.bench.run(asyncio.sleep(seconds))


@then("the records {keys} are in the store")
def expect_records(context, keys):
    assert set(context.bench.store.records) == set(keys.split()), set(context.bench.store.records)


@then('the log names "{key}", its size and the limit once')
def expect_line(context, key):
    context.bench.run(asyncio.sleep(20.0))
    [fields] = [
        fields for message, fields in context.bench.lines.lines if message.startswith("record is")
    ]
    limit = build_settings().record_bytes
    assert (fields["key"], fields["bytes"], fields["limit"]) == (key, 3, limit), fields


@then('"b" is not durable, "a" and "c" are')
def expect_durable(context):
    ledger = context.bench.ledger
    assert not ledger.is_durable(["b"])
    assert ledger.is_durable(["a", "c"])


# -- limits of what is recorded --------------------------------------------------------------------


@given("a step of {count:d} tasks with everything that is recorded of a task at its largest")
def build_largest(context, count):
    name = "w" * MAX_IDENTIFIER_LENGTH
    loss = WorkerLoss(name, 2**53, 2**53, False, False, False, False)
    checkpoint = "c" * (MAX_CHECKPOINT_BYTES - 2)
    assert fits_checkpoint(checkpoint)
    assert not fits_checkpoint(checkpoint + "c")
    context.state = WorkflowState(build_workflow(StepSpec(count=count)), 0.0)
    for task in context.state.steps[0, 0].tasks:
        task.status, task.run, task.failures = ORDERED, 2**53, 2**53
        task.worker, task.checkpoint = name, checkpoint
        task.losses = (loss,) * (2 * MAX_RECORDED_LOSSES)


@then("its records have at most {limit:d} bytes each")
def expect_bounded(context, limit):
    step = context.state.steps[0, 0]
    part_tasks = count_part_tasks(limit)
    records = dict(context.state.list_step_records(step, range(len(step.tasks)), part_tasks))
    assert len(records) == -(-len(step.tasks) // part_tasks)
    largest = max(1 + len(key) + len(encode()) for key, encode in records.items())
    assert largest <= limit, largest


class _RefusingOwners:
    """Owner calls that go to the owner of a harness."""

    def __init__(self, harness: OwnerHarness) -> None:
        self._harness = harness

    async def call(self, partition, operation, argument, *, deadline_seconds) -> Reply:
        submission = msgspec.convert(argument, Submission)
        return await self._harness.owner.submit(submission.workflow)


@given("an entry host whose owner takes records of 16,384 bytes")
def build_entry_host(context):
    context.harness = OwnerHarness()
    context.add_cleanup(context.harness.close)
    context.harness.list_worker()
    context.harness.owner.ledger.max_record_bytes = 16_384


@when("a job of 100 steps with long names is submitted")
def submit_large(context):
    async def prepare(queue) -> bool:
        return True

    discovery = SimpleNamespace(
        prepare_submission=prepare, list_partitions=lambda queue, **options: [0]
    )
    owners = _RefusingOwners(context.harness)
    handler = WorkflowHandler(discovery, owners, WorkflowMetrics(), lambda: True)
    configuration = json.dumps(build_operator_configuration(1)).encode()
    queue = decode_configuration(configuration).queues[0]
    document = build_job(image="i" * 200)
    document["steps"] *= 100
    body = json.dumps(document).encode()
    context.answer = context.harness.run(handler._submit(Origin(queue, 1, ""), JOB, body, 3.0))


@then("it is answered with {status:d}, and nothing of it is recorded")
def expect_rejection(context, status):
    assert context.answer.status == status, context.answer.status
    assert JOB not in context.harness.owner.workflows
    assert JOB not in context.harness.read_written()
    assert TOO_LARGE


@given("an owner that has started run 1 of a checkpointing job")
def start_checkpointing(context):
    context.harness = OwnerHarness()
    context.add_cleanup(context.harness.close)
    context.task = context.harness.add_workflow(JOB, 2000, checkpointing=True)
    context.harness.list_worker()
    context.harness.report(clock_ms=40_000)
    context.harness.order(context.task, 1, state="started", absence_certain_after_ms=40_000)


@when("the worker lists the failure of run 1 with a checkpoint of {length:d} characters")
def list_large_checkpoint(context, length):
    end = EndedRun(1, context.task, 1, "failed", "c" * length)
    link = next(iter(context.harness.owner.links.values()))
    report = WorkerReport(50_000, link.incarnation, [], [end])
    context.harness.run(link._process_report(report))


@then("the task has no checkpoint")
def expect_no_checkpoint(context):
    _, _, task = context.harness.owner._find_task(context.task)
    assert (task.status, task.failures, task.checkpoint) == (WAITING, 1, "")


# -- records of both forms -------------------------------------------------------------------------


def _decode_former(value: bytes) -> list[list]:
    """Returns the rows of the record of a step, as the former version reads it."""
    return msgspec.json.decode(value)


def _encode_former(done: int, count: int) -> bytes:
    """Returns the record of a step as the former version writes it."""
    rows = [[DONE, 1]] * done + [[ORDERED, 1, 0, "w0"]] * (count - done)
    return msgspec.json.encode(rows)


def _build_records(count: int, step_record: bytes | None) -> dict[str, bytes]:
    state = WorkflowState(build_workflow(StepSpec(count=count), identifier=JOB), 0.0, 1)
    records = {JOB: state.encode()}
    if step_record is not None:
        records[f"{JOB}/0/0"] = step_record
    return records


def _start_owner(context, records: dict[str, bytes]) -> OwnerHarness:
    context.harness = OwnerHarness(records)
    context.add_cleanup(context.harness.close)
    return context.harness


@given("a step of {count:d} tasks as the former version recorded it, with {done:d} done")
def build_former(context, count, done):
    _start_owner(context, _build_records(count, _encode_former(done, count)))


@when("the owner records a change of task {index:d}")
def change_task(context, index):
    owner = context.harness.owner
    workflow = owner.workflows[JOB]
    step = workflow.steps[0, 0]
    step.tasks[index].run = 7
    owner._record_tasks(workflow, step, [index])
    context.records = context.harness.read_written()
    assert len(context.records[f"{JOB}/0/0/64"]) < 1_500


@when("the former version records the step again, with {done:d} done")
def record_former(context, done):
    # As by a later append: the newest record is read last.
    del context.records[f"{JOB}/0/0"]
    context.records[f"{JOB}/0/0"] = _encode_former(done, 100)


def _read_step(context):
    harness = _start_owner(context, context.records)
    return harness.owner.workflows[JOB].steps[0, 0]


@then("a later owner reads {done:d} done tasks and the change of task {index:d}")
def expect_change(context, done, index):
    step = _read_step(context)
    assert (step.done_count, step.tasks[index].run) == (done, 7)


@then("a later owner reads {done:d} done tasks and no change of task {index:d}")
def expect_no_change(context, done, index):
    step = _read_step(context)
    assert (step.done_count, step.tasks[index].run) == (done, 1)


@given("a job with a step of {count:d} tasks, and hosts of the former version")
def build_mixed_job(context, count):
    build_plain_job(context, count)
    context.harness.owner._has_former_hosts = lambda: True


@given("a job with a step of {count:d} tasks")
def build_plain_job(context, count):
    context.count = count
    _start_owner(context, _build_records(count, None))


@when("a task of it is ordered")
def order_task(context):
    owner = context.harness.owner
    workflow = owner.workflows[JOB]
    step = workflow.steps[0, 0]
    step.tasks[0] = TaskState(ORDERED, 1, 0, "w0")
    owner._record_tasks(workflow, step, [0])


@when("the owner hands over")
def hand_over(context):
    context.harness.run(context.harness.owner.hand_over())


@when("hosts of the former version join, and another task is ordered")
def order_beside_former(context):
    context.harness.owner._has_former_hosts = lambda: True
    order_task(context)


@when("the job is cancelled")
def cancel_job(context):
    assert set(context.harness.read_written()) >= {f"{JOB}/0/0", f"{JOB}/0/0/0"}
    context.harness.run(context.harness.owner.cancel(JOB))


@then("no record of its steps is left")
def expect_no_step_record(context):
    records = context.harness.read_written()
    assert not [key for key in records if key.startswith(f"{JOB}/")], set(records)


@then("the former version reads its record")
def expect_former_read(context):
    rows = _decode_former(context.harness.read_written()[f"{JOB}/0/0"])
    assert len(rows) == context.count
    assert rows[0] == [ORDERED, 1, 0, "w0"], rows[0]


@then("the former version does not read its record")
def expect_no_former_read(context):
    records = context.harness.read_written()
    assert set(records) == {JOB, "?", f"{JOB}/0/0/0"} or f"{JOB}/0/0" not in records, set(records)


@given("records of a part of a step whose job has ended")
def build_leftover(context):
    state = WorkflowState(build_workflow(StepSpec(count=100), identifier=JOB), 0.0, 1)
    state.state = "completed"
    context.records = {JOB: state.encode(), f"{JOB}/0/0/32": b'[[1,1,0,"w0"]]'}


@given("a step of 100 tasks of which one part cannot be read")
def build_unreadable_part(context):
    context.records = _build_records(100, None) | {
        f"{JOB}/0/0/0": msgspec.json.encode([[DONE, 1]] * 32),
        f"{JOB}/0/0/32": b'[[1,1,0,"w',
    }


@when("an owner takes over")
def take_over(context):
    _start_owner(context, context.records)


@then("it removes the part")
def expect_removal(context):
    assert f"{JOB}/0/0/32" not in context.harness.read_written()


@then("it starts no task of the step before the longest lease is over")
def expect_closed(context):
    harness = context.harness
    owner = harness.owner
    key = (JOB, 0, 0)
    assert key not in owner._open_steps
    harness.clock.seconds += owner._lease_bounds.longest - 1.0
    owner._open_closed_steps()
    assert key not in owner._open_steps
    harness.clock.seconds += 2.0
    owner._open_closed_steps()
    assert key in owner._open_steps
    assert owner.workflows[JOB].steps[0, 0].done_count == 32
