"""Rendezvous hashing: every process chooses the same candidate for the same inputs."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def _compute_weight(key: str, candidate: str) -> bytes:
    return hashlib.blake2b(f"{candidate}\0{key}".encode(), digest_size=8).digest()


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns ``candidates`` in order of preference for ``key``.

    Removing a candidate reassigns only the keys for which it was the first choice.

    Examples
    --------
    >>> rank_candidates("k", ["a", "b"]) == rank_candidates("k", ["b", "a"])
    True
    """
    return sorted(candidates, key=lambda candidate: (_compute_weight(key, candidate), candidate))


def choose_candidate(key: str, candidates: Iterable[str]) -> str:
    """Returns the preferred candidate for ``key``.

    Raises
    ------
    ValueError
        If there is no candidate.
    """
    ranked = rank_candidates(key, candidates)
    if not ranked:
        raise ValueError(f"no candidate for key {key!r}")
    return ranked[0]
