"""Faults of the soak: of connections, entry hosts, store and workers."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, NamedTuple

from proxies import INBOUND, OUTBOUND, Proxy

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from soak_run import SoakDeployment

    FaultInjector = Callable[["SoakDeployment", Random], Awaitable[str]]

# Maximum time from SIGTERM to the exit of an entry host.
STOP_TIMEOUT_S = 8.0


class LinkState(NamedTuple):
    """Faults of a proxy's connections: delay, and the direction whose bytes are dropped."""

    delay_seconds: float = 0.0
    dropped_direction: str = ""


class FaultProxy(Proxy):
    """Proxy that delays bytes, drops those of one direction, or silences connections."""

    def __init__(self, address: str, upstream: str) -> None:
        super().__init__(address, upstream)
        self.state = LinkState()
        # Writers of permanently silenced connections; their sockets stay open.
        self._silenced: set[asyncio.StreamWriter] = set()

    async def _should_forward(self, writer: asyncio.StreamWriter, direction: str) -> bool:
        if self.state.delay_seconds:
            await asyncio.sleep(self.state.delay_seconds)
        return writer not in self._silenced and self.state.dropped_direction != direction

    def _abort(self, writer: asyncio.StreamWriter) -> None:
        if writer not in self._silenced:
            super()._abort(writer)

    def reset(self) -> None:
        """Aborts all connections that are not silenced."""
        for writer in self._writers - self._silenced:
            writer.transport.abort()

    def silence(self) -> None:
        """Silences the present connections permanently; new ones work."""
        self._silenced |= self._writers

    def close(self) -> None:
        super().close()
        for writer in self._silenced:
            writer.transport.abort()


# Injectors by name, each with the edition of the soak that added it.
_injectors: dict[str, tuple[int, FaultInjector]] = {}


def register_fault(name: str, *, edition: int = 1) -> Callable[[FaultInjector], FaultInjector]:
    """Registers the function that injects and ends a fault and returns the affected component."""

    def register(injector: FaultInjector) -> FaultInjector:
        _injectors[name] = (edition, injector)
        return injector

    return register


def get_faults(edition: int) -> dict[str, FaultInjector]:
    """Returns the injectors of an edition by name.

    A seed draws from the faults of its edition, so that added faults do not change its run.
    """
    return {name: injector for name, (since, injector) in _injectors.items() if since <= edition}


def _choose_host(deployment: SoakDeployment, random: Random) -> str:
    return random.choice(sorted(deployment.hosts))


def _choose_link(deployment: SoakDeployment, random: Random) -> tuple[str, FaultProxy]:
    name = random.choice(sorted(deployment.links))
    return name, deployment.links[name]


@register_fault("kill")
async def kill_host(deployment: SoakDeployment, random: Random) -> str:
    name = _choose_host(deployment, random)
    await deployment.hosts[name].kill()
    await asyncio.sleep(random.uniform(0.1, 2.0))
    await deployment.start_host(name)
    return name


@register_fault("kill-all")
async def kill_all(deployment: SoakDeployment, random: Random) -> str:
    await asyncio.gather(*(host.kill() for host in deployment.hosts.values()))
    await asyncio.sleep(random.uniform(0.1, 1.0))
    await asyncio.gather(*(deployment.start_host(name) for name in deployment.hosts))
    return "all"


@register_fault("stop")
async def stop_host(deployment: SoakDeployment, random: Random) -> str:
    name = _choose_host(deployment, random)
    await deployment.hosts[name].terminate(STOP_TIMEOUT_S)
    await deployment.start_host(name)
    return name


@register_fault("pause")
async def pause_host(deployment: SoakDeployment, random: Random) -> str:
    name = _choose_host(deployment, random)
    host = deployment.hosts[name]
    if host.is_running():
        host.send_signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(0.3, 6.0))
        if host.is_running():
            host.send_signal(signal.SIGCONT)
    return name


@register_fault("clock-jump", edition=2)
async def jump_clock(deployment: SoakDeployment, random: Random) -> str:
    name = _choose_host(deployment, random)
    seconds = random.choice([-1, 1]) * random.uniform(1.0, 20.0)
    deployment.shift_time_of_day(name, seconds)
    await asyncio.sleep(random.uniform(0.5, 6.0))
    if random.random() < 0.7:
        deployment.shift_time_of_day(name, 0.0)
    return f"{name} by {seconds:.1f} s"


@register_fault("reload")
async def reload_host(deployment: SoakDeployment, random: Random) -> str:
    name = _choose_host(deployment, random)
    if deployment.hosts[name].is_running():
        deployment.hosts[name].send_signal(signal.SIGHUP)
    return name


@register_fault("link-delay")
async def delay_link(deployment: SoakDeployment, random: Random) -> str:
    name, link = _choose_link(deployment, random)
    link.state = LinkState(delay_seconds=random.uniform(0.05, 0.4))
    await asyncio.sleep(random.uniform(0.5, 3.0))
    link.state = LinkState()
    return name


