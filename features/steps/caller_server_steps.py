"""Steps on the server for callers, over loopback connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from datetime import timedelta

from behave import given, then, when
from caller_server_builders import LIMITS, ServerHarness
from request_framing_builders import build_chunked, build_counted, build_head

UNFINISHED = {
    "half a head": build_head()[:-10],
    "half a body": build_counted(b"x" * 10_000)[:-5_000],
    "nothing": b"",
    "a head of 17000 bytes": build_head("Field: " + "a" * 17_000),
    "empty lines without end": b"\r\n" * 50_000,
    "a length of 262145": build_head("Content-Length: 262145"),
    "chunks of 262145 bytes": build_chunked(b"x" * 262_145, [65_536]),
    "a whole body of 300000 bytes": build_counted(b"x" * 300_000),
    "a whole body of 150000 bytes": build_counted(b"x" * 150_000),
    "both a length and a transfer coding": build_head(
        "Content-Length: 3", "Transfer-Encoding: chunked"
    ),
    "a request without a host": b"GET / HTTP/1.1\r\n\r\n",
    "another protocol": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
}
STREAM_BYTES = 40_000_000


def _start(context, **options):
    context.server = ServerHarness(**options)
    context.add_cleanup(context.server.close)


async def _exchange(context, data: bytes) -> int:
    caller = await context.server.connect()
    await caller.send(data)
    return (await caller.read_response())[0]


def _build_held(path: str, size: int) -> bytes:
    return build_head(f"Content-Length: {size}", line=f"POST {path} HTTP/1.1")


@given("a server for callers")
def start_server(context):
    _start(context)


@given("a server for callers on a machine of {memory:d} MB")
def start_small_server(context, memory):
    _start(context, memory_mb=memory)


@given("a server for callers that streams bodies above {size:d} bytes")
def start_streaming_server(context, size):
    _start(context, collected=size)
    context.server.limits = LIMITS._replace(max_body_bytes=1 << 30)


@then("a request with a head of {size:d} bytes in one field is answered with 200")
def check_large_field(context, size):
    data = build_head("Content-Length: 0", "Field: " + "a" * size)
    assert context.server.run(_exchange(context, data)) == 200


@then("a request with {count:d} fields is answered with 200")
def check_many_fields(context, count):
    data = build_head("Content-Length: 0", *(f"Field-{n}: a" for n in range(count)))
    assert context.server.run(_exchange(context, data)) == 200


@then("a body of {size:d} bytes by length, in chunks of 7 and of 65536 bytes is answered with 200")
def check_large_body(context, size):
    body = b"x" * size
    requests = [build_counted(body), build_chunked(body, [7]), build_chunked(body, [65_536])]
    for data in requests:
        assert context.server.run(_exchange(context, data)) == 200
    assert [size for _, size in context.server.handled][-3:] == [size] * 3


@then("a caller that waits for the interim response gets it, and then 200")
def check_continue(context):
    async def call() -> list[int]:
        caller = await context.server.connect()
        await caller.send(build_head("Content-Length: 3", "Expect: 100-continue"))
        interim = await caller.read_response()
        await caller.send(b"abc")
        return [interim[0], (await caller.read_response())[0]]

    assert context.server.run(call()) == [100, 200]


@when("{count:d} requests are sent at once on one connection")
def send_pipelined(context, count):
    async def call() -> list[bytes]:
        caller = await context.server.connect()
        await caller.send(b"".join(build_counted(b"%d" % number) for number in range(count)))
        return [(await caller.read_response())[2] for _ in range(count)]

    context.count = count
    context.bodies = context.server.run(call())


@then("they are answered in turn on the same connection")
def check_pipelined(context):
    assert context.bodies == [b"%d" % number for number in range(context.count)]


@when("a caller sends a request that is held, and then 4 MB of further requests")
def send_behind_held(context):
    async def call() -> None:
        context.caller = await context.server.connect()
        context.count = 4_000
        data = _build_held("/held", 0) + build_counted(b"x" * 930) * context.count
        context.sending = asyncio.ensure_future(context.caller.send(data))
        await asyncio.sleep(0.5)

    context.server.run(call())


@then("less than {size:d} bytes are held for it")
def check_held(context, size):
    held = context.server.server.intake.held
    assert 0 < held < size, held


@then("all its requests are answered once the first one is released")
def check_all_answered(context):
    async def call() -> set[int]:
        context.server.gate.set()
        return {(await context.caller.read_response())[0] for _ in range(context.count + 1)}

    assert context.server.run(call()) == {200}


@when("a connection carries {what}")
def send_raw(context, what):
    async def call() -> None:
        context.caller = await context.server.connect()
        await context.caller.send(UNFINISHED[what])
        await context.server.wait_until(
            lambda: context.server.server.intake.count >= 1, "the connection is accepted"
        )
        await asyncio.sleep(0.1)

    context.server.run(call())


@when("the server's clock advances by {seconds:g} s")
def pass_time(context, seconds):
    context.server.clock.jump += timedelta(seconds=seconds)


@then("it is answered with {status:d} and disconnected, and counted as {reason}")
def check_refused(context, status, reason):
    async def call() -> list:
        first = await context.caller.read_response()
        return [first, await context.caller.read_response()]

    first, last = context.server.run(call())
    assert first[0] == status, first
    assert last[0] == 0, last
    assert (first[1].get("retry-after") is not None) == (status == 503), first
    assert context.server.count_refusals(reason) == 1


@then("nothing was handled")
def check_nothing_handled(context):
    assert context.server.handled == []


@when("{count:d} callers send bodies that stop before the end")
def send_stalled(context, count):
    async def call() -> None:
        context.callers = []
        for _ in range(count):
            caller = await context.server.connect()
            context.callers.append(caller)
            await caller.send(build_counted(b"x" * 262_144)[:-1])
            await asyncio.sleep(0.2)

    context.server.run(call())


@then("the first {count:d} of them are answered with 503 and Retry-After, and disconnected")
def check_shed(context, count):
    async def call() -> None:
        for caller in context.callers[:count]:
            status, fields, _ = await caller.read_response()
            assert status == 503 and fields["retry-after"] == "1", (status, fields)
            assert (await caller.read_response())[0] == 0

    context.server.run(call())
    assert context.server.server.intake.unfinished_count == 1


@then("an ordinary request is answered with 200")
def check_ordinary(context):
    assert context.server.run(_exchange(context, build_counted(b"abc"))) == 200


@when("a request with a body of {size:d} bytes is held")
def hold_request(context, size):
    async def call() -> None:
        context.held = await context.server.connect()
        await context.held.send(_build_held("/held", size) + b"x" * size)
        await asyncio.sleep(0.3)

    context.server.run(call())


@then("the held request is answered once it is released")
def check_held_answered(context):
    context.server.gate.set()
    assert context.server.run(context.held.read_response())[0] == 200


@when("the limit of heads becomes {size:d} bytes")
def change_head_limit(context, size):
    context.server.limits = LIMITS._replace(max_head_bytes=size)


@when("it sends another field")
def send_field(context):
    context.server.run(context.caller.send(b"Another: field\r\n"))


@given("a caller that has sent a request")
def use_connection(context):
    async def call() -> None:
        context.caller = await context.server.connect()
        await context.caller.send(build_counted(b"abc"))
        assert (await context.caller.read_response())[0] == 200

    context.server.run(call())


@when("the limits become {head:d} bytes of head and {body:d} bytes of body")
def change_limits(context, head, body):
    context.server.limits = LIMITS._replace(max_head_bytes=head, max_body_bytes=body)


@then("a head of {head:d} bytes in one field and a body of {body:d} bytes are served on it")
def check_after_change(context, head, body):
    async def call() -> list[int]:
        await context.caller.send(build_head("Content-Length: 0", "Field: " + "a" * head))
        statuses = [(await context.caller.read_response())[0]]
        await context.caller.send(build_counted(b"x" * body))
        return [*statuses, (await context.caller.read_response())[0]]

    assert context.server.run(call()) == [200, 200]
    assert context.server.handled[-1][1] == body


@when("a caller sends 40 MB that the handler does not read yet")
def send_stream(context):
    async def call() -> None:
        context.caller = await context.server.connect()
        data = _build_held("/unread", STREAM_BYTES) + b"x" * STREAM_BYTES
        context.sending = asyncio.ensure_future(context.caller.send(data))
        await asyncio.sleep(0.5)

    context.server.run(call())


@when("the handler reads on")
def release(context):
    context.server.gate.set()


@then("the request is answered with 200 on a connection that stays open")
def check_stream(context):
    async def call() -> list[int]:
        statuses = [(await context.caller.read_response())[0]]
        await context.sending
        await context.caller.send(build_counted(b"abc"))
        return [*statuses, (await context.caller.read_response())[0]]

    assert context.server.run(call()) == [200, 200]


@when("a caller sends a request that is held, and disconnects")
def send_and_disconnect(context):
    async def call() -> None:
        caller = await context.server.connect()
        await caller.send(_build_held("/held", 0))
        await asyncio.sleep(0.2)
        caller.writer.close()

    context.server.run(call())


@then("its handling is cancelled")
def check_cancelled(context):
    server = context.server
    server.run(server.wait_until(lambda: server.cancelled == 1, "the handling is cancelled"))


@then("no connection is open")
def check_no_connection(context):
    server = context.server
    intake = server.server.intake
    server.run(server.wait_until(lambda: intake.count == 0, "no connection is open"))
    assert intake.held == 0, intake.held


@when("a caller asks for 40 MB and reads nothing")
def ask_for_large_response(context):
    async def call() -> None:
        context.caller = await context.server.connect()
        context.caller.writer.transport.pause_reading()
        await context.caller.send(_build_held("/large", 0))
        await asyncio.sleep(0.5)

    context.server.run(call())
    assert context.server.server.intake.count == 1


@then("it is disconnected {seconds:g} s later, and counted as {reason}")
def check_disconnected_later(context, seconds, reason):
    server = context.server
    server.clock.jump += timedelta(seconds=seconds)
    server.run(
        server.wait_until(lambda: server.count_refusals(reason) == 1, f"counted as {reason}")
    )


@when("a caller stops within a body, and resets its connection just before it is shed")
def reset_and_shed(context):
    server = context.server

    async def call() -> None:
        caller = await server.connect()
        await caller.send(build_counted(b"x" * 10_000)[:-1])
        intake = server.server.intake
        await server.wait_until(lambda: intake.unfinished_count == 1, "the body is received")
        duplicate = caller.writer.get_extra_info("socket").dup()
        caller.writer.transport.pause_reading()
        caller.writer.transport.abort()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        # Closing with a linger time of 0 resets the connection at once. The server does not run
        # between that and the shedding.
        linger = struct.pack("ii", 1, 0)
        duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        duplicate.close()
        server.server.make_room(server.server.read_time(), more=intake.bounds.held_bytes)
        assert server.count_refusals("memory") == 1

    server.run(call())


@then("nothing was logged as an error")
def check_log(context):
    assert context.server.errors == [], context.server.errors
