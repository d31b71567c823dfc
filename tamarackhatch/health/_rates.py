"""Usual failure rates of queues, and what one exit says beyond them."""

import datetime
import math

import attrs

# A task fails by itself with a probability of 0.5 to 3 %. This rate counts
# like so many exits, until a queue has shown its own.
_PRIOR_RATE = 0.03
_PRIOR_EXITS = 30.0
# Older exits lose weight, because the work of a queue changes.
_MAX_EXITS = 300.0
_MIN_RATE, _MAX_RATE = 0.01, 0.95
# Runners that fail part of what they start fail 40 % of it or more.
_FAILING_RATE = 0.4

# Long-running tasks fail at any time by themselves, but seldom at once.
_LONG_RUNNING_SHARE = 0.1
_EARLY_LONG_RUNNING_SHARE = 0.5
_EARLY_FAILURE = datetime.timedelta(seconds=2)


@attrs.frozen
class Weights:
    """Evidence of one exit that its runner is failing.

    Attributes:
        failure: Log-likelihood ratio of a failed run.
        success: The same of a successful run, with the opposite sign.
    """

    failure: float
    success: float


def compute_weights(usual_rate: float) -> Weights:
    """Returns the evidence of exits.

    Args:
        usual_rate: Share of the runs that fail on sound runners, 0 to 1.
    """
    rate = min(_MAX_RATE, max(_MIN_RATE, usual_rate))
    failing_rate = max(_FAILING_RATE, (1 + rate) / 2 if rate > 0.2 else 0.0)
    return Weights(
        math.log(failing_rate / rate),
        math.log((1 - rate) / (1 - failing_rate)),
    )


def get_long_running_share(run_time: datetime.timedelta) -> float:
    """Returns the share at which a long-running task's failure counts.

    Args:
        run_time: How long it ran.
    """
    if run_time < _EARLY_FAILURE:
        return _EARLY_LONG_RUNNING_SHARE
    return _LONG_RUNNING_SHARE


@attrs.define
class _Count:
    exits: float = 0.0
    failures: float = 0.0


class QueueRates:
    """Failure rates of queues."""

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}

    def record_exit(self, queue: str, is_failure: bool) -> None:
        """Records how a run of a queue ended."""
        count = self._counts.setdefault(queue, _Count())
        if count.exits >= _MAX_EXITS:
            count.exits /= 2
            count.failures /= 2
        count.exits += 1
        count.failures += is_failure

    def estimate_rate(self, queue: str) -> float:
        """Returns the share of a queue's runs that fail, 0 to 1."""
        count = self._counts.get(queue, _Count())
        return (count.failures + _PRIOR_RATE * _PRIOR_EXITS) / (
            count.exits + _PRIOR_EXITS
        )
