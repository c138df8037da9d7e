"""Builds configurations with client accounts, and a pool that several accounts use."""

from __future__ import annotations

import json
from collections import deque
from typing import Any, NamedTuple

from platform_builders import HOST, build_operator_configuration, build_route

from carawayd.platform.documents import decode_configuration
from carawayshore.workflows.admission import Backlog, Request, decide_admission
from carawayshore.workflows.fairness import Standing, SubmissionRates
from carawayshore.workflows.model import Deployment

PRIVATE_PREFIX, PUBLIC_PREFIX = "/slots/", "/open/"
KEYS = {"harbour": "k-harbour-1", "museum": "k-museum-1"}
POOL_CORES = 100.0
# A workflow of the replayed load: eight tasks of one core for a second, due after 1.6 s and 0.6 s.
WORK_CORE_SECONDS = 8.0
CHAIN_SECONDS = 1.0
OBJECTIVE_SECONDS = 2.2
WEIGHT = 4.0
STEP_SECONDS = 0.05
# Time after which accounts have used up what they may submit at once.
WARM_UP_SECONDS = 30.0


def build_account(name: str, **changes: Any) -> dict[str, Any]:
    """Returns an account in the operator's format."""
    account = {"name": name, "apiKeys": [KEYS.get(name, f"k-{name}")], "weight": 2}
    return account | {"cap": {"cpu": 100_000, "memMb": 200_000, "gpus": 0}} | changes


def build_accounts_document(version: int, accounts: list[dict[str, Any]] | None) -> dict[str, Any]:
    """Returns a configuration with a private and a public queue, without accounts for None."""
    public = build_route(PUBLIC_PREFIX, name="open") | {"public": True}
    document = build_operator_configuration(version, build_route(PRIVATE_PREFIX), public)
    return document if accounts is None else document | {"tenants": accounts}


def read_accounts(version: int, accounts: list[dict[str, Any]] | None) -> Deployment:
    return decode_configuration(encode_accounts(version, accounts))


def encode_accounts(version: int, accounts: list[dict[str, Any]] | None) -> bytes:
    return json.dumps(build_accounts_document(version, accounts)).encode()


def find_queue(deployment: Deployment, kind: str) -> Any:
    prefix = PUBLIC_PREFIX if kind == "public" else PRIVATE_PREFIX
    return deployment.find_queue(HOST, prefix + "0")


class Submitted(NamedTuple):
    within: bool
    admitted: bool


def replay_submissions(rates: dict[str, float], seconds: float) -> list[Submitted]:
    """Submits workflows of several accounts to a pool; returns which of them are admitted.

    Those of the first ``WARM_UP_SECONDS`` are left out.

    Parameters
    ----------
    rates : dict of str to float
        Workflows per second of each account; the weight of each is ``WEIGHT``.
    seconds : float
    """
    buckets, outcomes = SubmissionRates(), []
    # Waiting work in core-seconds: owed and beyond the weights; running work by its end.
    waiting = {True: 0.0, False: 0.0}
    running: deque[tuple[float, float]] = deque()
    due = dict.fromkeys(rates, 0.0)
    now = 0.0
    while now < WARM_UP_SECONDS + seconds:
        for account, rate in rates.items():
            due[account] += rate * STEP_SECONDS
            while due[account] >= 1.0:
                due[account] -= 1.0
                outcome = _submit(buckets, account, waiting, running, now)
                if now >= WARM_UP_SECONDS:
                    outcomes.append(outcome)
        _start(waiting, running, now)
        now += STEP_SECONDS
    return outcomes


def _submit(
    buckets: SubmissionRates,
    account: str,
    waiting: dict[bool, float],
    running: deque[tuple[float, float]],
    now: float,
) -> Submitted:
    within = buckets.take(account, WEIGHT, now)
    ahead = waiting[True] + (0.0 if within else waiting[False])
    remaining = sum(work * max(0.0, end - now) / CHAIN_SECONDS for end, work in running)
    backlog = Backlog(
        POOL_CORES, 0.0, ahead, ahead + remaining, ahead + remaining, OBJECTIVE_SECONDS
    )
    standing = Standing(beyond_weight=not within)
    request = Request(
        CHAIN_SECONDS, WORK_CORE_SECONDS, OBJECTIVE_SECONDS, 0.0, False, False, True, True, standing
    )
    admitted = decide_admission(request, backlog, 0.5).admitted
    if admitted:
        waiting[within] += WORK_CORE_SECONDS
    return Submitted(within, admitted)


def _start(waiting: dict[bool, float], running: deque[tuple[float, float]], now: float) -> None:
    while running and running[0][0] <= now:
        running.popleft()
    free = POOL_CORES - sum(work / CHAIN_SECONDS for _, work in running)
    for within in (True, False):
        started = min(waiting[within], max(0.0, free) * CHAIN_SECONDS)
        if started > 0:
            waiting[within] -= started
            free -= started / CHAIN_SECONDS
            running.append((now + CHAIN_SECONDS, started))