@register_fault("link-one-way")
async def cut_link(deployment: SoakDeployment, random: Random) -> str:
    name, link = _choose_link(deployment, random)
    link.state = LinkState(dropped_direction=random.choice([OUTBOUND, INBOUND]))
    await asyncio.sleep(random.uniform(0.5, 5.0))
    # Bytes were lost, so the connections cannot continue.
    link.reset()
    link.state = LinkState()
    return name


@register_fault("link-reset")
async def reset_link(deployment: SoakDeployment, random: Random) -> str:
    name, link = _choose_link(deployment, random)
    link.reset()
    return name


@register_fault("link-silence")
async def silence_link(deployment: SoakDeployment, random: Random) -> str:
    name, link = _choose_link(deployment, random)
    link.silence()
    return name


@register_fault("store-away")
async def stop_store(deployment: SoakDeployment, random: Random) -> str:
    deployment.store.outage = True
    await asyncio.sleep(random.uniform(0.3, 5.0))
    deployment.store.outage = False
    return "store"


@register_fault("store-slow")
async def slow_store(deployment: SoakDeployment, random: Random) -> str:
    deployment.store.append_delay_seconds = random.uniform(0.05, 0.4)
    await asyncio.sleep(random.uniform(0.5, 3.0))
    deployment.store.append_delay_seconds = 0.0
    return "store"


@register_fault("store-answers-lost")
async def lose_answers(deployment: SoakDeployment, random: Random) -> str:
    deployment.store.lose_answers += random.randint(1, 8)
    return "store"


@register_fault("store-forgets")
async def expire_history(deployment: SoakDeployment, random: Random) -> str:
    for topic in ("keyed.jobs", "keyed.op", "keyed.servers"):
        for number in range(deployment.store.partition_count):
            deployment.store.expire(topic, number)
    return "store"


@register_fault("deal-anew")
async def rebalance(deployment: SoakDeployment, random: Random) -> str:
    deployment.store.rotate_owners("owners")
    return "group"


@register_fault("configuration")
async def change_configuration(deployment: SoakDeployment, random: Random) -> str:
    for _ in range(random.randint(1, 4)):
        deployment.publish_configuration()
        await asyncio.sleep(random.uniform(0.05, 0.5))
    return f"version {deployment.configuration_version}"


@register_fault("worker-crash")
async def crash_worker(deployment: SoakDeployment, random: Random) -> str:
    worker = random.choice(deployment.list_present_workers())
    worker.crash()
    return worker.name


@register_fault("worker-late-starts")
async def delay_starts(deployment: SoakDeployment, random: Random) -> str:
    worker = random.choice(deployment.list_present_workers())
    worker.start_delay_seconds = random.uniform(1.0, 5.0)
    await asyncio.sleep(random.uniform(0.5, 2.0))
    worker.start_delay_seconds = 0.0
    return worker.name


@register_fault("worker-answers-lost")
async def lose_starts(deployment: SoakDeployment, random: Random) -> str:
    worker = random.choice(deployment.list_present_workers())
    worker.lose_start_responses += random.randint(1, 4)
    return worker.name


@register_fault("worker-shrinks", edition=3)
async def shrink_worker(deployment: SoakDeployment, random: Random) -> str:
    worker = random.choice(deployment.list_present_workers())
    worker.resize(random.choice([1, 2]) * 1000)
    await asyncio.sleep(random.uniform(3.0, 8.0))
    worker.resize(deployment.plan.worker_cores * 1000)
    return worker.name


@register_fault("worker-gone", edition=4)
async def remove_worker(deployment: SoakDeployment, random: Random) -> str:
    worker = random.choice(deployment.list_present_workers())
    await deployment.remove_worker(worker)
    await asyncio.sleep(random.uniform(1.0, 4.0))
    await deployment.add_worker()
    return worker.name


@register_fault("worker-grows", edition=4)
async def grow_worker(deployment: SoakDeployment, random: Random) -> str:
    worker = random.choice(deployment.list_present_workers())
    worker.resize(random.randint(0, 4) * 1000)
    await asyncio.sleep(random.uniform(0.5, 3.0))
    worker.resize(deployment.plan.worker_cores * 1500)
    await asyncio.sleep(random.uniform(0.5, 3.0))
    worker.resize(deployment.plan.worker_cores * 1000)
    return worker.name


@register_fault("worker-unhealthy", edition=6)
async def reject_starts(deployment: SoakDeployment, random: Random) -> str:
    worker = random.choice(deployment.list_present_workers())
    worker.unhealthy_status = random.choice([429, 503])
    await asyncio.sleep(random.uniform(0.5, 6.0))
    worker.unhealthy_status = 0
    return worker.name


@register_fault("worker-crash-busiest", edition=4)
async def crash_busiest_worker(deployment: SoakDeployment, random: Random) -> str:
    worker = deployment.find_busiest_worker()
    worker.crash()
    return worker.name
