"""Faults of the soak: proxies, signals, and a platform that misbehaves."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, NamedTuple

from proxies import BACK, OUT, Proxy

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from soak_run import SoakDeployment

    Inject = Callable[["SoakDeployment", Random], Awaitable[str]]

# Longest time in seconds from SIGTERM to the end of an entry host.
STOP_SECONDS = 8.0


class LinkState(NamedTuple):
    """How a proxy treats its connections; ``dropped`` is the direction that loses its bytes."""

    delay: float = 0.0
    dropped: str = ""


class FaultProxy(Proxy):
    """Proxy that delays, loses one direction, and lets connections go silent."""

    def __init__(self, address: str, onward: str) -> None:
        super().__init__(address, onward)
        self.state = LinkState()
        # Writers of connections that have gone silent for good; their sockets stay open.
        self._silent: set[asyncio.StreamWriter] = set()

    async def _passes(self, writer: asyncio.StreamWriter, way: str) -> bool:
        if self.state.delay:
            await asyncio.sleep(self.state.delay)
        return writer not in self._silent and self.state.dropped != way

    def _end(self, writer: asyncio.StreamWriter) -> None:
        if writer not in self._silent:
            super()._end(writer)

    def reset(self) -> None:
        """Ends all connections that are not silent."""
        for writer in self._writers - self._silent:
            writer.transport.abort()

    def silence(self) -> None:
        """Lets the present connections go silent for good, while new ones work."""
        self._silent |= self._writers

    def close(self) -> None:
        super().close()
        for writer in self._silent:
            writer.transport.abort()


_faults: dict[str, Inject] = {}


def fault(name: str) -> Callable[[Inject], Inject]:
    """Registers a fault; it injects itself, lasts, heals, and returns what it hit."""

    def register(inject: Inject) -> Inject:
        _faults[name] = inject
        return inject

    return register


def list_faults() -> dict[str, Inject]:
    """Returns all faults by name."""
    return dict(_faults)


def _choose_host(run: SoakDeployment, random: Random) -> str:
    return random.choice(sorted(run.hosts))


def _choose_link(run: SoakDeployment, random: Random) -> tuple[str, FaultProxy]:
    name = random.choice(sorted(run.links))
    return name, run.links[name]


@fault("kill")
async def kill_host(run: SoakDeployment, random: Random) -> str:
    name = _choose_host(run, random)
    await run.hosts[name].kill()
    await asyncio.sleep(random.uniform(0.1, 2.0))
    await run.start_host(name)
    return name


@fault("kill-all")
async def kill_all(run: SoakDeployment, random: Random) -> str:
    await asyncio.gather(*(host.kill() for host in run.hosts.values()))
    await asyncio.sleep(random.uniform(0.1, 1.0))
    await asyncio.gather(*(run.start_host(name) for name in run.hosts))
    return "all"


@fault("stop")
async def stop_host(run: SoakDeployment, random: Random) -> str:
    name = _choose_host(run, random)
    await run.hosts[name].end(STOP_SECONDS)
    await run.start_host(name)
    return name


@fault("pause")
async def pause_host(run: SoakDeployment, random: Random) -> str:
    name = _choose_host(run, random)
    host = run.hosts[name]
    if host.is_running():
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(0.3, 6.0))
        if host.is_running():
            host.send_signal(signal.SIGCONT)
    return name


@fault("reload")
async def reload_host(run: SoakDeployment, random: Random) -> str:
    name = _choose_host(run, random)
    if run.hosts[name].is_running():
        run.hosts[name].send_signal(signal.SIGHUP)
    return name


@fault("link-delay")
async def delay_link(run: SoakDeployment, random: Random) -> str:
    name, link = _choose_link(run, random)
    link.state = LinkState(delay=random.uniform(0.05, 0.4))
    await asyncio.sleep(random.uniform(0.5, 3.0))
    link.state = LinkState()
    return name


@fault("link-one-way")
async def cut_link(run: SoakDeployment, random: Random) -> str:
    name, link = _choose_link(run, random)
    link.state = LinkState(dropped=random.choice([OUT, BACK]))
    await asyncio.sleep(random.uniform(0.5, 5.0))
    # Bytes were lost, so the connections can't go on.
    link.reset()
    link.state = LinkState()
    return name


@fault("link-reset")
async def reset_link(run: SoakDeployment, random: Random) -> str:
    name, link = _choose_link(run, random)
    link.reset()
    return name


@fault("link-silence")
async def silence_link(run: SoakDeployment, random: Random) -> str:
    name, link = _choose_link(run, random)
    link.silence()
    return name


@fault("store-away")
async def stop_store(run: SoakDeployment, random: Random) -> str:
    run.store.outage = True
    await asyncio.sleep(random.uniform(0.3, 5.0))
    run.store.outage = False
    return "store"


@fault("store-slow")
async def slow_store(run: SoakDeployment, random: Random) -> str:
    run.store.append_delay_seconds = random.uniform(0.05, 0.4)
    await asyncio.sleep(random.uniform(0.5, 3.0))
    run.store.append_delay_seconds = 0.0
    return "store"


@fault("store-answers-lost")
async def lose_answers(run: SoakDeployment, random: Random) -> str:
    run.store.lose_answers += random.randint(1, 8)
    return "store"


@fault("store-forgets")
async def expire_history(run: SoakDeployment, random: Random) -> str:
    for topic in ("keyed.jobs", "keyed.op", "keyed.servers"):
        for number in range(run.store.partition_count):
            run.store.expire(topic, number)
    return "store"


@fault("deal-anew")
async def deal_anew(run: SoakDeployment, random: Random) -> str:
    run.store.rotate_owners("owners")
    return "group"


@fault("configuration")
async def change_configuration(run: SoakDeployment, random: Random) -> str:
    for _ in range(random.randint(1, 4)):
        run.publish_configuration()
        await asyncio.sleep(random.uniform(0.05, 0.5))
    return f"version {run.version}"


@fault("worker-crash")
async def crash_worker(run: SoakDeployment, random: Random) -> str:
    worker = random.choice(run.workers)
    worker.crash()
    return worker.name


@fault("worker-late-starts")
async def delay_starts(run: SoakDeployment, random: Random) -> str:
    worker = random.choice(run.workers)
    worker.start_delay_seconds = random.uniform(1.0, 5.0)
    await asyncio.sleep(random.uniform(0.5, 2.0))
    worker.start_delay_seconds = 0.0
    return worker.name


@fault("worker-answers-lost")
async def lose_starts(run: SoakDeployment, random: Random) -> str:
    worker = random.choice(run.workers)
    worker.lose_start_responses += random.randint(1, 4)
    return worker.name
