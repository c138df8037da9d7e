"""Decodes the documents of the operator, the workers and the callers into the project's types."""

from __future__ import annotations

from typing import Any, Literal, NotRequired, TypedDict

import msgspec

from carawayd.platform.store import WORKERS_TOPIC
from carawayd.unreadable import unreadable_records
from carawayshore.decoding import (
    MAX_IDENTIFIER_LENGTH,
    Count,
    Identifier,
    MalformedDocument,
    Milliseconds,
    Number,
    Quantity,
    Seconds,
    Text,
    UnixMilliseconds,
    check_address,
    check_bounds,
    convert,
    decode_json,
    is_identifier,
    reject,
)
from carawayshore.findings import Finding, join_pointer
from carawayshore.workflows.accounts import hash_key
from carawayshore.workflows.amounts import Amounts
from carawayshore.workflows.model import (
    AccountConfig,
    AdviceConfig,
    CallerLimits,
    Deployment,
    QueueConfig,
    ServiceConfig,
    StepSpec,
    Wave,
    WorkerEntry,
    Workflow,
    check_steps,
)
from carawayshore.workflows.state import MAX_OCCURRING_TASKS, count_occurring_tasks

CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
TIMEOUT_HEADER = "Timeout-Ms"
AUTHORIZATION_HEADER = "Authorization"
MAX_SPEC_BYTES = 4_000
IDENTIFIER_DIGITS = 16
WORKER_STATES = {"ready": "ready", "draining": "draining"}
# Fields of a step: name on the wire, field of StepSpec, type of the value.
STEP_FIELDS = {
    "count": ("count", Count),
    "cpu": ("millicores", Count),
    "memMb": ("memory_mb", Count),
    "gpus": ("accelerators", Count),
    "estimateMs": ("estimate_ms", Count),
    "after": ("after", tuple[Count, ...]),
    "checkpointing": ("checkpointing", bool),
    "gang": ("gang", bool),
    "sameRack": ("same_rack", bool),
    "requiredLabel": ("label", str),
    "affinity": ("rack", str),
    "maxPerServer": ("most_per_worker", Count),
    "speculative": ("speculative", bool),
    "longRunning": ("long_running", bool),
    "image": ("image", str),
    "targetMs": ("latency_target_ms", Count),
    "fills": ("best_effort", bool),
    # Number of tasks of a long-running step that may be interrupted by carawayd's own actions.
    "mayMiss": ("most_away", Count),
}
# Fields that repeat a job: name on the wire and type of the value.
OCCURRENCE_FIELDS = {
    "repeatCount": Quantity,
    "startAtMs": UnixMilliseconds,
    "intervalMs": Milliseconds,
}


class _ServiceDocument(TypedDict):
    name: str
    rejectsOverload: NotRequired[bool | None]
    standby: NotRequired[bool | None]
    healthPath: NotRequired[str | None]


class _AdviceDocument(TypedDict):
    decisionMs: NotRequired[Milliseconds | None]
    perWorkerMs: NotRequired[Milliseconds | None]
    validMs: NotRequired[Milliseconds | None]


class _RouteDocument(TypedDict):
    name: NotRequired[str | None]
    host: NotRequired[str | None]
    pathPrefix: str
    backend: str
    priority: NotRequired[Number | None]
    maxAttempts: NotRequired[Quantity | None]
    stretch: NotRequired[Quantity | None]
    targetDurationMs: NotRequired[Milliseconds | None]
    timeoutMs: NotRequired[Milliseconds | None]
    public: NotRequired[bool | None]
    advice: NotRequired[_AdviceDocument | None]


class _LimitsDocument(TypedDict):
    maxHeaderBytes: NotRequired[Quantity | None]
    maxBodyBytes: NotRequired[Quantity | None]
    headerTimeoutMs: NotRequired[Milliseconds | None]
    idleTimeoutMs: NotRequired[Milliseconds | None]


class _CapDocument(TypedDict):
    cpu: NotRequired[Count | None]
    memMb: NotRequired[Count | None]
    gpus: NotRequired[Count | None]


class _AccountDocument(TypedDict):
    name: Text
    apiKeys: NotRequired[list[str] | None]
    weight: NotRequired[Quantity | None]
    cap: NotRequired[_CapDocument | None]


class _ConfigurationDocument(TypedDict):
    version: Quantity
    routes: NotRequired[list[_RouteDocument] | None]
    services: NotRequired[list[_ServiceDocument] | None]
    limits: NotRequired[_LimitsDocument | None]
    # Not null: without accounts no call needs a key.
    tenants: NotRequired[list[_AccountDocument]]


class _CapacityDocument(TypedDict):
    cpu: Quantity
    memMb: Quantity
    gpus: NotRequired[Quantity | None]


