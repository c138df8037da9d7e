"""Hosts and availability budgets as known to this entry host, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from carawayd.platform.common import PlatformError
from carawayshore.budget import BudgetSettings, HostCondition, count_unavailable, may_remove

if TYPE_CHECKING:
    from carawayd.process.daemon import Components
    from carawayshore.configuration import Configuration
    from carawayshore.fold import Host


def _build_condition(
    components: Components, name: str, host: Host, ejected: set[str]
) -> HostCondition:
    listed = components.inventory.hosts.get(name)
    missing = components.inventory.read_at is not None and listed is None
    leaving = components.inventory.is_leaving(name)
    return HostCondition(
        name,
        host.rack,
        failed=missing or name in ejected,
        draining=leaving or host.draining_to == host.pool,
        moving=host.draining_to not in ("", host.pool),
    )


def build_conditions(components: Components, pool: str) -> list[HostCondition]:
    """Returns the condition of each host of a pool, including hosts that are moving away."""
    ejected = set(components.observations.find_health(pool).list_ejected())
    return [
        _build_condition(components, name, host, ejected)
        for name, host in sorted(components.reader.folded.hosts.items())
        if host.pool == pool
    ]


def describe_services(components: Components) -> dict[str, dict[str, Any]]:
    """Returns the availability budget of each service and the number of unavailable hosts."""
    version = components.versions.current
    if version is None:
        return {}
    described = {}
    for name, options in sorted(version.configuration["services"].items()):
        conditions = build_conditions(components, options["pool"])
        settings = BudgetSettings(options["max_unavailable"])
        described[name] = {
            "pool": options["pool"],
            "hosts": len(conditions),
            "max_unavailable": options["max_unavailable"],
            "unavailable": count_unavailable(conditions, settings),
        }
    return described


def _list_pool_services(configuration: Configuration, pool: str) -> list[str]:
    """Returns the services whose budget includes the hosts of a pool, directly or by a queue."""
    users = {name for name, item in configuration["services"].items() if item["pool"] == pool}
    users |= {item["service"] for item in configuration["queues"].values() if item["pool"] == pool}
    return sorted(users)


def preview_removal(components: Components, name: str) -> list[dict[str, Any]]:
    """Returns the budgets of the services on a host's pool before and after its removal."""
    version = components.versions.current
    host = components.reader.folded.hosts[name]
    if version is None:
        return []
    own = build_conditions(components, host.pool)
    known = {item.host for item in own}
    listed = {item.host: item for item in components.waves.list_host_conditions(host.pool)}
    conditions = [
        item._replace(draining=item.draining or listed[item.host].draining) for item in own
    ] + [item for name, item in listed.items() if name not in known]
    after = [item._replace(draining=item.draining or item.host == name) for item in conditions]
    previews = []
    for service in _list_pool_services(version.configuration, host.pool):
        limit = version.configuration["services"][service]["max_unavailable"]
        settings = BudgetSettings(limit)
        previews.append(
            {
                "service": service,
                "max_unavailable": limit,
                "unavailable_now": count_unavailable(conditions, settings),
                "unavailable_then": count_unavailable(after, settings),
                "within": may_remove(conditions, [name], settings),
            }
        )
    return previews


def _describe_host(name: str, host: Host, condition: HostCondition) -> dict[str, Any]:
    return {
        "host": name,
        "pool": host.pool,
        "rack": host.rack,
        "address": host.address,
        "revision": host.revision,
        "draining_to": host.draining_to,
        "reason": host.reason,
        "failed": condition.failed,
        "leaving": condition.draining and not host.draining_to,
    }


def list_hosts(components: Components) -> list[dict[str, Any]]:
    """Returns all hosts of the data centre, sorted by name."""
    hosts = components.reader.folded.hosts
    described = [
        _describe_host(item.host, hosts[item.host], item)
        for pool in sorted({host.pool for host in hosts.values()})
        for item in build_conditions(components, pool)
    ]
    return sorted(described, key=lambda item: item["host"])


async def describe_host(components: Components, name: str) -> dict[str, Any]:
    """Returns one host, its state at the pools service, and a preview of its removal.

    Raises
    ------
    KeyError
        If the host does not exist.
    """
    host = components.reader.folded.hosts[name]
    ejected = set(components.observations.find_health(host.pool).list_ejected())
    described = _describe_host(name, host, _build_condition(components, name, host, ejected))
    described["budgets"] = preview_removal(components, name)
    try:
        status = await components.platform.pools.look_up(name)
    except PlatformError as error:
        return described | {"pools_service": None, "pools_service_error": str(error)}
    return described | {"pools_service": status._asdict()}
