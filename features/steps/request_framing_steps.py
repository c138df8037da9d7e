"""Steps that frame requests without a network."""

from __future__ import annotations

from random import Random

from behave import given, then, when
from request_framing_builders import (
    LIMITS,
    REFUSED,
    STREAM_LIMITS,
    build_chunked,
    build_counted,
    build_head,
    build_stream,
    frame,
    split,
)

from carawayshore.requestframing import FramingError, FramingLimits, RequestFramer

SEED = 20_261
# The limits that the operators' configuration has.
CONFIGURED = FramingLimits(max_head=16_384, max_body=262_144, max_collected=262_144)


@then("the requests of {count:d} random streams do not depend on how the bytes are split")
def check_splits(context, count):
    for seed in range(SEED, SEED + count):
        rng = Random(seed)
        stream = build_stream(rng)
        expected = frame([stream])
        for _ in range(3):
            assert frame(split(stream, rng)) == expected, f"seed {seed}"


@then("bodies in parts are the same as those that are collected in {count:d} random streams")
def check_parts(context, count):
    for seed in range(SEED, SEED + count):
        rng = Random(seed)
        stream = build_stream(rng)
        expected = frame([stream])
        assert frame(split(stream, rng), STREAM_LIMITS) == expected, f"seed {seed}"


@then("a body of {size:d} bytes in parts is never held beyond its collected size")
def check_held(context, size):
    for request in (build_counted(b"x" * size), build_chunked(b"x" * size, [50])):
        framer = RequestFramer()
        for start in range(0, len(request), 10):
            framer.receive(request[start : start + 10])
            framer.take(STREAM_LIMITS)
            # The body is held in blocks, the first of 1024 bytes.
            assert framer.held <= STREAM_LIMITS.max_collected + 1_024, framer.held


@then("each refused request gets its status, however its bytes are split")
def check_refused(context):
    rng = Random(SEED)
    for name, (data, status) in REFUSED.items():
        for pieces in ([data], [data[i : i + 1] for i in range(len(data))], split(data, rng)):
            found = frame(pieces)
            assert len(found) == 1 and isinstance(found[0], FramingError), (name, found)
            assert found[0].status == status, (name, found)


@then("a head of {size:d} bytes in one field is passed on")
def check_large_head(context, size):
    found = frame([build_head("Field: " + "a" * size)], CONFIGURED)
    assert len(found) == 1 and not isinstance(found[0], FramingError), found


@then("a body of {size:d} bytes is passed on by length and in chunks of 1, 3, 17 and 65536 bytes")
def check_large_body(context, size):
    body = Random(SEED).randbytes(size)
    requests = [build_counted(body)]
    requests += [build_chunked(body, [chunk]) for chunk in (1, 3, 17, 65_536)]
    for request in requests:
        found = frame(split(request, Random(SEED)), CONFIGURED)
        assert [item[1] for item in found] == [body]


@given("{size:d} bytes of chunks of 1 and 2 bytes in turn")
def send_mixed_chunks(context, size):
    context.framer = RequestFramer()
    context.body = b"x" * (size // 13 * 3)
    context.framer.receive(build_chunked(context.body, [1, 2]))


@then("no call decodes more than {count:d} chunks, and all are decoded without further bytes")
def check_decoding_stops(context, count):
    calls = 0
    while (part := context.framer.take(CONFIGURED)) is None:
        assert context.framer.has_more
        calls += 1
    assert b"".join(part.pieces).endswith(context.body)
    assert calls >= len(context.body) / 1.5 / count - 1, calls


@given("three requests in one piece")
def send_three(context):
    context.framer = RequestFramer()
    context.bodies = [b"first", b"", b"third"]
    context.framer.receive(b"".join(build_counted(body) for body in context.bodies))


@then("they are taken one at a time, and nothing is held afterwards")
def check_three(context):
    for body in context.bodies:
        part = context.framer.take(LIMITS)
        assert part.begins and part.ends
        assert b"".join(part.pieces) == build_counted(body)
    assert context.framer.take(LIMITS) is None
    assert context.framer.held == 0 and not context.framer.has_begun


@then("only a head with Expect whose body has not arrived asks for the interim response")
def check_continue(context):
    expect = "Expect: 100-continue"
    cases = [
        (build_head("Content-Length: 3", expect), True),
        (build_head("Transfer-Encoding: chunked", expect), True),
        (build_head("Content-Length: 3"), False),
        (build_head("Content-Length: 0", expect), False),
        (build_counted(b"abc", expect), False),
        (build_counted(b"abc", expect)[:-1], False),
        (build_head("Content-Length: 3", expect, line="POST / HTTP/1.0"), False),
    ]
    for data, expected in cases:
        framer = RequestFramer()
        framer.receive(data)
        framer.take(LIMITS)
        assert framer.wants_continue == expected, data


@then("a request that asks for an upgrade is passed on without it")
def check_upgrade(context):
    data = build_head("Connection: Upgrade", "UPGRADE: websocket", "Content-Length: 2") + b"ab"
    (head, body), *others = frame([data])
    assert b"upgrade:" not in head.lower().replace(b"connection: upgrade", b"") and not others
    assert body == b"ab"


@given("a head that is incomplete at {size:d} bytes")
def send_incomplete_head(context, size):
    context.framer = RequestFramer()
    context.framer.receive(build_head("Field: " + "a" * size)[:size])
    assert context.framer.take(LIMITS) is None


@when("the limit of this head becomes {size:d} bytes")
def change_limit(context, size):
    context.limits = LIMITS._replace(max_head=size)


@then("it is refused with {status:d}")
def check_status(context, status):
    assert context.framer.take(context.limits).status == status
