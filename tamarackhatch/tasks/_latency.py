"""What the owner of a worker knows of the runner on it."""

import datetime
import typing


class LatencySource(typing.Protocol):
    """Latency of the runners that this instance sends requests to."""

    def get_p99(self, worker: str) -> datetime.timedelta | None:
        """Returns the recent 99th percentile, or None without requests."""
        ...

    def get_service(self, worker: str) -> str | None:
        """Returns the service of the runner on the worker, or None."""
        ...
