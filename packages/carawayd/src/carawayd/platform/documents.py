"""Decodes the documents of the operator, the workers and the callers into the project's types."""

from __future__ import annotations

from typing import Any

import msgspec

from carawayshore.findings import Finding, join_pointer
from carawayshore.workflows.model import (
    AdviceConfig,
    Deployment,
    QueueConfig,
    ServiceConfig,
    StepSpec,
    Wave,
    WorkerEntry,
    Workflow,
    check_steps,
)

CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
TIMEOUT_HEADER = "Timeout-Ms"
MAX_SPEC_BYTES = 4_000
DEFAULT_MAX_BODY_BYTES = 262_144
IDENTIFIER_DIGITS = 16
WORKER_STATES = {"ready": "ready", "draining": "draining"}
# Fields of a step: name on the wire, field of StepSpec, type of the value.
STEP_FIELDS = {
    "count": ("count", int),
    "cpu": ("millicores", int),
    "memMb": ("memory_mb", int),
    "gpus": ("accelerators", int),
    "estimateMs": ("estimate_ms", int),
    "after": ("after", tuple),
    "checkpointing": ("checkpointing", bool),
    "gang": ("gang", bool),
    "sameRack": ("same_rack", bool),
    "requiredLabel": ("label", str),
    "affinity": ("rack", str),
    "maxPerServer": ("most_per_worker", int),
    "speculative": ("speculative", bool),
    "longRunning": ("long_running", bool),
    "image": ("image", str),
    "targetMs": ("latency_target_ms", int),
    "fills": ("best_effort", bool),
    # Number of tasks of a long-running step that may be interrupted by carawayd's own actions.
    "mayMiss": ("most_away", int),
}


def decode_configuration(value: bytes) -> Deployment:
    """Returns the configuration; raises ValueError if the document is malformed."""
    try:
        document = msgspec.json.decode(value)
        queues = tuple(_decode_queue(item) for item in document.get("routes") or ())
        services = {
            str(item["name"]): ServiceConfig(
                str(item["name"]),
                bool(item.get("rejectsOverload", False)),
                bool(item.get("standby", False)),
                str(item.get("healthPath") or ""),
            )
            for item in document.get("services") or ()
        }
        limits = document.get("limits") or {}
        return Deployment(
            int(document["version"]),
            queues,
            services,
            int(limits.get("maxBodyBytes") or DEFAULT_MAX_BODY_BYTES),
        )
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"malformed configuration: {error!r}") from error


def _decode_queue(item: dict[str, Any]) -> QueueConfig:
    advice = item.get("advice")
    return QueueConfig(
        name=str(item.get("name") or ""),
        host=str(item.get("host") or ""),
        prefix=str(item["pathPrefix"]),
        service=str(item["backend"]),
        priority=int(item.get("priority") or 0),
        max_failures=int(item.get("maxAttempts") or 1),
        stretch=float(item.get("stretch") or 1.0),
        # The objective of a workflow is ``stretch`` times its expected run time plus this.
        allowance_ms=int(item.get("targetDurationMs") or 0),
        timeout_ms=int(item.get("timeoutMs") or 0),
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
    """Returns a worker's entry, or None if it is malformed or its state is not a known one."""
    try:
        document = msgspec.json.decode(value)
        capacity = document["capacity"]
        state = WORKER_STATES[document["state"]]
        return WorkerEntry(
            worker=key,
            service=str(document["backend"]),
            address=_check_address(document["address"]),
            data_centre=str(document.get("zone") or ""),
            state=state,
            millicores=int(capacity["cpu"]),
            memory_mb=int(capacity["memMb"]),
            accelerators=int(capacity.get("gpus") or 0),
            labels=tuple(str(label) for label in document.get("labels") or ()),
            machine=str(document.get("machine") or ""),
            born=int(document.get("born") or 0),
        )
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError, ValueError):
        return None


def _check_address(value: Any) -> str:
    if not isinstance(value, str) or ":" not in value:
        raise ValueError(f"invalid address {value!r}: expected HOST:PORT")
    return value


def decode_submission(
    identifier: str, queue: QueueConfig, body: bytes
) -> tuple[Workflow | None, list[Finding]]:
    """Returns the submitted workflow, or None and the findings about its document."""
    findings: list[Finding] = []
    if not is_identifier(identifier):
        findings.append(Finding("", identifier, "an identifier of 16 hexadecimal digits"))
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        document = None
    if not isinstance(document, dict):
        return None, [*findings, Finding("", type(document).__name__, "a JSON object")]
    spec = document.get("spec", "")
    if not isinstance(spec, str) or len(spec.encode()) > MAX_SPEC_BYTES:
        findings.append(
            Finding("/spec", type(spec).__name__, f"text of up to {MAX_SPEC_BYTES} bytes")
        )
    steps = document.get("steps")
    if not isinstance(steps, list) or not steps:
        return None, [*findings, Finding("/steps", type(steps).__name__, "a list of steps")]
    decoded = [_decode_step(f"/steps/{place}", step, findings) for place, step in enumerate(steps)]
    numbers = {}
    for name in ("repeatCount", "startAtMs", "intervalMs"):
        numbers[name] = document.get(name) or 0
        if not isinstance(numbers[name], (int, float)) or numbers[name] < 0:
            findings.append(Finding(join_pointer("", name), numbers[name], "a number from 0"))
    if not findings:
        findings = check_steps(decoded)
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
    if not isinstance(step, dict):
        findings.append(Finding(pointer, type(step).__name__, "an object"))
        return StepSpec()
    fields: dict[str, Any] = {}
    for name, (field, kind) in STEP_FIELDS.items():
        value = step.get(name)
        if value is None:
            continue
        try:
            fields[field] = msgspec.convert(value, tuple[int, ...] if kind is tuple else kind)
        except msgspec.ValidationError:
            findings.append(Finding(join_pointer(pointer, name), value, kind.__name__))
    return StepSpec(**fields)


def is_identifier(text: str) -> bool:
    """Whether ``text`` may identify a workflow."""
    digits = "0123456789abcdefABCDEF"
    return len(text) == IDENTIFIER_DIGITS and all(char in digits for char in text)


def decode_wave(value: bytes) -> Wave:
    """Returns a wave: machines to maintain, a few at a time.

    Raises ValueError if the document is malformed.
    """
    try:
        document = msgspec.json.decode(value)
        return Wave(
            int(document["wave"]),
            tuple(str(machine) for machine in document["machines"]),
            float(document.get("withinS") or 0),
            # Maximum number of machines of the wave that may be down at once.
            max(1, int(document.get("cap") or 1)),
        )
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"malformed wave: {error!r}") from error


def encode_wave_state(completed: bool) -> bytes:
    """Returns the status record of a wave for the operator."""
    return msgspec.json.encode({"state": "completed" if completed else "running"})


def encode_state(state: str) -> dict[str, str]:
    """Returns the response body with the state of a workflow."""
    return {"state": state}


def encode_pending(count: int) -> dict[str, int]:
    """Returns the response body with the number of pending workflows of a queue."""
    return {"pending": count}
