"""Measures how late the event loop is, whatever else sets timers."""

import datetime

from tamarackhatch.scheduler import _context

# Often enough to notice a queue of work before calls time out.
_INTERVAL = datetime.timedelta(milliseconds=25)


class LatenessProbe:
    """Passes the lateness of its timers on to what depends on it."""

    def __init__(self, context: _context.SchedulerContext) -> None:
        self._context = context

    async def run(self) -> None:
        """Measures until cancelled."""
        context = self._context
        while True:
            due = context.get_now() + _INTERVAL
            await context.clock.sleep(_INTERVAL)
            now = context.get_now()
            lateness = max(datetime.timedelta(), now - due)
            context.start_window.record_timer(lateness)
            context.renewal_pace.record_timer(lateness, now)
            context.load_monitor.counters.add_timer(lateness)
