"""Rules that hold on one worker, checked from its events alone.

The audit shares no state with the code that accepts orders, so that a fault
there does not hide itself.
"""

from standins import records


class WorkerAudit:
    """Follows the events of one worker and collects violations."""

    def __init__(self, worker: str, capacity: records.Amounts) -> None:
        self._worker = worker
        self._capacity = capacity
        self._running: dict[tuple[str, int], records.Amounts] = {}
        self._started: set[tuple[str, int]] = set()
        self._highest_epoch = 0
        self._violations: list[str] = []

    @property
    def violations(self) -> tuple[str, ...]:
        """Texts of all violations so far."""
        return tuple(self._violations)

    def note(self, event: records.WorkerEvent) -> None:
        """Takes the next event."""
        place = (event.task, event.attempt)
        if event.kind is records.EventKind.START:
            self._check_start(event)
            self._started.add(place)
            self._running[place] = event.amounts
            self._check_commitment()
        elif event.kind in records.END_KINDS:
            if self._running.pop(place, None) is None:
                self._report(event, "ended without running")
        self._highest_epoch = max(self._highest_epoch, event.epoch)

    def _check_start(self, event: records.WorkerEvent) -> None:
        if any(task == event.task for task, _ in self._running):
            self._report(event, "double run on one worker")
        if (event.task, event.attempt) in self._started:
            self._report(event, "second start of an attempt")
        if event.epoch < self._highest_epoch:
            self._report(
                event,
                f"start with epoch {event.epoch} after {self._highest_epoch}",
            )

    def _check_commitment(self) -> None:
        total = records.Amounts()
        for amounts in self._running.values():
            total = total.add(amounts)
        if not total.fits_in(self._capacity):
            self._violations.append(
                f"{self._worker}: over-commitment: {total} of {self._capacity}"
            )

    def _report(self, event: records.WorkerEvent, text: str) -> None:
        self._violations.append(
            f"{self._worker}: {event.task} attempt {event.attempt}: {text}"
        )
