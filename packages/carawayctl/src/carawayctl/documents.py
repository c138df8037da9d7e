"""Reads and validates documents from files."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from carawayctl.errors import BadDocument
from carawayshore.configuration import check_configuration
from carawayshore.findings import Finding

if TYPE_CHECKING:
    from pathlib import Path


def read_json(path: Path) -> Any:
    """Returns the content of a JSON file.

    Raises
    ------
    BadDocument
        If the file cannot be read or is not JSON.
    """
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        finding = Finding("", error.strerror, "a readable file")
    except ValueError as error:
        finding = Finding("", str(error), "a JSON document")
    raise BadDocument(str(path), [finding], next_step="check the file")


def read_configuration(path: Path) -> dict[str, Any]:
    """Returns a configuration document that passes the daemon's validation.

    Raises
    ------
    BadDocument
        With all findings, if there are any.
    """
    document = read_json(path)
    findings = check_configuration(document)
    if findings:
        raise BadDocument(str(path), findings, next_step="correct all of them, then `config check`")
    return document
