"""Assignment of hosts to pools: a host belongs to exactly one pool at any time."""

from __future__ import annotations

from carawayshore import records
from carawayshore.fold import ACCEPTED, Host, StreamState, register_handler, reject

FLEET_CLAIM = "fleet"
HOLD = "hold"
MAINTENANCE = "maintenance"
LEND = "lend"
MOVE = "move"
DRAIN_REASONS = (MOVE, LEND, MAINTENANCE, HOLD)


def is_current_fence(state: StreamState, claim: str, fence: int) -> bool:
    """Returns whether ``claim`` is held under the fencing number ``fence`` now."""
    current = state.claims.get(claim)
    return current is not None and not current.released and current.fence == fence


def _check_host(state: StreamState, body) -> str:
    """Returns the reason why the record may not change the host, or an empty string."""
    host = state.hosts.get(body.host)
    if host is None:
        return f"host {body.host!r} does not exist"
    if not is_current_fence(state, FLEET_CLAIM, body.fence):
        return f"claim {FLEET_CLAIM!r} is not held under fence {body.fence}"
    if host.revision != body.revision:
        return f"host {body.host!r} has revision {host.revision}, not {body.revision}"
    return ""


@register_handler(records.HostAdded)
def _add(state: StreamState, offset: int, item: records.Record):
    body: records.HostAdded = item.body
    if body.host in state.hosts:
        return reject(f"host {body.host!r} exists already")
    state.hosts[body.host] = Host(
        body.pool,
        body.address,
        body.rack,
        body.slots,
        body.connections,
        body.resources,
        revision=1,
        changed=offset,
    )
    return ACCEPTED


@register_handler(records.HostRemoved)
def _remove(state: StreamState, offset: int, item: records.Record):
    reason = _check_host(state, item.body)
    if reason:
        return reject(reason)
    del state.hosts[item.body.host]
    return ACCEPTED


def count_draining(state: StreamState, pool: str) -> int:
    """Returns how many hosts of a pool are draining or moving away."""
    return sum(host.pool == pool and bool(host.draining_to) for host in state.hosts.values())


@register_handler(records.HostDrainStarted)
def _start_drain(state: StreamState, offset: int, item: records.Record):
    body: records.HostDrainStarted = item.body
    reason = _check_host(state, body)
    if reason:
        return reject(reason)
    host = state.hosts[body.host]
    if host.draining_to:
        return reject(f"host {body.host!r} is draining already")
    if body.reason not in DRAIN_REASONS:
        return reject(f"reason {body.reason!r}, accepted: {', '.join(DRAIN_REASONS)}")
    if body.reason == MAINTENANCE and (not body.wave or body.wave == host.wave):
        return reject(f"host {body.host!r} went through wave {body.wave!r} already")
    draining = count_draining(state, host.pool)
    if body.draining_seen not in (-1, draining):
        return reject(f"{draining} hosts of pool {host.pool!r} drain, not {body.draining_seen}")
    state.hosts[body.host] = host._replace(
        revision=host.revision + 1,
        draining_to=body.to_pool,
        reason=body.reason,
        changed=offset,
        draining_wave=body.wave,
    )
    return ACCEPTED


@register_handler(records.HostReturnRequested)
def _request_return(state: StreamState, offset: int, item: records.Record):
    reason = _check_host(state, item.body)
    if reason:
        return reject(reason)
    host = state.hosts[item.body.host]
    if host.reason != HOLD:
        return reject(f"host {item.body.host!r} is not held")
    # ``changed`` stays the offset of the drain, which is the record that barriers wait for.
    state.hosts[item.body.host] = host._replace(revision=host.revision + 1, reason="return")
    return ACCEPTED


def _find_lending_pool(host: Host, pool: str) -> str:
    """Returns the pool that lends the host after it joined ``pool``, empty if it is not lent."""
    if host.reason not in (MOVE, LEND):
        return host.home
    home = host.home or host.pool
    return home if host.reason == LEND and home != pool else ""


@register_handler(records.HostJoined)
def _join(state: StreamState, offset: int, item: records.Record):
    body: records.HostJoined = item.body
    reason = _check_host(state, body)
    if reason:
        return reject(reason)
    host = state.hosts[body.host]
    if host.draining_to != body.pool:
        return reject(f"host {body.host!r} is draining to {host.draining_to!r}, not {body.pool!r}")
    maintained = host.reason == MAINTENANCE and not body.aborted
    state.hosts[body.host] = host._replace(
        pool=body.pool,
        revision=host.revision + 1,
        draining_to="",
        reason="",
        changed=offset,
        draining_wave="",
        wave=host.draining_wave if maintained else host.wave,
        home=_find_lending_pool(host, body.pool),
    )
    return ACCEPTED


def list_serving(state: StreamState, pool: str) -> list[str]:
    """Returns the hosts of ``pool`` that may be assigned requests and tasks, sorted by name."""
    return [
        name
        for name, host in sorted(state.hosts.items())
        if host.pool == pool and not host.draining_to
    ]
