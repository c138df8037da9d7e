"""Maintenance waves in the folded state of the global stream."""

from __future__ import annotations

from carawayshore import records
from carawayshore.assignment import has_fence
from carawayshore.fold import ACCEPTED, Pause, StreamState, Wave, folds, reject

MAINTENANCE_CLAIM = "maintenance"


def _check_wave(state: StreamState, body) -> str:
    if not has_fence(state, MAINTENANCE_CLAIM, body.fence):
        return f"claim {MAINTENANCE_CLAIM!r} is not held under fence {body.fence}"
    if body.wave not in state.waves:
        return f"wave {body.wave!r} does not exist"
    return ""


@folds(records.WaveStarted)
def _start(state: StreamState, offset: int, item: records.Record):
    body: records.WaveStarted = item.body
    if not has_fence(state, MAINTENANCE_CLAIM, body.fence):
        return reject(f"claim {MAINTENANCE_CLAIM!r} is not held under fence {body.fence}")
    if state.pause is not None:
        return reject("maintenance is paused")
    if state.waves:
        return reject(f"wave {next(iter(state.waves))!r} is not finished")
    state.waves[body.wave] = Wave(body.data_centre, body.hosts, [], offset)
    return ACCEPTED


@folds(records.WaveHostDone)
def _finish_host(state: StreamState, offset: int, item: records.Record):
    reason = _check_wave(state, item.body)
    if reason:
        return reject(reason)
    wave = state.waves[item.body.wave]
    if item.body.host not in wave.hosts or item.body.host in wave.done:
        return reject(f"host {item.body.host!r} is not pending in the wave")
    state.waves[item.body.wave] = wave._replace(done=[*wave.done, item.body.host])
    state.maintained[item.body.host] = offset
    return ACCEPTED


@folds(records.WaveFinished)
def _finish(state: StreamState, offset: int, item: records.Record):
    reason = _check_wave(state, item.body)
    if reason:
        return reject(reason)
    del state.waves[item.body.wave]
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
