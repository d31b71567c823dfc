"""Limits of the callers' interface."""

import datetime

import attrs


@attrs.frozen
class CallerLimits:
    """Limits that protect one entry instance.

    Attributes:
        max_header: Bytes of all header lines of a request.
        max_requests: Requests in progress, watches not counted.
        max_watches: Watches in progress.
        max_buffered: Bytes of all request bodies in memory.
        max_job_body: Bytes of the body of a job.
        body_timeout: Time within which a whole body must arrive.
    """

    max_header: int = 16 * 1024
    max_requests: int = 1024
    max_watches: int = 4096
    max_buffered: int = 256 * 1_048_576
    max_job_body: int = 64 * 1024
    body_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
