"""Registry of benchmark cases and the JSON lines that they print."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import NamedTuple

Case = Callable[[int], Iterator["Line"]]
_cases: dict[str, Case] = {}


class Line(NamedTuple):
    """Result of a case; ``detail`` holds further members of the JSON line."""

    case: str
    seed: int
    baseline: float
    change: float
    ratio: float
    goal: str
    met: bool
    detail: dict

    def format(self) -> str:
        fields = {
            name: round(value, 6) if isinstance(value, float) else value
            for name, value in self._asdict().items()
            if name != "detail"
        }
        return json.dumps(fields | self.detail)


def case(name: str):
    """Registers a case: a function that takes a seed and yields the lines to print."""

    def register(function: Case) -> Case:
        _cases[name] = function
        return function

    return register


def list_cases() -> dict[str, Case]:
    return dict(_cases)
