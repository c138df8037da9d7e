"""Handlers of the records about maintenance waves and reported hosts in the global stream."""

from __future__ import annotations

from datetime import datetime

from carawayshore import records
from carawayshore.assignment import is_current_fence
from carawayshore.fold import (
    ACCEPTED,
    Pause,
    Removal,
    Report,
    ReportedHost,
    StreamState,
    Wave,
    register_handler,
    reject,
)

MAINTENANCE_CLAIM = "maintenance"
# A rack is the failure domain; a wave has at most as many hosts as a rack.
MAX_WAVE_HOSTS = 4
CONDITIONS = ("", "failed", "draining", "moving")
NO_REPORT = Report(-1, -1, {})
# Weight of the latest wave in the moving average of wave durations.
DURATION_WEIGHT = 0.2


def parse_time(text: str) -> datetime | None:
    """Returns the time of an RFC 3339 text with a UTC offset, or None for any other text."""
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        return None
    return parsed if parsed.tzinfo else None


def is_enabled(state: StreamState) -> bool:
    """Returns whether the configuration in force allows waves to start."""
    maintenance = state.configuration.document.get("maintenance") or {}
    return bool(maintenance.get("enabled", False))


def _find_obstacle(state: StreamState, body: records.WaveStarted) -> str:
    """Returns the reason why the wave may not start, or an empty string."""
    if not is_current_fence(state, MAINTENANCE_CLAIM, body.fence):
        return f"claim {MAINTENANCE_CLAIM!r} is not held under fence {body.fence}"
    if state.pause is not None:
        return "maintenance is paused"
    if not is_enabled(state):
        return "maintenance is disabled in the configuration"
    if state.waves:
        return f"wave {next(iter(state.waves))!r} is in progress"
    if any(wave.data_centre == body.data_centre for wave in state.stalled.values()):
        return f"data centre {body.data_centre!r} has a stalled wave"
    if body.wave in state.stalled or parse_time(body.at) is None:
        return f"wave {body.wave!r} at {body.at!r}: the name is in use or the time is malformed"
    known = state.reports.get(body.data_centre, NO_REPORT).hosts
    if not body.hosts or len(set(body.hosts)) != len(body.hosts):
        return f"hosts {body.hosts!r}: the list is empty or has duplicates"
    if len(body.hosts) > MAX_WAVE_HOSTS or any(host not in known for host in body.hosts):
        return f"hosts {body.hosts!r}: more than {MAX_WAVE_HOSTS}, or not all are reported"
    if len({known[host].rack for host in body.hosts}) != 1:
        return f"hosts {body.hosts!r} are in different racks"
    return ""


@register_handler(records.WaveStarted)
def _start(state: StreamState, offset: int, item: records.Record):
    body: records.WaveStarted = item.body
    obstacle = _find_obstacle(state, body)
    if obstacle:
        return reject(obstacle)
    state.waves[body.wave] = Wave(body.data_centre, body.hosts, [], offset, body.fence, body.at)
    return ACCEPTED


@register_handler(records.WaveHostDone)
def _finish_host(state: StreamState, offset: int, item: records.Record):
    body: records.WaveHostDone = item.body
    waves_by_name = state.waves if body.wave in state.waves else state.stalled
    wave = waves_by_name.get(body.wave)
    if wave is None or wave.fence != body.fence:
        return reject(f"wave {body.wave!r} under fence {body.fence} does not exist")
    if body.host not in wave.hosts or body.host in wave.done:
        return reject(f"host {body.host!r} is not pending in the wave")
    if parse_time(body.at) is None:
        return reject(f"time {body.at!r}, accepted: RFC 3339")
    waves_by_name[body.wave] = wave._replace(done=[*wave.done, body.host])
    if not body.skipped:
        state.maintained[body.host] = body.at
    if waves_by_name is state.stalled and len(waves_by_name[body.wave].done) == len(wave.hosts):
        del state.stalled[body.wave]
    return ACCEPTED


