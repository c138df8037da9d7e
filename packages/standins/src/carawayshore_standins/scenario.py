"""Deployment and steps of the demonstration: roll-outs, moves, maintenance, stops and faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayshore.outcome import OUTCOME_HEADER
from carawayshore_standins.client import JsonClient, wait_until
from carawayshore_standins.evidence import (
    Evidence,
    Stop,
    list_assignments,
    parse_time,
    read_executions,
    read_operations,
    read_stream,
)
from carawayshore_standins.jobcalls import JobCaller, build_job
from carawayshore_standins.loads import Load, build_burst, build_steady
from carawayshore_standins.rollouts import ConfigurationPublisher

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from carawayshore.clock import Clock
    from carawayshore_standins.evidence import Call
    from carawayshore_standins.launcher import Launcher

STEP_TIMEOUT = timedelta(seconds=30)
SLOTS_PER_WORKER = 8
# Each pool fits in one rack of each data centre; a maintenance wave takes one rack.
BOOKING_WORKERS, OFFICE_WORKERS = 3, 2
DATA_CENTRES = ("umea", "lulea")
DESCRIPTION = {
    "data_centres": {
        name: {
            "entry_hosts": 2,
            "pools": {
                "booking": {"workers": BOOKING_WORKERS},
                "office": {"workers": OFFICE_WORKERS},
            },
        }
        for name in DATA_CENTRES
    },
    "pools": {"reboot_seconds": 0.5},
    "configuration": {
        "data_centres": list(DATA_CENTRES),
        "pools": {"booking": {}, "office": {"spare": True}},
        "services": {
            "booking": {"pool": "booking", "max_unavailable": 1},
            "office": {"pool": "office", "max_unavailable": 1},
        },
        "queues": {"nightly": {"pool": "office", "service": "office"}},
        "teams": {"billing": {}},
    },
}
# Delayed and reordered responses of one worker in each data centre.
REORDERING_FAULTS = {"reorder": 3, "reorder_seconds": 0.3, "late_share": 0.2, "late_seconds": 0.5}
JOBS_PER_DATA_CENTRE = 8
JOB_SECONDS = (0.3, 3.0)
# Longer than MAX_NEW_WORK_AFTER_DRAIN_S, the time in which a draining host may still get new work.
DRAIN_HOLD_TIME = timedelta(seconds=4)


class Scenario:
    """Runs the steps against a deployment and collects the evidence.

    Parameters
    ----------
    launcher : Launcher
        Must be running.
    client : JsonClient
    clock : Clock
    seed : int
    short : bool
        Whether to skip the maintenance wave, the kill and the silent connections.
    """

    def __init__(
        self, launcher: Launcher, client: JsonClient, clock: Clock, *, seed: int, short: bool
    ) -> None:
        self._launcher = launcher
        self._client = client
        self._clock = clock
        self._seed = seed
        self._short = short
        self._rng = random.Random(seed)
        self._start = clock.elapsed()
        self._publisher = ConfigurationPublisher(launcher, client, clock, pool="office")
        self._jobs = JobCaller(client, clock)
        self._loads: list[Load] = []
        self._stops: list[Stop] = []
        self._fault_intervals: dict[str, tuple[float, float]] = {}
        self._silenced_connections: dict[str, int] = {}

    async def run(self) -> Evidence:
        """Runs all steps and returns the evidence.

        Raises
        ------
        TimeoutError
            If a step does not complete within its timeout.
        """
        try:
            await self._publisher.await_initial_configuration()
            self.report("all entry hosts are serving")
            steady = await self._start_load("steady", build_steady(self._addresses(), self._seed))
            await self._run_steps()
            self.report("waiting for the calls and jobs in progress")
            calls = await steady.finish(stop=True) + await self._finish_bursts(steady)
            job_results = await self._jobs.await_all()
            return await self._collect(calls, job_results)
        finally:
            await asyncio.gather(*(load.end() for load in self._loads))
            await self._publisher.stop()

    def report(self, message: str) -> None:
        """Prints a progress line with the elapsed time to standard error."""
        elapsed = (self._clock.elapsed() - self._start).total_seconds()
        print(f"{elapsed:5.1f} s  {message}", file=sys.stderr, flush=True)

    def _addresses(self) -> list[str]:
        return self._launcher.list_caller_addresses()

    def _now(self) -> float:
        return self._clock.now().timestamp()

    async def _wait(self, condition: Any, what: str) -> Any:
        return await wait_until(condition, STEP_TIMEOUT, self._clock, description=what)

    async def _start_load(self, name: str, settings: dict[str, Any]) -> Load:
        load = Load(name, settings, self._launcher.folder)
        self._loads.append(load)
        await load.start()
        return load

    async def _finish_bursts(self, steady: Load) -> list[Call]:
        bursts = [await load.finish(stop=False) for load in self._loads if load is not steady]
        return [call for calls in bursts for call in calls]

    @contextlib.asynccontextmanager
    async def _record_fault_interval(self, name: str) -> AsyncIterator[None]:
        began = self._now()
        yield
        self._fault_intervals[name] = (began, self._now())

    async def _run_steps(self) -> None:
        await self._set_reordering_faults()
        self._publisher.start()
        self._start_jobs()
        await self._roll_out_configuration()
        await self._send_burst(1.0 if self._short else 3.0)
        await self._move_hosts()
        if self._short:
            await self._stop_and_restart("umea-2")
        else:
            await self._enable_maintenance()
            await self._stop_and_restart("umea-2")
            await self._kill_and_restart("lulea-1")
            await self._finish_wave()
        await self._cause_log_outage(timedelta(seconds=3 if self._short else 5))
        if not self._short:
            await self._cause_silence("umea-w1")

    async def _set_reordering_faults(self) -> None:
        for name in DATA_CENTRES:
            await self._launcher.set_faults(f"{name}-w2", seed=self._seed, **REORDERING_FAULTS)

    def _start_jobs(self) -> None:
        self.report(f"jobs: {JOBS_PER_DATA_CENTRE} in each data centre, one of them too large")
        for name in DATA_CENTRES:
            for number in range(JOBS_PER_DATA_CENTRE):
                seconds = round(self._rng.uniform(*JOB_SECONDS), 2)
                repeatable = self._rng.random() < 0.5
                job = build_job(f"{name}:job-{number}", run_seconds=seconds, repeatable=repeatable)
                self._jobs.submit_in_background(job, self._rng.sample(self._addresses(), 4))
            large = build_job(f"{name}:large", run_seconds=1, processors=1000)
            self._jobs.submit_in_background(large, self._addresses(), placeable=False)

    async def _roll_out_configuration(self) -> None:
        roll_out = await self._publisher.roll_out("quotes", "umea-1")
        slowest = max(roll_out.seconds.values())
        self.report(f"configuration: in force at 4 entry hosts within {slowest:.2f} s")
        race = await self._publisher.publish_concurrently({"umea-1": "north", "lulea-2": "south"})
        self.report(f"race of two operators: {race.accepted} accepted, {race.refused} refused")

    async def _send_burst(self, seconds: float) -> None:
        slots = SLOTS_PER_WORKER * BOOKING_WORKERS * len(DATA_CENTRES)
        settings = build_burst(self._addresses(), self._seed, slots=slots, seconds=seconds)
        self.report(f"burst: five times the capacity of pool booking for {seconds:g} s")
        load = await self._start_load("burst", settings)
        calls = await load.finish(stop=False)
        completed = sum(call.outcome == "completed" for call in calls)
        rejected = sum(call.outcome == "not-run" for call in calls)
        self.report(f"burst: {len(calls)} calls, {completed} completed, {rejected} rejected")

    async def _send_operator_command(self, member: str, path: str, body: dict[str, Any]) -> None:
        """Sends an operator command, and retries it until it is accepted."""
        address = self._launcher.get_address(member, "operator")

        async def send() -> bool:
            reply = await self._client.call("POST", address, f"/v1/operator/{path}", body)
            return reply.status == 200

        await self._wait(send, f"command {path}")

    async def _read_hosts(self) -> dict[str, Any]:
        return (await self._launcher.read_record("pools"))["hosts"]

    async def _await_host(self, host: str, *, state: str, pool: str) -> None:
        async def is_in_state() -> bool:
            known = (await self._read_hosts())[host]
            return (known["state"], known["pool"]) == (state, pool)

        await self._wait(is_in_state, f"host {host} {state} in {pool}")

    async def _move_hosts(self) -> None:
        """Moves one host to another pool and, concurrently, holds a host of that pool drained."""
        moved_host = self._rng.choice([f"umea-w{n + 1}" for n in range(1, BOOKING_WORKERS)])
        self.report(f"move: {moved_host} from booking to office; the first response is lost")
        await self._launcher.set_faults("pools", lose_answers=1)
        held = f"lulea-w{BOOKING_WORKERS + OFFICE_WORKERS}"
        await asyncio.gather(self._move(moved_host, "office"), self._hold_drained(held, "office"))
        await self._launcher.set_faults("pools")

    async def _move(self, host: str, pool: str) -> None:
        await self._send_operator_command("umea-1", f"hosts/{host}/move", {"pool": pool})
        await self._await_host(host, state="serving", pool=pool)
        self.report(f"move: {host} serves {pool}")

    async def _hold_drained(self, host: str, pool: str) -> None:
        """Keeps a host drained for longer than the 3 s in which new work may still arrive."""
        self.report(f"drain: {host} is kept drained for {DRAIN_HOLD_TIME.total_seconds():g} s")
        await self._send_operator_command("lulea-1", f"hosts/{host}/drain", {})
        await self._await_host(host, state="drained", pool=pool)
        await self._clock.sleep(DRAIN_HOLD_TIME)
        await self._send_operator_command("lulea-1", f"hosts/{host}/return", {})
        await self._await_host(host, state="serving", pool=pool)
        self.report(f"drain: {host} is serving again")

    async def _enable_maintenance(self) -> None:
        changes = {"maintenance": {"enabled": True, "period_days": 49}}
        await self._publisher.roll_out("maintained", "lulea-2", **changes)
        self.report("maintenance: enabled, the first wave starts")

    async def _list_global_records(self, record_type: str) -> list[dict[str, Any]]:
        """Returns the bodies of the records of a type in the stream ``global``."""
        streams = (await self._launcher.read_record("log"))["streams"]
        address = self._launcher.get_address("log")
        records = await read_stream(self._client, address, "global", streams["global"]["end"])
        return [record["body"] for record in records if record["type"] == record_type]

    async def _finish_wave(self) -> None:
        """Waits for the end of the first wave, then pauses maintenance."""

        async def is_finished() -> list[dict[str, Any]]:
            return await self._list_global_records("wave_finished")

        finished = await self._wait(is_finished, "end of the first wave")
        body = {"author": "demo", "reason": "one wave is enough"}
        await self._send_operator_command("umea-1", "maintenance/pause", body)

        async def is_serving() -> bool:
            hosts = await self._read_hosts()
            return all(host["state"] == "serving" for host in hosts.values())

        await self._wait(is_serving, "return of every host")
        self.report(f"maintenance: wave {finished[0]['wave']} finished; paused")

    async def _stop_and_restart(self, member: str) -> None:
        began = self._now()
        self.report(f"planned stop of {member}")
        status = await self._launcher.stop(member)
        ended = self._now()
        await self._launcher.start(member)
        self._record_stop(member, began, ended, status)
        self.report(f"planned stop of {member}: status {status}; ready again")

    async def _kill_and_restart(self, member: str) -> None:
        began = self._now()
        self.report(f"kill of {member}")
        await self._launcher.kill(member)
        ended = self._now()
        await self._launcher.start(member)
        self._record_stop(member, began, ended, self._launcher.processes[member].exit_status or -9)
        self.report(f"kill of {member}: ready again")

    def _record_stop(self, member: str, began: float, ended: float, status: int) -> None:
        address = self._launcher.get_address(member, "caller")
        self._stops.append(Stop(member, address, began, ended, self._now(), status))

    async def _cause_log_outage(self, duration: timedelta) -> None:
        """Takes the log service down while requests with idempotency keys continue.

        One job is submitted as the outage starts, when the append of its record may already be in
        flight, and another late, when the entry host has detected the outage.
        """
        self.report(f"outage of the log for {duration.total_seconds():g} s")
        async with self._record_fault_interval("log outage"):
            await self._launcher.set_faults("log", outage=True)
            self._jobs.submit_in_background(build_job("early", run_seconds=0.5), self._addresses())
            await self._clock.sleep(duration)
            job = build_job("late", run_seconds=0.5)
            reply = await self._jobs.submit_once(job, self._addresses()[0])
        await self._launcher.set_faults("log")
        outcome = reply.headers.get(OUTCOME_HEADER, "none")
        self.report(f"outage of the log: over; outcome of a job submitted during it: {outcome}")

    async def _cause_silence(self, host: str) -> None:
        """Silences the open connections of a worker and waits until their requests have ended."""
        async with self._record_fault_interval("silence"):
            await self._launcher.set_faults(host, silent=True)
            record = await self._launcher.read_record(host)
            self._silenced_connections[host] = record["silent_connections"]
            self.report(f"silence: {self._silenced_connections[host]} connections of {host}")
            await self._clock.sleep(timedelta(seconds=6))
        self.report("silence: observed for 6 s")

    async def _collect(self, calls: list[Call], job_results: list[Any]) -> Evidence:
        roll_outs = await self._publisher.stop()
        records = {
            name: await self._launcher.read_record(name)
            for name in self._launcher.processes
            if name not in self._launcher.list_members()
        }
        workers = {name: r for name, r in records.items() if "executions" in r}
        (self._launcher.folder / "records.json").write_text(json.dumps(records))
        return Evidence(
            calls=calls,
            executions=[e for record in workers.values() for e in read_executions(record)],
            rejections=[
                entry | {"host": name} for name, r in workers.items() for entry in r["rejections"]
            ],
            dropped=sum(record["executions_dropped"] for record in workers.values()),
            operations=read_operations(records["pools"]),
            initial_pools=self._list_initial_pools(),
            assignments=await self._read_assignments(records["log"]),
            configuration=self._publisher.document,
            stops=self._stops,
            jobs=job_results,
            roll_outs=roll_outs,
            races=self._publisher.races,
            fault_intervals=self._fault_intervals,
            silenced_connections=self._silenced_connections,
            revocations=[
                (name, entry["request"], parse_time(entry["at"]))
                for name, record in workers.items()
                for entry in record["revocations"]
            ],
        )

    def _list_initial_pools(self) -> dict[str, str]:
        spec = self._launcher.processes["pools"].spec
        return {entry["host"]: entry["pool"] for entry in spec.settings["hosts"]}

    async def _read_assignments(
        self, record: dict[str, Any]
    ) -> dict[str, list[tuple[float, str, str]]]:
        """Returns the assignments of all streams by host, ordered by time."""
        merged: dict[str, list[tuple[float, str, str]]] = {}
        for stream, bounds in record["streams"].items():
            address = self._launcher.get_address("log")
            records = await read_stream(self._client, address, stream, bounds["end"])
            for host, history in list_assignments(stream, records, record["appends"]).items():
                merged.setdefault(host, []).extend(history)
        return {host: sorted(history) for host, history in merged.items()}