class _WorkerDocument(TypedDict):
    backend: Text
    address: str
    zone: NotRequired[str | None]
    state: Literal["ready", "draining"]
    capacity: _CapacityDocument
    labels: NotRequired[list[str] | None]
    machine: NotRequired[str | None]
    born: NotRequired[UnixMilliseconds | None]
    drainRemainingMs: NotRequired[Milliseconds | None]


class _WaveDocument(TypedDict):
    wave: Quantity
    machines: list[Identifier]
    withinS: NotRequired[Seconds | None]
    cap: NotRequired[Quantity | None]


def decode_configuration(value: bytes) -> Deployment:
    """Returns the configuration; raises MalformedDocument if the document is malformed."""
    document = decode_json(value, _ConfigurationDocument)
    for field in ("routes", "services"):
        for number, item in enumerate(document.get(field) or ()):
            _check_name(item.get("name") or "", f"/{field}/{number}/name")
    queues = tuple(_decode_queue(item) for item in document.get("routes") or ())
    services = {
        item["name"]: ServiceConfig(
            item["name"],
            bool(item.get("rejectsOverload")),
            bool(item.get("standby")),
            item.get("healthPath") or "",
        )
        for item in document.get("services") or ()
    }
    tenants = document.get("tenants")
    return Deployment(
        int(document["version"]),
        queues,
        services,
        _decode_limits(document.get("limits") or {}),
        None if tenants is None else _decode_accounts(tenants),
        _index_keys(tenants or []),
    )


def _decode_limits(item: _LimitsDocument) -> CallerLimits:
    """Returns the limits of callers' requests; one that is absent or 0 is the default."""
    default = CallerLimits()
    return CallerLimits(
        int(item.get("maxHeaderBytes") or default.max_head_bytes),
        int(item.get("maxBodyBytes") or default.max_body_bytes),
        (item.get("headerTimeoutMs") or 0) / 1000 or default.head_seconds,
        (item.get("idleTimeoutMs") or 0) / 1000 or default.idle_seconds,
    )


def _decode_accounts(tenants: list[_AccountDocument]) -> dict[str, AccountConfig]:
    accounts = {}
    for number, item in enumerate(tenants):
        _check_name(item["name"], f"/tenants/{number}/name")
        if item["name"] in accounts:
            raise reject(
                f"/tenants/{number}/name", item["name"], "a name that no other account has"
            )
        cap, weight = item.get("cap") or {}, item.get("weight")
        accounts[item["name"]] = AccountConfig(
            item["name"],
            AccountConfig("").weight if weight is None else weight,
            Amounts(cap.get("cpu") or 0, cap.get("memMb") or 0, cap.get("gpus") or 0),
        )
    return accounts


def _index_keys(tenants: list[_AccountDocument]) -> dict[bytes, str]:
    """Returns the account of each key; one that two accounts have is that of the first one.

    An empty key cannot be sent, and is left out.
    """
    accounts: dict[bytes, str] = {}
    for item in tenants:
        for key in item.get("apiKeys") or ():
            if key.strip():
                accounts.setdefault(hash_key(key.strip()), item["name"])
    return accounts


def _check_name(name: str, pointer: str) -> None:
    """Checks a name that becomes part of a key in the store."""
    if len(name.encode()) > MAX_IDENTIFIER_LENGTH:
        raise reject(pointer, name, f"a name of at most {MAX_IDENTIFIER_LENGTH} bytes")


def _decode_queue(item: _RouteDocument) -> QueueConfig:
    advice = item.get("advice")
    return QueueConfig(
        name=item.get("name") or "",
        host=item.get("host") or "",
        prefix=item["pathPrefix"],
        service=item["backend"],
        priority=int(item.get("priority") or 0),
        max_failures=int(item.get("maxAttempts") or 1),
        stretch=item.get("stretch") or 1.0,
        # The objective of a workflow is ``stretch`` times its expected run time plus this.
        allowance_ms=int(item.get("targetDurationMs") or 0),
        timeout_ms=int(item.get("timeoutMs") or 0),
        public=bool(item.get("public")),
        advice=(
            AdviceConfig(
                int(advice.get("decisionMs") or 0),
                int(advice.get("perWorkerMs") or 0),
                int(advice.get("validMs") or 0),
            )
            if advice
            else None
        ),
    )


def decode_worker(key: str, value: bytes) -> WorkerEntry | None:
    """Returns a worker's entry, or None if it cannot be read, which is noted."""
    try:
        return _decode_worker(key, value)
    except MalformedDocument as error:
        unreadable_records.note(WORKERS_TOPIC, key, error)
        return None


