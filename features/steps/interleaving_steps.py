"""Steps that run random interleavings of faults, operator actions and claims."""

from __future__ import annotations

import asyncio
import contextlib

import looptime
from behave import then, when
from builders import build_configuration
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st
from returns.result import Success
from virtual import DATA_CENTRE, POOLS, Cluster

from carawayd.process.appender import AppendOutcomeUnknown, NotAppended, Priority
from carawayshore import records
from carawayshore.assignment import FLEET_CLAIM
from carawayshore.fold import StreamState, apply_record
from carawayshore.records import decode_record

NAMES = ["umea-1", "umea-2", "umea-3"]
SETTLE_SECONDS = 45
CHECK_SECONDS = 0.05

KEYS = [f"{DATA_CENTRE}:k{number}" for number in range(3)]
WAITS = st.sampled_from([0.0, 0.02, 0.3, 1.5, 7.0])

host = st.sampled_from(NAMES)
no_host = st.just("")
CLAIM_STEP = st.tuples(st.just("claim"), host, st.sampled_from(KEYS))
LIFECYCLE_STEP = st.tuples(st.sampled_from(["kill", "start", "pause", "resume"]), host, no_host)
CONNECTION_STEP = st.tuples(st.sampled_from(["cut_log", "cut_peers", "heal"]), host, no_host)
MOVE_STEP = st.tuples(st.just("move"), host, st.sampled_from(["w1", "w2"]))
GLOBAL_STEP = st.tuples(
    st.sampled_from(["publish", "claim_all", "lose", "trim", "log_down", "log_up"]),
    no_host,
    st.sampled_from(KEYS),
)
RANDOM_STEPS = st.lists(
    st.tuples(
        st.one_of(CLAIM_STEP, LIFECYCLE_STEP, CONNECTION_STEP, MOVE_STEP, GLOBAL_STEP), WAITS
    ),
    max_size=25,
)


@st.composite
def build_outage(draw):
    """Builds an outage of the log with claims and crashes, followed by the same claims."""
    during = st.lists(
        st.tuples(st.one_of(CLAIM_STEP, LIFECYCLE_STEP, CONNECTION_STEP), WAITS),
        min_size=2,
        max_size=10,
    )
    after = st.lists(
        st.tuples(st.one_of(CLAIM_STEP, LIFECYCLE_STEP, GLOBAL_STEP), WAITS), max_size=6
    )
    keys = [(("claim_all", "", key), 0.3) for key in draw(st.permutations(KEYS))]
    down, up = ("log_down", "", ""), ("log_up", "", "")
    first = draw(st.sampled_from([0.3, 2.0]))
    return [
        (down, first), *keys, *draw(during), (up, draw(WAITS)), *draw(after), *keys
    ]  # fmt: skip


STEPS = st.builds(
    lambda *parts: [step for part in parts for step in part],
    RANDOM_STEPS,
    build_outage(),
    RANDOM_STEPS,
)


async def _append(appender, body) -> None:
    with contextlib.suppress(NotAppended, AppendOutcomeUnknown):
        await appender.append(body, Priority.CONFIGURATION)


async def start_move(cluster: Cluster, name: str, worker: str) -> None:
    components = cluster.hosts[name].components
    state = components.reader.folded
    found, claim = state.hosts.get(worker), state.claims.get(FLEET_CLAIM)
    if found is None or claim is None:
        return
    to_pool = POOLS[1 - POOLS.index(found.pool)]
    body = records.HostDrainStarted(worker, found.revision, to_pool, "move", claim.fence)
    await _append(components.appender, body)


async def publish_configuration(cluster: Cluster, name: str) -> None:
    components = cluster.hosts[name].components
    version = components.global_reader.folded.configuration.version
    document = build_configuration(data_centres=[DATA_CENTRE])
    body = records.ConfigurationPublished(version, document, name)
    with contextlib.suppress(NotAppended, AppendOutcomeUnknown):
        result = await components.global_appender.append(body, Priority.CONFIGURATION)
        if isinstance(result, Success) and cluster.published.setdefault(version, name) != name:
            cluster.violations.append(f"two operators replaced version {version}")


async def _act_on_host(cluster: Cluster, kind: str, name: str, detail: str) -> None:
    entry_host = cluster.hosts[name]
    if kind == "claim":
        cluster.run(cluster.claim(name, detail))
    elif kind == "move":
        cluster.run(start_move(cluster, name, detail))
    elif kind == "kill":
        await cluster.kill(name)
    elif kind == "pause":
        entry_host.link.running.clear()
    elif kind == "resume":
        entry_host.link.running.set()
    elif kind == "cut_log":
        entry_host.link.log_cut = True
    elif kind == "cut_peers":
        entry_host.link.peers_cut = True
    elif kind == "heal":
        entry_host.link.log_cut = entry_host.link.peers_cut = False


