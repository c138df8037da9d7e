"""Maintenance waves and reported hosts in the folded state of the global stream."""

from __future__ import annotations

from datetime import datetime

from carawayshore import records
from carawayshore.assignment import has_fence
from carawayshore.fold import (
    ACCEPTED,
    Pause,
    Removal,
    Report,
    ReportedHost,
    StreamState,
    Wave,
    folds,
    reject,
)

MAINTENANCE_CLAIM = "maintenance"
# A rack is the failure domain; a wave never takes more hosts than a rack has.
MAX_WAVE_HOSTS = 4
CONDITIONS = ("", "failed", "draining", "moving")
NO_REPORT = Report(-1, -1, {})
# Weight of the newest wave in the mean duration of waves.
DURATION_WEIGHT = 0.2


def parse_time(text: str) -> datetime | None:
    """Returns an RFC 3339 time that names its offset from UTC, or None for any other text."""
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return None
    return moment if moment.tzinfo else None


def is_enabled(state: StreamState) -> bool:
    """Returns whether the configuration in force lets waves start."""
    maintenance = state.configuration.document.get("maintenance") or {}
    return bool(maintenance.get("enabled", False))


def _find_obstacle(state: StreamState, body: records.WaveStarted) -> str:
    """Returns why the wave may not start, or an empty string."""
    if not has_fence(state, MAINTENANCE_CLAIM, body.fence):
        return f"claim {MAINTENANCE_CLAIM!r} is not held under fence {body.fence}"
    if state.pause is not None:
        return "maintenance is paused"
    if not is_enabled(state):
        return "maintenance is not enabled"
    if state.waves:
        return f"wave {next(iter(state.waves))!r} is not finished"
    if any(wave.data_centre == body.data_centre for wave in state.stalled.values()):
        return f"data centre {body.data_centre!r} has a stalled wave"
    if body.wave in state.stalled or parse_time(body.at) is None:
        return f"wave {body.wave!r} at {body.at!r}: the name is in use or the time is malformed"
    known = state.reports.get(body.data_centre, NO_REPORT).hosts
    if not body.hosts or len(set(body.hosts)) != len(body.hosts):
        return f"hosts {body.hosts!r}, accepted: different hosts of one rack"
    if len(body.hosts) > MAX_WAVE_HOSTS or any(host not in known for host in body.hosts):
        return f"hosts {body.hosts!r}, accepted: at most {MAX_WAVE_HOSTS} reported hosts"
    if len({known[host].rack for host in body.hosts}) != 1:
        return f"hosts {body.hosts!r} are in different racks"
    return ""


@folds(records.WaveStarted)
def _start(state: StreamState, offset: int, item: records.Record):
    body: records.WaveStarted = item.body
    obstacle = _find_obstacle(state, body)
    if obstacle:
        return reject(obstacle)
    state.waves[body.wave] = Wave(body.data_centre, body.hosts, [], offset, body.fence, body.at)
    return ACCEPTED


@folds(records.WaveHostDone)
def _finish_host(state: StreamState, offset: int, item: records.Record):
    body: records.WaveHostDone = item.body
    table = state.waves if body.wave in state.waves else state.stalled
    wave = table.get(body.wave)
    if wave is None or wave.fence != body.fence:
        return reject(f"wave {body.wave!r} under fence {body.fence} does not exist")
    if body.host not in wave.hosts or body.host in wave.done:
        return reject(f"host {body.host!r} is not pending in the wave")
    if parse_time(body.at) is None:
        return reject(f"time {body.at!r}, accepted: RFC 3339")
    table[body.wave] = wave._replace(done=[*wave.done, body.host])
    if not body.skipped:
        state.maintained[body.host] = body.at
    if table is state.stalled and len(table[body.wave].done) == len(wave.hosts):
        del state.stalled[body.wave]
    return ACCEPTED


def _note_duration(state: StreamState, wave: Wave, at: datetime) -> None:
    started = parse_time(wave.at)
    seconds = max(0.0, (at - started).total_seconds())
    if not state.wave_seconds:
        state.wave_seconds = seconds
    state.wave_seconds += (seconds - state.wave_seconds) * DURATION_WEIGHT


@folds(records.WaveFinished)
def _finish(state: StreamState, offset: int, item: records.Record):
    body: records.WaveFinished = item.body
    if not has_fence(state, MAINTENANCE_CLAIM, body.fence):
        return reject(f"claim {MAINTENANCE_CLAIM!r} is not held under fence {body.fence}")
    wave, at = state.waves.get(body.wave), parse_time(body.at)
    if wave is None or at is None:
        return reject(f"wave {body.wave!r} does not run, or its end {body.at!r} is malformed")
    complete = len(wave.done) == len(wave.hosts)
    if not complete and not body.stalled:
        return reject(f"wave {body.wave!r} is not complete")
    del state.waves[body.wave]
    if not complete:
        state.stalled[body.wave] = wave
    _note_duration(state, wave, at)
    return ACCEPTED


@folds(records.HostsReported)
def _report(state: StreamState, offset: int, item: records.Record):
    body: records.HostsReported = item.body
    report = state.reports.get(body.data_centre, NO_REPORT)
    if body.fence < report.fence:
        return reject(f"fence {body.fence} is below {report.fence}")
    unknown = {host.condition for host in body.hosts.values()} - set(CONDITIONS)
    if unknown or parse_time(body.at) is None:
        return reject(f"conditions {sorted(unknown)} or time {body.at!r} are malformed")
    hosts = dict(report.hosts)
    for name, told in body.hosts.items():
        if told.condition or not told.pool:
            state.removals.pop(name, None)
        if told.pool:
            since = hosts[name].since if name in hosts else body.at
            hosts[name] = ReportedHost(told.pool, told.rack, told.condition, since)
        else:
            hosts.pop(name, None)
            state.maintained.pop(name, None)
    state.reports[body.data_centre] = Report(body.fence, offset, hosts)
    return ACCEPTED


def find_last_removal(state: StreamState, pool: str) -> int:
    """Returns the offset of the last reservation of a pool's hosts, -1 for none."""
    return max((item.offset for item in state.removals.values() if item.pool == pool), default=-1)


@folds(records.RemovalReserved)
def _reserve_removal(state: StreamState, offset: int, item: records.Record):
    body: records.RemovalReserved = item.body
    last = find_last_removal(state, body.pool)
    if body.reserved_seen not in (None, last):
        return reject(f"another host of pool {body.pool!r} is being taken out of service")
    if parse_time(body.at) is None:
        return reject(f"time {body.at!r}, accepted: RFC 3339")
    state.removals[body.host] = Removal(body.data_centre, body.pool, body.at, offset)
    return ACCEPTED


@folds(records.RemovalReleased)
def _release_removal(state: StreamState, offset: int, item: records.Record):
    known = state.removals.get(item.body.host)
    if known is None or known.offset != item.body.reserved:
        return reject(f"host {item.body.host!r} has no reservation {item.body.reserved}")
    del state.removals[item.body.host]
    return ACCEPTED


@folds(records.MaintenancePaused)
def _pause(state: StreamState, offset: int, item: records.Record):
    if state.pause is not None:
        return reject(f"maintenance was paused by {state.pause.author!r}")
    state.pause = Pause(item.body.author, item.body.reason)
    return ACCEPTED


@folds(records.MaintenanceResumed)
def _resume(state: StreamState, offset: int, item: records.Record):
    if state.pause is None:
        return reject("maintenance is not paused")
    state.pause = None
    return ACCEPTED