def _decode_worker(key: str, value: bytes) -> WorkerEntry:
    if not is_identifier(key):
        raise reject("", key, "a key of printable ASCII characters without spaces")
    document = decode_json(value, _WorkerDocument)
    capacity = document["capacity"]
    return WorkerEntry(
        worker=key,
        service=document["backend"],
        address=check_address(document["address"], "/address"),
        data_centre=document.get("zone") or "",
        state=WORKER_STATES[document["state"]],
        millicores=int(capacity["cpu"]),
        memory_mb=int(capacity["memMb"]),
        accelerators=int(capacity.get("gpus") or 0),
        labels=tuple(document.get("labels") or ()),
        machine=document.get("machine") or "",
        born=int(document.get("born") or 0),
        drain_seconds=(document.get("drainRemainingMs") or 0) / 1000,
    )


def decode_submission(
    identifier: str, queue: QueueConfig, body: bytes
) -> tuple[Workflow | None, list[Finding]]:
    """Returns the submitted workflow, or None and the findings about its document."""
    findings: list[Finding] = []
    if not is_workflow_identifier(identifier):
        findings.append(Finding("", identifier, "an identifier of 16 hexadecimal digits"))
    try:
        document = decode_json(body, dict[str, Any])
        check_bounds(document)
    except MalformedDocument as error:
        return None, [*findings, error.finding]
    spec = document.get("spec", "")
    if not isinstance(spec, str) or len(spec.encode()) > MAX_SPEC_BYTES:
        findings.append(
            Finding("/spec", type(spec).__name__, f"text of up to {MAX_SPEC_BYTES} bytes")
        )
    steps = document.get("steps")
    if not isinstance(steps, list) or not steps:
        return None, [*findings, Finding("/steps", type(steps).__name__, "a list of steps")]
    decoded = [_decode_step(f"/steps/{place}", step, findings) for place, step in enumerate(steps)]
    numbers = {
        name: _convert_field(document.get(name) or 0, kind, f"/{name}", findings)
        for name, kind in OCCURRENCE_FIELDS.items()
    }
    if not findings:
        findings = check_steps(decoded)
    if not findings:
        task_count = count_occurring_tasks(int(numbers["repeatCount"]), decoded)
        if task_count > MAX_OCCURRING_TASKS:
            accepted = f"at most {MAX_OCCURRING_TASKS} tasks of all occurrences together"
            findings.append(Finding("/repeatCount", numbers["repeatCount"], accepted))
    if findings:
        return None, findings
    workflow = Workflow(
        identifier=identifier,
        service=queue.service,
        priority=queue.priority,
        max_failures=queue.max_failures,
        stretch=queue.stretch,
        allowance_ms=queue.allowance_ms,
        queue=queue.name,
        spec=spec,
        steps=tuple(decoded),
        repeats=int(numbers["repeatCount"]),
        first_due_ms=int(numbers["startAtMs"]),
        interval_ms=int(numbers["intervalMs"]),
        advice=queue.advice,
    )
    return workflow, []


def _decode_step(pointer: str, step: Any, findings: list[Finding]) -> StepSpec:
    """Returns a step, without the fields that add findings."""
    if not isinstance(step, dict):
        findings.append(Finding(pointer, type(step).__name__, "an object"))
        return StepSpec()
    fields: dict[str, Any] = {}
    for name, (field, kind) in STEP_FIELDS.items():
        value = step.get(name)
        if value is not None:
            value = _convert_field(value, kind, join_pointer(pointer, name), findings)
        if value is not None:
            fields[field] = value
    return StepSpec(**fields)


def _convert_field(value: Any, kind: Any, pointer: str, findings: list[Finding]) -> Any:
    """Returns a value as the type ``kind``, or None and adds a finding."""
    try:
        return convert(value, kind)
    except MalformedDocument as error:
        finding = error.finding
        findings.append(finding._replace(pointer=pointer + finding.pointer))
        return None


def is_workflow_identifier(text: str) -> bool:
    """Whether ``text`` may identify a workflow."""
    digits = "0123456789abcdefABCDEF"
    return len(text) == IDENTIFIER_DIGITS and all(char in digits for char in text)


def decode_wave(value: bytes) -> Wave:
    """Returns a wave: machines to maintain, a few at a time.

    Raises MalformedDocument if the document is malformed.
    """
    document = decode_json(value, _WaveDocument)
    return Wave(
        int(document["wave"]),
        tuple(document["machines"]),
        document.get("withinS") or 0.0,
        # Maximum number of machines of the wave that may be down at once.
        max(1, int(document.get("cap") or 1)),
    )


def encode_wave_state(completed: bool) -> bytes:
    """Returns the status record of a wave for the operator."""
    return msgspec.json.encode({"state": "completed" if completed else "running"})


def encode_state(state: str) -> dict[str, str]:
    """Returns the response body with the state of a workflow."""
    return {"state": state}


def encode_pending(count: int) -> dict[str, int]:
    """Returns the response body with the number of pending workflows of a queue."""
    return {"pending": count}
