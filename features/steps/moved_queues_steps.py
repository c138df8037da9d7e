"""Steps on queues that move to another service, with owners that the test plays."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when
from moved_queue_builders import HOST, QueueWorld, identify
from platform_builders import build_job, build_operator_configuration, build_route

from carawayd.platform.documents import CONFIGURATION_KEY
from carawayd.platform.store import OPERATOR_TOPIC

FIRST, SECOND = "entry-1", "entry-2"


def _build_world(context, hosts, number, *services) -> QueueWorld:
    world = context.world = QueueWorld(*services)
    context.add_cleanup(world.close)
    world.publish("booking")
    world.run(world.start(*hosts))
    assert world.run(world.submit(number)) == 200
    return world


@given("an entry host and job {number:d} of a queue of the service booking")
def build_host(context, number):
    _build_world(context, [FIRST], number, "booking", "office")


@given("two entry hosts and job {number:d} of a queue of the service booking")
def build_hosts(context, number):
    _build_world(context, [FIRST, SECOND], number, "booking", "office", "depot")


@given("the owner of the service {service} can't be reached")
def cut_owner(context, service):
    context.world.owners.unreached.add(context.world.find_partition(service))


@given("the layout as hosts of an earlier version wrote it")
def write_earlier_layout(context):
    log = context.world.store.logs["keyed.layout"]
    log[:] = [(key, value) for key, value in log if value.isdigit()]


@when("a configuration sends the queue to the service office, and the caller sends {call}")
def move_queue(context, call):
    move_queue_earlier(context, 0.0, call)


@when(
    "a configuration sends the queue to the service office, and {seconds:g} s later the caller"
    " sends {call}"
)
def move_queue_earlier(context, seconds, call):
    world = context.world

    async def play():
        await world.apply("office")
        await asyncio.sleep(seconds)
        return await world.send(call)

    context.answer = world.run(play())


async def _restart_after_move(world):
    await world.apply("office")
    await world.restart_in_turn()


async def _kill_after_move(world):
    await world.apply("office")
    await world.restart_at_once()


async def _remove_and_add(world):
    await world.apply(None)
    await world.apply("office")
    await world.restart_in_turn()


async def _move_twice(world):
    await world.apply("office")
    await world.apply("depot")
    await world.restart_in_turn()


async def _move_back(world):
    await world.apply("office")
    await world.apply("booking")
    await world.restart_in_turn()


async def _rename(world):
    await world.apply("office", name="renamed")
    await world.restart_at_once()


async def _remove_service(world):
    world.services = ("office", "depot")
    await world.apply("office")
    await world.restart_at_once()


async def _move_while_down(world):
    names = list(world.hosts)
    await world.stop(*names)
    world.publish("office")
    world.publish("depot")
    await world.start(*names)


async def _move_without_history(world):
    # The next read of each host finds that its offset has expired.
    world.store.is_down = True
    world.publish("office")
    world.publish("depot")
    world.store.forget_history(OPERATOR_TOPIC)
    await asyncio.sleep(2.0)
    world.store.is_down = False
    await asyncio.sleep(5.0)


async def _restart_often(world):
    await world.apply("office")
    for _ in range(8):
        await world.restart_at_once()


HISTORIES = {
    "the queue moves to office, and the hosts are restarted in turn": _restart_after_move,
    "the queue moves to office, and all hosts are killed at once": _kill_after_move,
    "the queue is removed, added at office, and the hosts are restarted in turn": _remove_and_add,
    "the queue moves to office, then to depot, and the hosts are restarted in turn": _move_twice,
    "the queue moves to office and back, and the hosts are restarted in turn": _move_back,
    "the queue moves to office under another name, and all hosts are killed at once": _rename,
    "the queue moves to office and booking leaves, and all hosts are killed at once": (
        _remove_service
    ),
    "the queue moves twice while all hosts are down": _move_while_down,
    "the queue moves twice while the store forgets its history": _move_without_history,
    "the queue moves to office, and hosts restart two by two for 20 s": _restart_often,
}


def _add_history(text, play):
    @when(text)
    def step(context):
        context.world.run(play(context.world))


for _text, _play in HISTORIES.items():
    _add_history(_text, _play)


@when(
    "the second host is down while job {number:d} is accepted at office, and starts after the move"
    " back"
)
def skip_version(context, number):
    world = context.world

    async def play():
        await world.stop(SECOND)
        await world.apply("office")
        assert await world.submit(number, FIRST) == 200
        await world.apply("booking")
        await world.start(SECOND)

    world.run(play())


@when("the store is down for the layout as a new queue of office gets POST of job {number:d}")
def submit_unrecorded(context, number):
    world = context.world

    async def play():
        world.publish("office")
        # The new version is applied at once, and its routes are not recorded yet.
        await asyncio.sleep(0.1)
        world.store.is_down = True
        return await world.send(f"POST of job {number}")

    context.answer = world.run(play())


@when("the store is back and the caller sends {call}")
def send_with_store(context, call):
    context.world.store.is_down = False
    context.answer = context.world.run(context.world.send(call))


@when("the store is down and the caller sends {call}")
def send_without_store(context, call):
    world = context.world

    async def play():
        await asyncio.sleep(10.0)
        world.store.is_down = True
        return await world.send(call)

    context.answer = world.run(play())


@when(
    "the queue moves to office, the record of the configuration is deleted, and the first host is"
    " restarted"
)
def delete_configuration(context):
    world = context.world

    async def play():
        await world.apply("office")
        world.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, b"")
        await world.stop(FIRST)
        await world.start(FIRST)

    world.run(play())


@when("the configuration is published again")
def publish_again(context):
    context.world.run(context.world.apply("office"))


@when(
    "the hosts are restarted in turn, the queue moves to office, and all hosts are killed at once"
)
def upgrade(context):
    world = context.world

    async def play():
        await world.restart_in_turn()
        await world.apply("office")
        await world.restart_at_once()

    world.run(play())


@when(
    "a configuration adds a queue with a prefix of {longer:d} characters and one of {shorter:d}"
    " characters"
)
def add_queues(context, longer, shorter):
    world = context.world
    world.version += 1
    context.prefixes = [f"/{'p' * (size - 2)}/" for size in (longer, shorter)]
    routes = [
        build_route(prefix, name=f"q{number}") | {"host": HOST, "backend": "office"}
        for number, prefix in enumerate(context.prefixes)
    ]
    document = build_operator_configuration(world.version, *routes)
    document["services"] = [{"name": item} for item in world.services]
    world.store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, json.dumps(document).encode())
    world.run(asyncio.sleep(3.0))


@then("the answer is {status:d}")
def expect_status(context, status):
    assert context.answer.status == status, context.answer.status


@then("the owner of the service office has no job")
def expect_no_job(context):
    assert not context.world.owners.jobs[context.world.find_partition("office")]


@then("the answer is {status:d} with {count:d} waiting job")
def expect_count(context, status, count):
    answer = context.answer
    assert (answer.status, json.loads(answer.body)) == (status, {"pending": count})


def _expect(context, names, call, status):
    world = context.world
    answers = {name: world.run(world.send(call, name)).status for name in names}
    assert set(answers.values()) == {status}, answers


@then("each entry host answers GET of the queue with {count:d} waiting job")
def expect_counts(context, count):
    for name in context.world.hosts:
        answer = context.world.run(context.world.send("GET of the queue", name))
        assert json.loads(answer.body) == {"pending": count}, (name, answer.body)


@then("each entry host answers {call} with {status:d}")
def expect_answers(context, call, status):
    _expect(context, list(context.world.hosts), call, status)


@then("the first host answers {call} with {status:d}")
def expect_first(context, call, status):
    _expect(context, [FIRST], call, status)


@then("the second host answers {call} with {status:d}")
def expect_second(context, call, status):
    _expect(context, [SECOND], call, status)


@then("job {number:d} was accepted once and is cancelled")
def expect_one_run(context, number):
    owners = context.world.owners
    assert owners.count_runs(identify(number)) == 1, owners.jobs
    assert identify(number) in owners.cancelled


@then("job {number:d} was accepted once")
def expect_one_acceptance(context, number):
    owners = context.world.owners
    assert owners.count_runs(identify(number)) == 1, owners.jobs


@then("job {number:d} was not accepted")
def expect_no_run(context, number):
    assert context.world.owners.count_runs(identify(number)) == 0


@then("a POST to the longer one gets {longer:d}, and one to the shorter one gets {shorter:d}")
def expect_posts(context, longer, shorter):
    world = context.world
    for prefix, status in zip(context.prefixes, (longer, shorter), strict=True):
        answer = world.run(world.hosts[FIRST].send("POST", prefix + identify(9), build_job()))
        assert answer.status == status, (len(prefix), answer.status)
