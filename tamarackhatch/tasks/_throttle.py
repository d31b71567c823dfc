"""Which batch task to throttle or evict when a runner is too slow."""

from collections.abc import Sequence
import datetime
import enum

import attrs

from tamarackhatch import declarations
from tamarackhatch.tasks import _attempts

# Shortest time between actions: usage lags, so an earlier second action
# would answer measurements from before the first one.
LAG_INTERVAL = datetime.timedelta(seconds=5)
# Throttles are lifted only well below the bound. At the bound itself, every
# lift would be followed by a new throttle.
_LIFT_RATIO = 0.7
_CALM_READINGS = 3


class ActionKind(enum.Enum):
    """What to do with a task."""

    THROTTLE = "throttle"
    LIFT = "lift"
    EVICT = "evict"


@attrs.frozen
class Action:
    """One action on one task."""

    kind: ActionKind
    key: _attempts.AttemptKey
    reason: str


@attrs.frozen
class Suspect:
    """A running batch task beside the runner.

    Attributes:
        key: The attempt.
        ratio: Estimated latency ratio of its kind for the service.
        processors: Its measured use, in thousandths of a core.
        urgent: Whether its job is urgent.
    """

    key: _attempts.AttemptKey
    ratio: float
    processors: int
    urgent: bool


class ThrottleController:
    """Decides for one worker; at most one action per lag interval."""

    def __init__(self) -> None:
        self._throttled: dict[_attempts.AttemptKey, datetime.timedelta] = {}
        self._acted_at: datetime.timedelta | None = None
        self._calm = 0

    def adopt_task(
        self, key: _attempts.AttemptKey, now: datetime.timedelta
    ) -> None:
        """Counts a task of an earlier owner as throttled.

        That owner may have throttled it; so the throttle is lifted in time.
        """
        self._throttled[key] = now

    def is_throttled(self, key: _attempts.AttemptKey) -> bool:
        """Tells whether the task may be throttled."""
        return key in self._throttled

    def choose_action(
        self,
        p99: datetime.timedelta,
        bound: datetime.timedelta,
        suspects: Sequence[Suspect],
        now: datetime.timedelta,
        lag: datetime.timedelta,
        policy: declarations.BatchPolicy,
    ) -> Action | None:
        """Returns the next action, or None; changes nothing."""
        interval = max(LAG_INTERVAL, lag)
        if self._acted_at is not None and now - self._acted_at < interval:
            return None
        if p99 > bound:
            return self._choose_relief(p99, bound, suspects, now, policy)
        if p99 > bound * _LIFT_RATIO or self._calm < _CALM_READINGS:
            return None
        throttled = [item for item in suspects if self.is_throttled(item.key)]
        if not throttled:
            return None
        mildest = min(throttled, key=lambda item: (item.ratio, item.key.task))
        return Action(
            ActionKind.LIFT,
            mildest.key,
            f"p99 {_format(p99)} is well below {_format(bound)}",
        )

    def note_reading(
        self,
        p99: datetime.timedelta,
        bound: datetime.timedelta,
        suspects: Sequence[Suspect],
    ) -> None:
        """Takes a new reading."""
        is_calm = p99 <= bound * _LIFT_RATIO
        self._calm = self._calm + 1 if is_calm else 0
        present = {item.key for item in suspects}
        for key in [key for key in self._throttled if key not in present]:
            del self._throttled[key]

    def note_action(self, action: Action, now: datetime.timedelta) -> None:
        """Records an action that was sent to the worker."""
        self._acted_at = now
        self._calm = 0
        if action.kind is ActionKind.THROTTLE:
            self._throttled[action.key] = now
        else:
            self._throttled.pop(action.key, None)

    def _choose_relief(
        self,
        p99: datetime.timedelta,
        bound: datetime.timedelta,
        suspects: Sequence[Suspect],
        now: datetime.timedelta,
        policy: declarations.BatchPolicy,
    ) -> Action | None:
        reason = f"p99 {_format(p99)} exceeds {_format(bound)}"
        ranked = sorted(suspects, key=_rank)
        held = [
            item
            for item in ranked
            if item.key in self._throttled
            and now - self._throttled[item.key] >= policy.throttle_hold
        ]
        free = [item for item in ranked if item.key not in self._throttled]
        if held and (not free or _rank(held[0]) <= _rank(free[0])):
            return Action(ActionKind.EVICT, held[0].key, reason)
        if free:
            return Action(ActionKind.THROTTLE, free[0].key, reason)
        return None


def _rank(item: Suspect) -> tuple[bool, float, int, str]:
    return (item.urgent, -item.ratio, -item.processors, str(item.key))


def _format(latency: datetime.timedelta) -> str:
    return f"{latency.total_seconds() * 1000:.0f} ms"
