"""Callers that submit jobs, insist where it is safe, and follow each job to its end."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayshore.outcome import OUTCOME_HEADER, Outcome
from carawayshore_standins.evidence import JobStory

if TYPE_CHECKING:
    from carawayshore.clock import Clock
    from carawayshore_standins.client import JsonClient, Reply

RETRY_INTERVAL = timedelta(milliseconds=300)
PATIENCE = timedelta(seconds=40)
WAIT_SECONDS = 3
CALL_SECONDS = 8.0
QUEUE, TEAM = "nightly", "billing"


def build_job(
    name: str, *, run_seconds: float, repeatable: bool = False, processors: float = 1.0
) -> dict[str, Any]:
    """Returns the submission of a job that runs for ``run_seconds``."""
    return {
        "job": name,
        "queue": QUEUE,
        "team": TEAM,
        "payload": {"run_seconds": run_seconds},
        "resources": {"processors": processors},
        "repeatable": repeatable,
        "run_seconds": run_seconds,
    }


class JobCaller:
    """Submits jobs in the background and keeps what it was told about each.

    Parameters
    ----------
    client : JsonClient
    clock : Clock
    """

    def __init__(self, client: JsonClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._stories: dict[str, JobStory] = {}
        self._following: list[asyncio.Task[None]] = []

    def follow(self, job: dict[str, Any], addresses: list[str], *, fits: bool = True) -> None:
        """Submits a job through the entry hosts of one data centre and awaits its end.

        A submission without a clear answer is sent again under the same name.
        """
        self._stories[job["job"]] = JobStory(job["job"], job["repeatable"], fits, insisted=True)
        self._following.append(asyncio.ensure_future(self._follow(job, addresses)))

    async def submit_once(self, job: dict[str, Any], address: str) -> Reply:
        """Submits a job once and notes the answer; it is not followed if it is rejected."""
        self._stories.setdefault(job["job"], JobStory(job["job"], job["repeatable"]))
        return await self._submit(job, address)

    async def finish(self) -> list[JobStory]:
        """Returns what was told about every job, once each has ended or patience has."""
        await asyncio.gather(*self._following)
        return list(self._stories.values())

    def _change(self, name: str, **members: Any) -> None:
        self._stories[name] = self._stories[name]._replace(**members)

    async def _submit(self, job: dict[str, Any], address: str) -> Reply:
        reply = await self._client.call("POST", address, "/v1/jobs", job, seconds=CALL_SECONDS)
        if reply.status == 201:
            self._change(job["job"], accepted=True)
        elif reply.status and reply.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value:
            self._change(job["job"], refusals=self._stories[job["job"]].refusals + 1)
        else:
            self._change(job["job"], unclear=self._stories[job["job"]].unclear + 1)
        return reply

    async def _follow(self, job: dict[str, Any], addresses: list[str]) -> None:
        name, deadline, turn = job["job"], self._clock.elapsed() + PATIENCE, 0
        while not self._stories[name].accepted and self._clock.elapsed() < deadline:
            await self._submit(job, addresses[turn % len(addresses)])
            turn += 1
            if not self._stories[name].accepted:
                await self._clock.sleep(RETRY_INTERVAL)
        while self._clock.elapsed() < deadline:
            path = f"/v1/jobs/{name}?wait={WAIT_SECONDS}"
            reply = await self._client.call("GET", addresses[turn % len(addresses)], path)
            turn += 1
            if reply.status == 200:
                self._change(name, state=reply.body["state"])
                if reply.body["ended"]:
                    return
            else:
                await self._clock.sleep(RETRY_INTERVAL)
