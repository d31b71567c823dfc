"""Counts calls, their bytes and their delays, by purpose."""

import datetime

import attrs


@attrs.define
class PurposeTraffic:
    """Calls of one purpose.

    Attributes:
        calls: Number of calls that have ended.
        request_bytes: Bytes of their bodies.
        answer_bytes: Bytes of the bodies of their answers.
        unsent: Calls that ended before a byte of them was sent.
        unanswered: Other calls without a complete answer.
        longest_unsent: Longest time from a call to its sending.
    """

    calls: int = 0
    request_bytes: int = 0
    answer_bytes: int = 0
    unsent: int = 0
    unanswered: int = 0
    longest_unsent: datetime.timedelta = datetime.timedelta()


class Traffic:
    """Calls of one client since they were last taken.

    Attributes:
        by_purpose: Calls that have ended, by purpose.
        opened_connections: Number of connections that were begun.
    """

    def __init__(self) -> None:
        self.by_purpose: dict[str, PurposeTraffic] = {}
        self.opened_connections = 0

    def get(self, purpose: str) -> PurposeTraffic:
        """Returns the counters of a purpose, to be changed in place."""
        counters = self.by_purpose.get(purpose)
        if counters is None:
            counters = self.by_purpose[purpose] = PurposeTraffic()
        return counters

    def take(self) -> "Traffic":
        """Returns the counters, and begins anew."""
        taken = Traffic()
        taken.by_purpose, self.by_purpose = self.by_purpose, {}
        taken.opened_connections = self.opened_connections
        self.opened_connections = 0
        return taken
