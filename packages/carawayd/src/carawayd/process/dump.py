"""State of the process as a JSON document of bounded size."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Any

from carawayd.process.hostviews import describe_services
from carawayshore.membership import list_members

if TYPE_CHECKING:
    from carawayd.process.claims import ClaimRenewer
    from carawayd.process.daemon import Components
    from carawayd.process.streams import StreamReader

# Entries included from each table, next to its total size.
MAX_ENTRIES = 200


def _limit_entries(table: dict[str, Any]) -> dict[str, Any]:
    shown = {name: _to_builtins(value) for name, value in islice(table.items(), MAX_ENTRIES)}
    return {"count": len(table), "shown": shown}


def _to_builtins(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {name: _to_builtins(item) for name, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [_to_builtins(item) for item in value[:MAX_ENTRIES]]
    return value


def _dump_stream(reader: StreamReader) -> dict[str, Any]:
    state = reader.folded
    age = reader.contact_age()
    return {
        "next_offset": state.next_offset,
        "end": reader.end_offset,
        "contact_age_seconds": age.total_seconds() if age is not None else None,
        "caught_up": reader.caught_up.is_set(),
        "digests": dict(reader.digests),
        "digest_mismatches": reader.digest_mismatches,
        "last_rejection": reader.last_rejection,
        "claims": _limit_entries(state.claims),
        "members": _limit_entries(state.members),
        "view": _to_builtins(state.view),
        "settled": _to_builtins(state.settled),
        "quarantine": state.quarantine,
        "hosts": _limit_entries(state.hosts),
        "jobs": _limit_entries(state.jobs),
        "keys": {"count": len(state.keys)},
        "waves": _limit_entries(state.waves),
        "stalled": _limit_entries(state.stalled),
        "maintained": _limit_entries(state.maintained),
        "reports": {
            name: {"fence": report.fence, "offset": report.offset, "hosts": len(report.hosts)}
            for name, report in sorted(state.reports.items())
        },
        "pause": _to_builtins(state.pause),
    }


def _dump_claim(claim: ClaimRenewer) -> dict[str, Any]:
    return {
        "held": claim.holds(),
        "fence": claim.fence,
        "remaining_seconds": claim.remaining_seconds(),
    }


def _dump_versions(components: Components) -> dict[str, Any]:
    current = components.versions.current
    return {
        "current": current.version if current else 0,
        "author": current.author if current else "",
        "requests": current.requests if current else 0,
        "retiring": [[item.version, item.requests] for item in components.versions.retiring],
        "queues": [
            {
                "pool": dispatcher.pool,
                "waiting": dispatcher.waiting_count,
                "running": dispatcher.running_count,
            }
            for dispatcher in components.versions.list_dispatchers()
        ],
    }


def _dump_peers(components: Components) -> dict[str, Any]:
    now = components.clock.elapsed()
    return {
        name: {
            "incarnation": state.header.incarnation,
            "data_centre": state.header.data_centre,
            "silent_seconds": (now - state.heard).total_seconds(),
            "heartbeat": _to_builtins(state.heartbeat),
        }
        for name, state in sorted(components.peers.states.items())
    }


def build_dump(components: Components) -> dict[str, Any]:
    """Returns the state of the process, without secrets."""
    return {
        "member": components.settings.member,
        "data_centre": components.settings.data_centre,
        "incarnation": components.membership.incarnation,
        "joined": components.membership.is_member(),
        "stopping": components.membership.stopping,
        "unready": components.find_unready_reason(),
        "time": components.clock.now().isoformat(),
        "streams": {
            reader.stream: _dump_stream(reader)
            for reader in (components.global_reader, components.reader)
        },
        "claims": {claim.name: _dump_claim(claim) for claim in components.claims},
        "appends_pending": {
            "global": components.global_appender.pending_count,
            "own": components.appender.pending_count,
        },
        "versions": _dump_versions(components),
        "peers": _dump_peers(components),
        "slots": _limit_entries(components.slots.list_usable_slots()),
        "in_use": dict(islice(components.slots.in_use.items(), MAX_ENTRIES)),
        "ejected": {
            pool: health.list_ejected() for pool, health in components.observations.health.items()
        },
        "jobs": components.jobs.describe(),
        "maintenance": components.maintenance.describe() | components.waves.describe(),
        "lending": components.lending.describe(),
        "requests_in_progress": components.handler.in_progress,
        "exchanges": components.connections.exchange_count,
        "keys": {
            "unlogged": components.keys.unlogged_count,
            "answers_kept": components.response_cache.count,
        },
    }


def _describe_pool(components: Components, pool: str) -> dict[str, Any]:
    hosts = {
        name: host for name, host in components.reader.folded.hosts.items() if host.pool == pool
    }
    return {
        "hosts": sorted(hosts),
        "draining": {
            name: {"to": host.draining_to, "reason": host.reason}
            for name, host in sorted(hosts.items())
            if host.draining_to
        },
        "usable": components.slots.list_targets(pool),
        "ejected": components.observations.find_health(pool).list_ejected(),
    }


def build_status(components: Components) -> dict[str, Any]:
    """Returns a summary of the state for operators."""
    version = components.versions.current
    pools = sorted(version.configuration["pools"]) if version else []
    state = components.reader.folded
    age = components.reader.contact_age()
    return {
        "member": components.settings.member,
        "data_centre": components.settings.data_centre,
        "caller_address": components.settings.caller_address,
        "unready": components.find_unready_reason(),
        "log_reachable": components.membership.is_log_reachable(),
        "log_contact_age_seconds": age.total_seconds() if age is not None else None,
        "members": [member.producer for member in list_members(state)],
        "versions": {
            components.settings.member: version.version if version else 0,
            **{
                name: peer.heartbeat.version
                for name, peer in sorted(components.peers.states.items())
            },
        },
        "silent_seconds": {
            name: (components.clock.elapsed() - peer.heard).total_seconds()
            for name, peer in sorted(components.peers.states.items())
        },
        "services": describe_services(components),
        "pools": {pool: _describe_pool(components, pool) for pool in pools},
        "jobs": _count_jobs(state.jobs),
        "maintenance": {
            "pause": _to_builtins(components.global_reader.folded.pause),
            "waves": _limit_entries(components.global_reader.folded.waves),
            "stalled": _limit_entries(components.global_reader.folded.stalled),
            "maintained": len(components.global_reader.folded.maintained),
        },
    }


def _count_jobs(jobs: dict[str, Any]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for job in jobs.values():
        counts[job.state] = counts.get(job.state, 0) + 1
    return counts
