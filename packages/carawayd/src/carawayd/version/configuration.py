"""Configuration versions and the requests that started under each."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from carawayshore.configuration import Configuration, complete_configuration
from carawayshore.queueing import QueueSettings

if TYPE_CHECKING:
    from carawayd.process.metrics import Metrics
    from carawayd.process.streams import StreamReader
    from carawayd.version.dispatcher import Dispatcher
    from carawayshore.clock import Clock
    from carawayshore.fold import ConfigurationVersion

logger = logging.getLogger(__name__)


DispatcherBuilder = Callable[[str, QueueSettings], "Dispatcher"]


def build_queue_settings(configuration: Configuration, pool: str) -> QueueSettings:
    """Returns the settings of a pool's queue."""
    options = configuration["pools"][pool]
    return QueueSettings(
        short_limit=timedelta(seconds=options["short_seconds"]),
        short_share=options["short_share"],
        max_waiting=options["max_waiting"],
        team_shares={
            team: values["request_share"] for team, values in configuration["teams"].items()
        },
    )


class ActiveVersion:
    """A configuration version that is current, or that requests in progress still use.

    Parameters
    ----------
    source : ConfigurationVersion
    since : timedelta
        Monotonic time at which this process activated it.
    build_dispatcher : callable
        Builds the dispatcher of a pool from its name and queue settings.
    previous : ActiveVersion, optional
        Version before this one. Dispatchers of pools with unchanged queue settings are reused
        from it.
    """

    def __init__(
        self,
        source: ConfigurationVersion,
        since: timedelta,
        build_dispatcher: DispatcherBuilder,
        previous: ActiveVersion | None = None,
    ) -> None:
        self.version = source.version
        self.author = source.author
        self.since = since
        self.requests = 0
        self.configuration: Configuration = complete_configuration(source.document)
        self.dispatchers: dict[str, Dispatcher] = {}
        for pool in self.configuration["pools"]:
            settings = build_queue_settings(self.configuration, pool)
            dispatcher = previous.dispatchers.get(pool) if previous else None
            if dispatcher is None or dispatcher.queue_settings != settings:
                dispatcher = build_dispatcher(pool, settings)
            self.dispatchers[pool] = dispatcher

    def find_dispatcher(self, pool: str) -> Dispatcher:
        """Returns the dispatcher of a pool of this version."""
        return self.dispatchers[pool]

    def __enter__(self) -> ActiveVersion:
        self.requests += 1
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.requests -= 1


class Versions:
    """Current configuration version, updated from the global stream, and its predecessors.

    Each request keeps the version that was current when it started.

    Parameters
    ----------
    reader : StreamReader
        Reader of the global stream.
    build_dispatcher : callable
        Builds the dispatcher of a pool from its name and queue settings.
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        reader: StreamReader,
        *,
        build_dispatcher: DispatcherBuilder,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.current: ActiveVersion | None = None
        self.retiring: list[ActiveVersion] = []
        self._reader = reader
        self._build_dispatcher = build_dispatcher
        self._clock = clock
        self._metrics = metrics
        reader.add_batch_listener(self._update)

    def _update(self) -> None:
        source = self._reader.folded.configuration
        self.retiring = [version for version in self.retiring if version.requests]
        if source.version == 0 or (self.current and source.version <= self.current.version):
            return
        if self.current is not None and self.current.requests:
            self.retiring.append(self.current)
        self.current = ActiveVersion(
            source, self._clock.elapsed(), self._build_dispatcher, self.current
        )
        self._metrics.version.set(source.version)
        fields = {"version": source.version, "author": source.author}
        logger.info("activated configuration version %d", source.version, extra={"fields": fields})

    def list_dispatchers(self) -> list[Dispatcher]:
        """Returns the dispatchers of the current and of all retiring versions, each once."""
        versions = [*self.retiring, *([self.current] if self.current else [])]
        found = {
            id(dispatcher): dispatcher
            for version in versions
            for dispatcher in version.dispatchers.values()
        }
        return list(found.values())
