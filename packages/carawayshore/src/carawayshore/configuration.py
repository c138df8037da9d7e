"""Schema and validation of the configuration document, and its publication in the log."""

from __future__ import annotations

from typing import Any, TypedDict

from carawayshore import records
from carawayshore.findings import Finding, join_pointer
from carawayshore.fold import ACCEPTED, ConfigurationVersion, StreamState, register_handler, reject
from carawayshore.options import NAME_PATTERN, Field, check_fields, fill_defaults


class PoolOptions(TypedDict):
    spare: bool
    min_serving: int
    max_waiting: int
    short_seconds: float
    short_share: float


class ServiceOptions(TypedDict):
    pool: str
    max_unavailable: int
    deadline_seconds: float
    retry_share: float


class QueueOptions(TypedDict):
    pool: str
    service: str
    urgent: bool
    deadline_seconds: float


class TeamOptions(TypedDict):
    request_share: float
    max_jobs: int


class MaintenanceOptions(TypedDict):
    period_days: float
    enabled: bool


class LendingOptions(TypedDict):
    enabled: bool
    waiting_weight: float
    buffer_weight: float
    move_weight: float
    window_seconds: float
    min_stay_seconds: float
    max_moves: int


class Configuration(TypedDict):
    """A valid document with all defaults filled in."""

    data_centres: list[str]
    pools: dict[str, PoolOptions]
    services: dict[str, ServiceOptions]
    queues: dict[str, QueueOptions]
    teams: dict[str, TeamOptions]
    maintenance: MaintenanceOptions
    lending: LendingOptions


POOL_FIELDS = (
    Field("spare", "boolean", "Whether other pools may borrow hosts of this pool.", default=False),
    Field(
        "min_serving",
        "integer",
        "Minimum number of hosts that stay when hosts are lent.",
        "hosts",
        1,
    ),
    Field("max_waiting", "integer", "Requests that may wait at one entry host.", "requests", 256),
    Field(
        "short_seconds",
        "number",
        "Requests predicted to run at most this long are short.",
        "s",
        0.5,
    ),
    Field(
        "short_share",
        "number",
        "Share of the slots reserved for short requests; others may use idle reserved slots.",
        "",
        0.5,
        maximum=1,
    ),
)
SERVICE_FIELDS = (
    Field("pool", "name", "Pool whose hosts serve the service.", required=True),
    Field(
        "max_unavailable",
        "integer",
        "Availability budget: hosts of the pool that may be out of service at once.",
        "hosts",
        1,
    ),
    Field(
        "deadline_seconds",
        "number",
        "Deadline of a request that states none.",
        "s",
        30.0,
        minimum=0.05,
        maximum=86_400,
    ),
    Field(
        "retry_share",
        "number",
        "Retries as a share of requests.",
        "",
        0.1,
        maximum=1,
    ),
)
QUEUE_FIELDS = (
    Field("pool", "name", "Pool whose hosts run the jobs.", required=True),
    Field("service", "name", "Service whose budget the jobs respect.", required=True),
    Field(
        "urgent", "boolean", "Whether jobs of the queue start before all other jobs.", default=False
    ),
    Field(
        "deadline_seconds",
        "number",
        "Deadline of a job that states none.",
        "s",
        28_800.0,
        maximum=31_536_000,
    ),
)
TEAM_FIELDS = (
    Field(
        "request_share",
        "number",
        "Share of a pool's slots that the team may use while others wait.",
        "",
        1.0,
        maximum=1,
    ),
    Field("max_jobs", "integer", "Jobs of the team that may be placed at once.", "jobs", 1_000),
)
MAINTENANCE_FIELDS = (
    Field("period_days", "number", "Every host is maintained once in this time.", "days", 49.0),
    Field("enabled", "boolean", "Whether new waves start.", default=False),
)
LENDING_FIELDS = (
    Field("enabled", "boolean", "Whether hosts of the spare pool are lent.", default=True),
    Field("waiting_weight", "number", "Cost of one request that waits for one second.", "", 1.0),
    Field(
        "buffer_weight",
        "number",
        "Cost of one slot of a spare host that is idle for one second.",
        "",
        0.1,
    ),
    Field("move_weight", "number", "Cost of one move of a host.", "", 20.0),
    Field(
        "window_seconds",
        "number",
        "Time constant of the averages of demand; it should exceed the interval between bursts.",
        "s",
        30.0,
        minimum=1,
    ),
    Field(
        "min_stay_seconds",
        "number",
        "Time for which a host that was lent or returned is not moved again.",
        "s",
        1_800.0,
    ),
    Field("max_moves", "integer", "Moves that may be in progress at once.", "hosts", 2),
)
CONFIGURATION_FIELDS = (
    Field("data_centres", "names", "Data centres of the deployment.", required=True),
    Field("pools", "mapping", "Pools of hosts by name.", required=True, fields=POOL_FIELDS),
    Field("services", "mapping", "Services by name.", required=True, fields=SERVICE_FIELDS),
    Field("queues", "mapping", "Job queues by name.", fields=QUEUE_FIELDS),
    Field("teams", "mapping", "Teams by name.", fields=TEAM_FIELDS),
    Field("maintenance", "object", "Maintenance of hosts.", fields=MAINTENANCE_FIELDS),
    Field("lending", "object", "Lending of spare hosts.", fields=LENDING_FIELDS),
)


