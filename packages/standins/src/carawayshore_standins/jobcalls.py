"""Client that submits jobs, retries where it is safe, and awaits the end of each job."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayshore.outcome import OUTCOME_HEADER, Outcome
from carawayshore_standins.evidence import JobResult

if TYPE_CHECKING:
    from carawayshore.clock import Clock
    from carawayshore_standins.client import JsonClient, Reply

RETRY_INTERVAL = timedelta(milliseconds=300)
JOB_TIMEOUT = timedelta(seconds=40)
LONG_POLL_S = 3
SUBMIT_TIMEOUT_S = 8.0
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
    """Submits jobs and records the responses for each.

    Parameters
    ----------
    client : JsonClient
    clock : Clock
    """

    def __init__(self, client: JsonClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._results: dict[str, JobResult] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def submit_in_background(
        self, job: dict[str, Any], addresses: list[str], *, placeable: bool = True
    ) -> None:
        """Submits a job in the background through ``addresses`` and polls it until its end.

        A submission that was not accepted is retried under the same name, so that it cannot create
        a second job.
        """
        self._results[job["job"]] = JobResult(
            job["job"], job["repeatable"], placeable, retried_until_accepted=True
        )
        self._tasks.append(asyncio.ensure_future(self._submit_and_await(job, addresses)))

    async def submit_once(self, job: dict[str, Any], address: str) -> Reply:
        """Submits a job once and records the response; neither retries it nor awaits its end."""
        self._results.setdefault(job["job"], JobResult(job["job"], job["repeatable"]))
        return await self._submit(job, address)

    async def await_all(self) -> list[JobResult]:
        """Returns the results of all jobs once each has ended or ``JOB_TIMEOUT`` has passed."""
        await asyncio.gather(*self._tasks)
        return list(self._results.values())

    def _update(self, name: str, **members: Any) -> None:
        self._results[name] = self._results[name]._replace(**members)

    async def _submit(self, job: dict[str, Any], address: str) -> Reply:
        reply = await self._client.call(
            "POST", address, "/v1/jobs", job, timeout_s=SUBMIT_TIMEOUT_S
        )
        if reply.status == 201:
            self._update(job["job"], accepted=True)
        elif reply.status and reply.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value:
            self._update(job["job"], rejections=self._results[job["job"]].rejections + 1)
        else:
            self._update(
                job["job"], unknown_outcomes=self._results[job["job"]].unknown_outcomes + 1
            )
        return reply

    async def _submit_and_await(self, job: dict[str, Any], addresses: list[str]) -> None:
        name, deadline, attempt = job["job"], self._clock.elapsed() + JOB_TIMEOUT, 0
        while not self._results[name].accepted and self._clock.elapsed() < deadline:
            await self._submit(job, addresses[attempt % len(addresses)])
            attempt += 1
            if not self._results[name].accepted:
                await self._clock.sleep(RETRY_INTERVAL)
        while self._clock.elapsed() < deadline:
            path = f"/v1/jobs/{name}?wait={LONG_POLL_S}"
            reply = await self._client.call("GET", addresses[attempt % len(addresses)], path)
            attempt += 1
            if reply.status == 200:
                self._update(name, state=reply.body["state"])
                if reply.body["ended"]:
                    return
            else:
                await self._clock.sleep(RETRY_INTERVAL)
