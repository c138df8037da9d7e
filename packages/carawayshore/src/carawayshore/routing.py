"""Selection of the target of a request, by load and expected run time."""

from __future__ import annotations

import math
from collections.abc import Sequence
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

    from carawayshore.clock import Clock

CHOICES = 4  # With two, 1 in 16 pairs has only slow targets if a quarter of all is slow.


class Candidate(NamedTuple):
    """A target that a request could be sent to.

    Parameters
    ----------
    target : str
    free_slots : int
        Free slots that this process may use now.
    slots : int
        Number of slots of the target.
    own_load, peer_load : float
        Requests in progress at the target: those of this process, and those of peers as last
        reported.
    expected_run : timedelta
        Predicted run time of the request at this target.
    tried : bool
        Whether the request has been sent to this target before.
    """

    target: str
    free_slots: int
    slots: int
    own_load: float
    peer_load: float
    expected_run: timedelta
    tried: bool = False


def estimate_completion(candidate: Candidate) -> float:
    """Returns the expected time to completion in seconds, which grows with the load."""
    load = (candidate.own_load + candidate.peer_load + 1) / max(candidate.slots, 1)
    return candidate.expected_run.total_seconds() * (1 + load)


def choose_target(
    candidates: Sequence[Candidate], random: Random, *, choices: int = CHOICES
) -> Candidate | None:
    """Returns the best of a random sample of candidates, or None if none has a free slot.

    Targets that were tried before are used only if no other has a free slot. Random sampling
    prevents processes that see the same reported loads from all choosing the same target.

    Examples
    --------
    >>> import random
    >>> from datetime import timedelta
    >>> run = timedelta(seconds=1)
    >>> idle, busy = Candidate("a", 1, 8, 0, 0, run), Candidate("b", 1, 8, 7, 0, run)
    >>> choose_target([idle, busy], random.Random(1)).target
    'a'
    """
    usable = [c for c in candidates if c.free_slots > 0 and not c.tried]
    if not usable:
        usable = [c for c in candidates if c.free_slots > 0]
    if len(usable) > choices:
        usable = random.sample(usable, choices)
    elif len(usable) > 1:
        random.shuffle(usable)  # Equal candidates are chosen equally often.
    return min(usable, key=estimate_completion, default=None)


class TargetSlowdowns:
    """Learns the factor by which the run times at each target exceed their prediction.

    A factor is the geometric moving average of the ratio of run time to prediction. It decays
    towards 1 while no requests are sent to the target, so that a target that has recovered is tried
    again.

    Examples
    --------
    >>> from datetime import timedelta
    >>> from carawayshore.testing import ManualClock
    >>> slowdowns = TargetSlowdowns(ManualClock())
    >>> for _ in range(100):
    ...     slowdowns.observe("a", timedelta(seconds=4), timedelta(seconds=1))
    >>> round(slowdowns.find_factor("a"))
    4
    """

    def __init__(
        self,
        clock: Clock,
        *,
        half_life: timedelta = timedelta(seconds=30),
        weight: float = 0.1,
    ) -> None:
        self._clock = clock
        self._half_life = half_life
        self._weight = weight
        self._factors: dict[str, tuple[float, timedelta]] = {}

    def keep(self, targets: Sequence[str]) -> None:
        """Drops the factors of all targets except ``targets``."""
        self._factors = {name: self._factors[name] for name in targets if name in self._factors}

    def _find_logarithm(self, target: str) -> float:
        logarithm, at = self._factors.get(target, (0.0, timedelta()))
        if not logarithm:
            return 0.0
        return logarithm * 0.5 ** ((self._clock.elapsed() - at) / self._half_life)

    def observe(self, target: str, duration: timedelta, predicted: timedelta) -> None:
        """Records a run time at ``target`` and its prediction, the same for all targets."""
        if duration <= timedelta() or predicted <= timedelta():
            return
        logarithm = self._find_logarithm(target)
        logarithm += self._weight * (math.log(duration / predicted) - logarithm)
        self._factors[target] = (logarithm, self._clock.elapsed())

    def find_factor(self, target: str) -> float:
        return math.exp(self._find_logarithm(target))