def _check_reference(
    document: dict[str, Any], table: str, member: str, to_table: str
) -> list[Finding]:
    """Returns a finding for each ``member`` in ``table`` that names no entry of ``to_table``.

    Values of a wrong type are ignored, since the checks of the fields report them.
    """
    entries, known = document.get(table, {}), document.get(to_table, {})
    if not isinstance(entries, dict) or not isinstance(known, dict):
        return []
    accepted = "one of " + (", ".join(sorted(known)) or "(none is defined)")
    return [
        Finding(join_pointer(f"/{table}", name) + f"/{member}", entry[member], accepted)
        for name, entry in sorted(entries.items())
        if isinstance(entry, dict)
        and isinstance(entry.get(member), str)
        and NAME_PATTERN.fullmatch(entry[member])
        and entry[member] not in known
    ]


def _check_spare_pools(pools: Any) -> list[Finding]:
    """Returns a finding for each spare pool after the first one."""
    if not isinstance(pools, dict):
        return []
    spare = [
        name
        for name, options in sorted(pools.items())
        if isinstance(options, dict) and options.get("spare") is True
    ]
    return [
        Finding(join_pointer("/pools", name) + "/spare", True, f"false, since {spare[0]} is spare")
        for name in spare[1:]
    ]


def check_configuration(document: Any) -> list[Finding]:
    """Returns all findings about a configuration document, none if it is valid."""
    found = check_fields(CONFIGURATION_FIELDS, document)
    if not isinstance(document, dict):
        return found
    if document.get("data_centres") == []:
        found.append(Finding("/data_centres", [], "at least one data centre"))
    found += _check_reference(document, "services", "pool", "pools")
    found += _check_reference(document, "queues", "pool", "pools")
    found += _check_reference(document, "queues", "service", "services")
    return found + _check_spare_pools(document.get("pools"))


def complete_configuration(document: dict[str, Any]) -> Configuration:
    """Returns a valid document with the defaults filled in."""
    return fill_defaults(CONFIGURATION_FIELDS, document)


@register_handler(records.ConfigurationPublished)
def _publish(state: StreamState, offset: int, item: records.Record):
    body: records.ConfigurationPublished = item.body
    if body.base_version != state.configuration.version:
        return reject(f"version {state.configuration.version} is in force, not {body.base_version}")
    found = check_configuration(body.document)
    if found:
        return reject(f"the document has {len(found)} finding(s), the first: {found[0]}")
    state.configuration = ConfigurationVersion(body.base_version + 1, body.document, body.author)
    return ACCEPTED