def _update_mean_duration(state: StreamState, wave: Wave, at: datetime) -> None:
    started = parse_time(wave.at)
    seconds = max(0.0, (at - started).total_seconds())
    if not state.wave_seconds:
        state.wave_seconds = seconds
    state.wave_seconds += (seconds - state.wave_seconds) * DURATION_WEIGHT


@register_handler(records.WaveFinished)
def _finish(state: StreamState, offset: int, item: records.Record):
    body: records.WaveFinished = item.body
    if not is_current_fence(state, MAINTENANCE_CLAIM, body.fence):
        return reject(f"claim {MAINTENANCE_CLAIM!r} is not held under fence {body.fence}")
    wave, at = state.waves.get(body.wave), parse_time(body.at)
    if wave is None or at is None:
        return reject(f"wave {body.wave!r} is not in progress, or its end {body.at!r} is malformed")
    complete = len(wave.done) == len(wave.hosts)
    if not complete and not body.stalled:
        return reject(f"wave {body.wave!r} has pending hosts")
    del state.waves[body.wave]
    if not complete:
        state.stalled[body.wave] = wave
    _update_mean_duration(state, wave, at)
    return ACCEPTED


@register_handler(records.HostsReported)
def _report(state: StreamState, offset: int, item: records.Record):
    body: records.HostsReported = item.body
    report = state.reports.get(body.data_centre, NO_REPORT)
    if body.fence < report.fence:
        return reject(f"fence {body.fence} is below {report.fence}")
    unknown = {host.condition for host in body.hosts.values()} - set(CONDITIONS)
    if unknown or parse_time(body.at) is None:
        return reject(f"conditions {sorted(unknown)} or time {body.at!r} are malformed")
    hosts = dict(report.hosts)
    for name, reported in body.hosts.items():
        if reported.condition or not reported.pool:
            state.removals.pop(name, None)
        if reported.pool:
            since = hosts[name].since if name in hosts else body.at
            hosts[name] = ReportedHost(reported.pool, reported.rack, reported.condition, since)
        else:
            hosts.pop(name, None)
            state.maintained.pop(name, None)
    state.reports[body.data_centre] = Report(body.fence, offset, hosts)
    return ACCEPTED


def find_last_reservation(state: StreamState, pool: str) -> int:
    """Returns the offset of the last reservation of a host of a pool, -1 for none."""
    return max((item.offset for item in state.removals.values() if item.pool == pool), default=-1)


@register_handler(records.RemovalReserved)
def _reserve_removal(state: StreamState, offset: int, item: records.Record):
    body: records.RemovalReserved = item.body
    last = find_last_reservation(state, body.pool)
    if body.reserved_seen not in (None, last):
        return reject(f"another host of pool {body.pool!r} is being taken out of service")
    if parse_time(body.at) is None:
        return reject(f"time {body.at!r}, accepted: RFC 3339")
    state.removals[body.host] = Removal(body.data_centre, body.pool, body.at, offset)
    return ACCEPTED


@register_handler(records.RemovalReleased)
def _release_removal(state: StreamState, offset: int, item: records.Record):
    known = state.removals.get(item.body.host)
    if known is None or known.offset != item.body.reserved:
        return reject(f"host {item.body.host!r} has no reservation {item.body.reserved}")
    del state.removals[item.body.host]
    return ACCEPTED


@register_handler(records.MaintenancePaused)
def _pause(state: StreamState, offset: int, item: records.Record):
    if state.pause is not None:
        return reject(f"maintenance is already paused by {state.pause.author!r}")
    state.pause = Pause(item.body.author, item.body.reason)
    return ACCEPTED


@register_handler(records.MaintenanceResumed)
def _resume(state: StreamState, offset: int, item: records.Record):
    if state.pause is None:
        return reject("maintenance is not paused")
    state.pause = None
    return ACCEPTED
