"""Queue of waiting requests in a short and a long class, and slot allocation to the classes."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter, deque
from collections.abc import Mapping
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from carawayshore.clock import Clock

# Compensates the rounding of a share times a number of slots before rounding up or down.
ROUNDING_TOLERANCE = 1e-9


class WorkClass(StrEnum):
    """Class of a request by its predicted or actual run time."""

    SHORT = "short"
    LONG = "long"


class ClassCount(NamedTuple):
    """Number of requests in each class.

    ``overrun`` of the ``long`` requests were predicted short and have exceeded their prediction.
    """

    short: int = 0
    long: int = 0
    overrun: int = 0

    @property
    def total(self) -> int:
        return self.short + self.long


class QueueSettings(NamedTuple):
    """Settings of the queue of one pool at one entry host.

    Parameters
    ----------
    short_limit : timedelta
        Longest predicted run time of a short request.
    short_share : float
        Share of the slots reserved for short requests, from 0 to 1.
    max_waiting : int
        Maximum number of waiting requests.
    team_shares : mapping of str to float
        Share of the slots that a team may use while requests of other teams wait; 1 for a team
        without entry.
    overrun_factor : float
        A running request counts as long once it exceeds its prediction by this factor.
    hold_factor : float
        Slots that long requests may not use, as a multiple of the recent peak of short demand.
    peak_half_life : timedelta
        Time in which the decaying peak of short demand halves.
    """

    short_limit: timedelta = timedelta(seconds=0.5)
    short_share: float = 0.5
    max_waiting: int = 256
    team_shares: Mapping[str, float] = {}
    overrun_factor: float = 2.0
    hold_factor: float = 1.25
    peak_half_life: timedelta = timedelta(seconds=120)


class WaitingRequest(NamedTuple):
    """A request that waits for a slot.

    Parameters
    ----------
    request, service, kind, team : str
    predicted, expected : timedelta
        Median and mean of the predicted run time; the median determines the class.
    deadline, since : timedelta
        Deadline and time of arrival, as values of ``Clock.elapsed``.
    """

    request: str
    service: str
    kind: str
    team: str
    predicted: timedelta
    expected: timedelta
    deadline: timedelta
    since: timedelta


class QueueFullError(RuntimeError):
    """Raised when a request is pushed to a full queue."""


def divide_slots(slots: int, settings: QueueSettings) -> ClassCount:
    """Returns how many of the slots are reserved for each class.

    Each class has at least one of two or more slots, unless its share is 0.
    """
    short = math.ceil(slots * settings.short_share - ROUNDING_TOLERANCE)
    if slots >= 2 and 0 < settings.short_share < 1:
        short = min(max(short, 1), slots - 1)
    return ClassCount(short, slots - short)


class _ClassWaitingList:
    """Waiting requests of one class, first in first out within each team."""

    def __init__(self) -> None:
        self.count = 0
        self.work = timedelta()
        self.teams: dict[str, deque[tuple[int, WaitingRequest]]] = {}

    def add(self, number: int, item: WaitingRequest) -> None:
        self.teams.setdefault(item.team, deque()).append((number, item))
        self.count += 1
        self.work += item.expected

    def subtract(self, item: WaitingRequest) -> None:
        self.count -= 1
        self.work -= item.expected


class ClassQueue:
    """Requests that wait for a slot of one pool.

    Each class has a share of the slots and may use idle slots of the other class. Long requests
    leave as many slots free as short requests needed recently, since a running long request cannot
    be interrupted and short requests would wait for its end.

    Parameters
    ----------
    settings : QueueSettings
    clock : Clock

    Examples
    --------
    >>> from datetime import timedelta
    >>> from carawayshore.testing import ManualClock
    >>> queue = ClassQueue(QueueSettings(), ManualClock())
    >>> def build(name, seconds):
    ...     run = timedelta(seconds=seconds)
    ...     return WaitingRequest(name, "s", "k", "t", run, run, timedelta(seconds=9), timedelta())
    >>> queue.push(build("report", 60))
    >>> queue.push(build("click", 0.1))
    >>> queue.pop(4, ClassCount()).request
    'click'
    """

    def __init__(self, settings: QueueSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._waiting_lists = {work_class: _ClassWaitingList() for work_class in WorkClass}
        self._items: dict[str, tuple[int, WaitingRequest]] = {}
        self._deadlines: list[tuple[timedelta, int, WaitingRequest]] = []
        self._numbers = itertools.count()
        self._teams: Counter[str] = Counter()
        self._short_demand_peak = 0.0
        self._peak_updated_at = clock.elapsed()
        self._served_work = {work_class: timedelta() for work_class in WorkClass}
        # Number of slots and their division in the last call.
        self._cached_division = (0, ClassCount())

    def __len__(self) -> int:
        return len(self._items)

    @property
    def is_full(self) -> bool:
        return len(self._items) >= self._settings.max_waiting

    def classify(self, predicted: timedelta) -> WorkClass:
        """Returns the class of a request with this predicted run time."""
        return WorkClass.SHORT if predicted <= self._settings.short_limit else WorkClass.LONG

    def count_waiting(self) -> ClassCount:
        return ClassCount(
            self._waiting_lists[WorkClass.SHORT].count, self._waiting_lists[WorkClass.LONG].count
        )

    def count_waiting_of_team(self, team: str) -> int:
        return self._teams[team]

    def sum_work(self, work_class: WorkClass) -> timedelta:
        """Returns the sum of the predicted mean run times of the waiting requests of a class."""
        return self._waiting_lists[work_class].work

    def push(self, item: WaitingRequest) -> None:
        """Adds a request.

        Raises
        ------
        QueueFullError
            If ``max_waiting`` requests are already waiting.
        ValueError
            If a request with the same identifier is already waiting.
        """
        if self.is_full:
            raise QueueFullError(f"queue full: {len(self)} requests are already waiting")
        if item.request in self._items:
            raise ValueError(f"request {item.request!r} is already waiting")
        number = next(self._numbers)
        self._items[item.request] = (number, item)
        self._waiting_lists[self.classify(item.predicted)].add(number, item)
        self._teams[item.team] += 1
        heapq.heappush(self._deadlines, (item.deadline, number, item))

    def remove(self, item: WaitingRequest) -> bool:
        """Removes a request, for example after its caller disconnected.

        Returns False if the request is no longer in the queue.
        """
        if item.request not in self._items:
            return False
        del self._items[item.request]
        self._waiting_lists[self.classify(item.predicted)].subtract(item)
        self._teams[item.team] -= 1
        if not self._teams[item.team]:
            del self._teams[item.team]
        return True

    def expire(self) -> list[WaitingRequest]:
        """Removes and returns the requests whose deadline has passed."""
        expired = []
        now = self._clock.elapsed()
        while self._deadlines and (
            self._deadlines[0][0] <= now or not self._is_waiting(*self._deadlines[0][1:])
        ):
            _, number, item = heapq.heappop(self._deadlines)
            if self._is_waiting(number, item):
                self.remove(item)
                expired.append(item)
        return expired

    def _is_waiting(self, number: int, item: WaitingRequest) -> bool:
        found = self._items.get(item.request)
        return found is not None and found[0] == number

    def _update_peak(self, demand: int) -> None:
        now = self._clock.elapsed()
        if now > self._peak_updated_at:
            self._short_demand_peak *= 0.5 ** (
                (now - self._peak_updated_at) / self._settings.peak_half_life
            )
            self._peak_updated_at = now
        self._short_demand_peak = max(self._short_demand_peak, demand)

    def _count_slots_kept_from_long(self, reserved: int) -> int:
        """Returns the number of slots that long requests may not use."""
        if not reserved:
            return 0
        return min(reserved, math.ceil(self._short_demand_peak * self._settings.hold_factor) + 1)

    def count_usable_slots(self, work_class: WorkClass, slots: int, in_use: ClassCount) -> int:
        """Returns how many slots of the pool a class may use at present."""
        if self._cached_division[0] != slots:
            self._cached_division = (slots, divide_slots(slots, self._settings))
        reserved = self._cached_division[1]
        if work_class is WorkClass.SHORT:
            kept = 0
            if self._waiting_lists[WorkClass.LONG].count:
                kept = max(reserved.long - in_use.long, 0)
            return slots - in_use.long - kept
        if slots == 1:
            return 1
        unusable = max(
            self._count_slots_kept_from_long(reserved.short), min(in_use.short, reserved.short)
        )
        return slots - unusable

    def pop(
        self,
        free_slots: int,
        in_use_by_class: ClassCount,
        in_use_by_team: Mapping[str, int] | None = None,
    ) -> WaitingRequest | None:
        """Removes and returns the request that should start next.

        Parameters
        ----------
        free_slots : int
            Free slots of the pool that this process may use.
        in_use_by_class : ClassCount
            Slots in use, where a request that exceeded its prediction counts as long.
        in_use_by_team : mapping of str to int, optional
            Slots in use by each team; required if a team has a share below 1.

        Returns
        -------
        WaitingRequest or None
            None if no request may start now.
        """
        short_waiting_list = self._waiting_lists[WorkClass.SHORT]
        # Overrun requests count as short demand, since the next burst contains such requests, too.
        short_in_use = in_use_by_class.short + in_use_by_class.overrun
        self._update_peak(short_in_use + short_waiting_list.count)
        if free_slots < 1 or not self._items:
            return None
        slots = free_slots + in_use_by_class.total
        for work_class in self._order_classes(slots):
            waiting_list = self._waiting_lists[work_class]
            if not waiting_list.count:
                continue
            in_use = in_use_by_class[work_class is WorkClass.LONG]
            if in_use >= self.count_usable_slots(work_class, slots, in_use_by_class):
                continue
            item = self._take_first(waiting_list, slots, in_use_by_team or {})
            if item is not None:
                self._served_work[work_class] += item.expected
                return item
        return None

    def _order_classes(self, slots: int) -> tuple[WorkClass, ...]:
        if slots > 1:
            return WorkClass.SHORT, WorkClass.LONG
        # A single slot cannot be divided, so its running time is divided between the classes.
        share = self._settings.short_share
        short, long = self._served_work[WorkClass.SHORT], self._served_work[WorkClass.LONG]
        if short * (1 - share) <= long * share:
            return WorkClass.SHORT, WorkClass.LONG
        return WorkClass.LONG, WorkClass.SHORT

    def _may_team_use_more_slots(
        self, team: str, slots: int, in_use_by_team: Mapping[str, int]
    ) -> bool:
        share = self._settings.team_shares.get(team, 1.0)
        if share >= 1 or len(self._teams) == 1:
            return True
        return in_use_by_team.get(team, 0) < max(1, math.floor(share * slots + ROUNDING_TOLERANCE))

    def _take_first(
        self, waiting_list: _ClassWaitingList, slots: int, in_use_by_team: Mapping[str, int]
    ) -> WaitingRequest | None:
        now = self._clock.elapsed()
        first: tuple[int, WaitingRequest] | None = None
        for team, waiting in list(waiting_list.teams.items()):
            while waiting and not self._is_waiting(*waiting[0]):
                waiting.popleft()
            if not waiting:
                del waiting_list.teams[team]
                continue
            if not self._may_team_use_more_slots(team, slots, in_use_by_team):
                continue
            # Requests past their deadline are left for expire().
            head = next((e for e in waiting if self._is_waiting(*e) and e[1].deadline > now), None)
            if head is not None and (first is None or head[0] < first[0]):
                first = head
        if first is None:
            return None
        self.remove(first[1])
        return first[1]


class RunningWork:
    """Requests in progress by class and team.

    A request counts in the class of its predicted run time until it has run for ``overrun_factor``
    times its prediction, and in the long class from then on. Slots held by short stragglers thus
    count against the share of long requests, not against the slots reserved for short requests.

    Examples
    --------
    >>> from datetime import timedelta
    >>> from carawayshore.testing import ManualClock
    >>> clock = ManualClock()
    >>> running = RunningWork(QueueSettings(), clock)
    >>> run = timedelta(seconds=0.1)
    >>> running.start(WaitingRequest("r", "s", "k", "t", run, run, run, run))
    >>> clock.advance(timedelta(seconds=1))
    >>> running.count()
    ClassCount(short=0, long=1, overrun=1)
    """

    def __init__(self, settings: QueueSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._running: dict[str, tuple[WaitingRequest, int]] = {}
        self._short_requests: set[str] = set()
        self._overrun_times: list[tuple[timedelta, int, str]] = []
        self._overrun_requests: set[str] = set()
        self._numbers = itertools.count()
        self.by_team: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._running)

    def start(self, item: WaitingRequest) -> None:
        """Counts a request that has just been given a slot."""
        number = next(self._numbers)
        self._running[item.request] = (item, number)
        self.by_team[item.team] += 1
        if item.predicted <= self._settings.short_limit:
            self._short_requests.add(item.request)
            limit = item.predicted * self._settings.overrun_factor
            heapq.heappush(
                self._overrun_times, (self._clock.elapsed() + limit, number, item.request)
            )

    def finish(self, request: str) -> None:
        """Counts the end of a request; an unknown one is ignored."""
        found = self._running.pop(request, None)
        if found is None:
            return
        self._short_requests.discard(request)
        self._overrun_requests.discard(request)
        team = found[0].team
        self.by_team[team] -= 1
        if not self.by_team[team]:
            del self.by_team[team]

    def count(self) -> ClassCount:
        """Returns the number of slots in use by each class now."""
        now = self._clock.elapsed()
        while self._overrun_times and self._overrun_times[0][0] <= now:
            _, number, request = heapq.heappop(self._overrun_times)
            if request in self._running and self._running[request][1] == number:
                self._short_requests.discard(request)
                self._overrun_requests.add(request)
        long = len(self._running) - len(self._short_requests)
        return ClassCount(len(self._short_requests), long, len(self._overrun_requests))
