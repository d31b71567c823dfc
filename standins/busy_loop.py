"""A virtual event loop in which the work of an instance takes time."""

import collections
import contextvars

from standins import pausable_loop


class BusyLoop(pausable_loop.PausableLoop):
    """Virtual loop that runs an instance's callbacks one after the other.

    Each callback of a busy instance takes processor time. Others that become
    due meanwhile wait, in their order; other instances, runners and the store
    go on.
    """

    def __init__(self) -> None:
        super().__init__()
        self._costs: dict[str, float] = {}
        self._waiting: dict[
            str, collections.deque[pausable_loop.HeldCallback]
        ] = {}
        self._charged = 0.0

    def set_cost(self, owner: str, callback_s: float) -> None:
        """Sets the processor time of each callback of an instance.

        Args:
            owner: Name of the instance.
            callback_s: Seconds of each callback; 0 for none.
        """
        self._costs[owner] = callback_s

    def charge(self, seconds: float) -> None:
        """Lengthens the callback that is running, if its instance is busy."""
        self._charged += seconds

    def count_waiting(self, owner: str) -> int:
        """Returns how many callbacks of an instance are due and wait."""
        return len(self._waiting.get(owner, ()))

    def hold(self, owner: str, callback: pausable_loop.HeldCallback) -> bool:
        if super().hold(owner, callback):
            return True
        waiting = self._waiting.get(owner)
        if waiting is not None:
            waiting.append(callback)
            return True
        if self._costs.get(owner):
            self._begin(owner)
        return False

    def record_end(self, owner: str) -> None:
        if owner in self._waiting:
            self.call_later(
                self._charged,
                self._run_next,
                owner,
                context=contextvars.Context(),
            )

    def _begin(self, owner: str) -> None:
        self._waiting.setdefault(owner, collections.deque())
        self._charged = self._costs[owner]

    def _run_next(self, owner: str) -> None:
        """Runs the first callback that waits, if there is one."""
        waiting = self._waiting[owner]
        while waiting:
            callback = waiting.popleft()
            assert callback.handle is not None
            if not callback.handle.cancelled():
                self._begin(owner)
                callback.context.run(callback.execute)
                return
        del self._waiting[owner]
