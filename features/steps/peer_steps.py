"""Steps for connections between entry hosts, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket

from behave import given, then, when

from carawayd.process.messages import Heartbeat
from carawayd.process.metrics import Metrics
from carawayd.process.peers import Peers
from carawayd.process.settings import build_settings
from carawayshore.clock import SystemClock

CONTACT_TIMEOUT_S = 20


def _find_free_address() -> str:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound.getsockname()[1]}"


def _build_peers(member: str, address: str, *known: tuple[str, str]) -> Peers:
    document = dict.fromkeys(("caller_address", "operator_address"), "127.0.0.1:1")
    document |= dict.fromkeys(("log", "hostlist", "pools"), "http://127.0.0.1:1")
    document |= {"member": member, "data_centre": "umea", "peer_address": address}
    document["peers"] = [
        {
            "member": name,
            "data_centre": "umea",
            "peer_address": at,
            "caller_address": "127.0.0.1:1",
        }
        for name, at in known
    ]
    return Peers(build_settings(document), clock=SystemClock(), metrics=Metrics())


async def _send_heartbeats(peers: Peers, address: str) -> None:
    while True:
        heartbeat = Heartbeat(1, {}, {}, -1.0, {}, True, False, True, 1, address, "127.0.0.1:1")
        peers.broadcast(heartbeat)
        await asyncio.sleep(0.05)


async def _exchange_heartbeats(first_address: str, second_address: str) -> bool:
    """Returns whether each becomes live at the other within ``CONTACT_TIMEOUT_S``."""
    first = _build_peers("umea-1", first_address)
    second = _build_peers("umea-2", second_address, ("umea-1", first_address))
    senders = []
    try:
        for peers, address in ((first, first_address), (second, second_address)):
            await peers.start()
            senders.append(asyncio.ensure_future(_send_heartbeats(peers, address)))
        deadline = SystemClock().elapsed().total_seconds() + CONTACT_TIMEOUT_S
        while not (first.is_live("umea-2") and second.is_live("umea-1")):
            if SystemClock().elapsed().total_seconds() > deadline:
                return False
            await asyncio.sleep(0.05)
        return True
    finally:
        for task in senders:
            task.cancel()
        await first.stop()
        await second.stop()


@given("an entry host whose settings name no peer")
def choose_first(context):
    context.first = _find_free_address()


@when("a new entry host whose settings name the first one starts")
def choose_second(context):
    context.second = _find_free_address()


@then("each receives the heartbeats of the other")
def expect_contact(context):
    assert asyncio.run(_exchange_heartbeats(context.first, context.second))