async def _act(cluster: Cluster, kind: str, name: str, detail: str) -> None:
    if kind == "start":
        await cluster.start(name)
    elif kind in ("log_down", "log_up"):
        cluster.log.down = kind == "log_down"
    elif kind == "lose":
        cluster.log.lose_share = cluster.pools.lose_share = 0.5
    elif kind == "trim":
        cluster.log.trim(keep=250)
    elif kind in ("claim_all", "publish"):
        for each in cluster.hosts:
            act = (
                cluster.claim(each, detail)
                if kind == "claim_all"
                else publish_configuration(cluster, each)
            )
            cluster.run(act)
    elif name in cluster.hosts:
        await _act_on_host(cluster, kind, name, detail)


async def _check_repeatedly(cluster: Cluster) -> None:
    while True:
        cluster.check()
        await asyncio.sleep(CHECK_SECONDS)


async def _end_faults(cluster: Cluster) -> None:
    cluster.log.down = False
    cluster.log.lose_share = cluster.pools.lose_share = 0.0
    for entry_host in cluster.hosts.values():
        entry_host.link.log_cut = entry_host.link.peers_cut = False
        entry_host.link.running.set()
    for name in NAMES:
        await cluster.start(name)
    await asyncio.sleep(SETTLE_SECONDS)
    for key in KEYS:
        for name in NAMES:
            await cluster.claim(name, key)


def _check_settled(cluster: Cluster) -> None:
    """Checks that joins, views and moves have completed after the end of all faults."""
    states = {
        name: entry_host.components.reader.folded for name, entry_host in cluster.hosts.items()
    }
    for name, state in states.items():
        if not cluster.hosts[name].components.membership.is_member():
            cluster.violations.append(f"{name} has not joined")
        if state.settled.offset != state.view.offset:
            cluster.violations.append(f"{name} has an unsettled view")
        for worker, found in state.hosts.items():
            if found.draining_to:
                cluster.violations.append(f"{name} has an unfinished drain of {worker}")
            if found.pool != cluster.pools.hosts[worker].pool:
                cluster.violations.append(f"{worker} is not in the pool {found.pool}")


def _check_refolded(cluster: Cluster) -> None:
    """Compares every folded state with one folded from the records of the log alone."""
    stream = f"dc.{DATA_CENTRE}"
    if cluster.log.first(stream) > 0:
        return
    state = StreamState()
    for offset, envelope in cluster.log.streams[stream]:
        decoded = decode_record(envelope)
        assert isinstance(decoded, Success), decoded
        apply_record(state, offset, decoded.unwrap())
        for name, entry_host in cluster.hosts.items():
            folded = entry_host.components.reader.folded
            if folded.next_offset == state.next_offset and folded.digest() != state.digest():
                cluster.violations.append(f"{name} differs from the log at {offset}")


async def _interleave(steps, cluster_seed: int) -> list[str]:
    cluster = Cluster(NAMES, cluster_seed)
    for name in NAMES:
        await cluster.start(name)
    checker = asyncio.ensure_future(_check_repeatedly(cluster))
    await asyncio.sleep(3)
    await publish_configuration(cluster, NAMES[0])
    for (kind, name, detail), wait in steps:
        await _act(cluster, kind, name, detail)
        await asyncio.sleep(wait)
    await _end_faults(cluster)
    _check_settled(cluster)
    _check_refolded(cluster)
    checker.cancel()
    for name in NAMES:
        await cluster.kill(name)
    await asyncio.gather(*cluster.tasks, return_exceptions=True)
    return cluster.violations


def run_interleaving(steps, cluster_seed: int) -> list[str]:
    """Runs the steps in virtual time and returns the violations of promises."""
    loop = looptime.new_event_loop(start=0, noop_cycles=2)
    try:
        return loop.run_until_complete(_interleave(steps, cluster_seed))
    finally:
        loop.close()


def find_violation(examples: int, first_seed: int) -> tuple[list, list[str]] | None:
    """Returns the shortest steps found that break a promise, or None."""
    found = []

    @seed(first_seed)
    @settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(STEPS, st.integers(0, 10_000))
    def check(steps, cluster_seed):
        violations = run_interleaving(steps, cluster_seed)
        if violations:
            found.append((steps, cluster_seed, violations))
        assert not violations

    with contextlib.suppress(AssertionError):
        check()
    return min(found, key=lambda item: len(item[0])) if found else None


@when("{examples:d} random interleavings of three entry hosts run with seed {first_seed:d}")
def run_examples(context, examples, first_seed):
    print(f"seed {first_seed}")
    context.violation = find_violation(examples, first_seed)


@then("every promise held after every step")
def expect_no_violation(context):
    assert context.violation is None, context.violation
