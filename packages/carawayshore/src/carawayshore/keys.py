"""At-most-once execution of requests with an idempotency key."""

from __future__ import annotations

from carawayshore import records
from carawayshore.fold import ACCEPTED, KeyGrant, StreamState, folds, reject


@folds(records.KeyGranted)
def _grant(state: StreamState, offset: int, item: records.Record):
    body: records.KeyGranted = item.body
    if body.key in state.keys:
        return reject(f"key {body.key!r} was granted before")
    state.keys[body.key] = KeyGrant(body.request, body.member, body.incarnation, offset)
    return ACCEPTED


@folds(records.KeyFinished)
def _finish(state: StreamState, offset: int, item: records.Record):
    body: records.KeyFinished = item.body
    grant = state.keys.get(body.key)
    if grant is None or grant.request != body.request:
        return reject(f"key {body.key!r} is not granted to request {body.request!r}")
    state.keys[body.key] = grant._replace(status=body.status)
    return ACCEPTED
