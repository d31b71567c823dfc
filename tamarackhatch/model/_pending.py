"""Numbers of jobs that wait, with the moment for which they hold."""

import attrs

from tamarackhatch.model import _rows


@attrs.frozen
class PendingCount:
    """Numbers of accepted jobs of which no task has started.

    Attributes:
        by_queue: The number of each queue; queues without such jobs may be
            absent.
        moment: All jobs that were stored before this moment are counted; None
            if that is not known, as with numbers of earlier builds.
    """

    by_queue: dict[str, int]
    moment: _rows.StoreMoment | None = None
