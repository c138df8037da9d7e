"""Hosts and availability budgets as known to this entry host, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from carawayd.platform.common import PlatformError
from carawayshore.budget import BudgetSettings, HostCondition, count_unavailable, may_remove

if TYPE_CHECKING:
    from carawayd.process.daemon import Parts
    from carawayshore.configuration import Configuration
    from carawayshore.fold import Host


def _build_condition(parts: Parts, name: str, host: Host, ejected: set[str]) -> HostCondition:
    listed = parts.inventory.hosts.get(name)
    missing = parts.inventory.read_at is not None and listed is None
    leaving = parts.inventory.is_leaving(name)
    return HostCondition(
        name,
        host.rack,
        failed=missing or name in ejected,
        draining=leaving or host.draining_to == host.pool,
        moving=host.draining_to not in ("", host.pool),
    )


def build_conditions(parts: Parts, pool: str) -> list[HostCondition]:
    """Returns the condition of each host of a pool, including hosts that are moving away."""
    ejected = set(parts.observations.find_health(pool).list_ejected())
    return [
        _build_condition(parts, name, host, ejected)
        for name, host in sorted(parts.reader.folded.hosts.items())
        if host.pool == pool
    ]


def describe_services(parts: Parts) -> dict[str, dict[str, Any]]:
    """Returns the availability budget of each service and the number of unavailable hosts."""
    version = parts.versions.current
    if version is None:
        return {}
    described = {}
    for name, options in sorted(version.configuration["services"].items()):
        conditions = build_conditions(parts, options["pool"])
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


def preview_removal(parts: Parts, name: str) -> list[dict[str, Any]]:
    """Returns the budgets of the services on a host's pool before and after its removal."""
    version = parts.versions.current
    host = parts.reader.folded.hosts[name]
    if version is None:
        return []
    own = build_conditions(parts, host.pool)
    known = {item.host for item in own}
    listed = {item.host: item for item in parts.waves.list_pool(host.pool)}
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


def list_hosts(parts: Parts) -> list[dict[str, Any]]:
    """Returns all hosts of the data centre, sorted by name."""
    hosts = parts.reader.folded.hosts
    described = [
        _describe_host(item.host, hosts[item.host], item)
        for pool in sorted({host.pool for host in hosts.values()})
        for item in build_conditions(parts, pool)
    ]
    return sorted(described, key=lambda item: item["host"])


async def describe_host(parts: Parts, name: str) -> dict[str, Any]:
    """Returns one host, its state at the pools service, and a preview of its removal.

    Raises
    ------
    KeyError
        If the host does not exist.
    """
    host = parts.reader.folded.hosts[name]
    ejected = set(parts.observations.find_health(host.pool).list_ejected())
    described = _describe_host(name, host, _build_condition(parts, name, host, ejected))
    described["budgets"] = preview_removal(parts, name)
    try:
        status = await parts.platform.pools.look_up(name)
    except PlatformError as error:
        return described | {"pools_service": None, "pools_service_error": str(error)}
    return described | {"pools_service": status._asdict()}
