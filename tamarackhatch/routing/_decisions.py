"""Record of routing decisions, for the log and for ``explain``."""

import collections
import datetime

from absl import logging
import attrs


@attrs.frozen
class Decision:
    """One step in the routing of a request.

    Attributes:
        at: UTC time.
        request_id: The request.
        service: Its service.
        worker: Worker that it went to, or None.
        instance: Owner of that worker, or None.
        reason: Why, in words.
        configuration: Configuration version in force.
    """

    at: datetime.datetime
    request_id: str
    service: str
    worker: str | None
    instance: str | None
    reason: str
    configuration: int


class DecisionStore:
    """Logs decisions and keeps the last ones, bounded by request count."""

    def __init__(self, max_requests: int = 4096) -> None:
        self._max_requests = max_requests
        self._decisions: collections.OrderedDict[str, tuple[Decision, ...]] = (
            collections.OrderedDict()
        )

    def add_decision(self, decision: Decision) -> None:
        """Logs a decision and keeps it."""
        logging.info(
            "routing: request=%s service=%s worker=%s instance=%s reason=%r "
            "configuration=%d",
            decision.request_id,
            decision.service,
            decision.worker or "-",
            decision.instance or "-",
            decision.reason,
            decision.configuration,
        )
        known = self._decisions.pop(decision.request_id, ())
        # A caller that sends the same ID again and again must not make its
        # entry grow without bound.
        self._decisions[decision.request_id] = (*known, decision)[-16:]
        while len(self._decisions) > self._max_requests:
            self._decisions.popitem(last=False)

    def list_decisions(self, request_id: str) -> tuple[Decision, ...]:
        """Returns the decisions kept for a request, oldest first."""
        return self._decisions.get(request_id, ())
