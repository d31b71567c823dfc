"""Fencing tokens that shut out a scheduler's own late commands."""

from collections.abc import Sequence
import datetime

import attrs

# A command that got no answer is carried out within seconds, if at all.
_MAX_DELAY = datetime.timedelta(seconds=15)


@attrs.define
class CommandFence:
    """Chooses the fencing tokens of the commands to one runner.

    A command without an answer may be carried out much later, even by the
    next incarnation of the runner, which knows nothing of earlier commands.
    After it, commands carry a higher token: once the runner has received one
    of these, it refuses the earlier command.

    Tokens are versions of the store in which it has confirmed the term. These
    are above the token with which the term began, and below those of later
    terms. Each raise takes the lowest of them, so that some remain while the
    store confirms nothing.
    """

    _token: int = 0
    _is_outdated: bool = True
    _last_unanswered: datetime.timedelta | None = None

    def advance(self, confirmed: Sequence[int]) -> int:
        """Returns the token of a command that is sent now.

        Args:
            confirmed: Versions in which the store confirmed the term,
                ascending.
        """
        if self._is_outdated:
            higher = (it for it in confirmed if it > self._token)
            token = next(higher, self._token)
            self._is_outdated = token == self._token
            self._token = token
        return self._token

    def require_higher_token(self) -> None:
        """Has all later commands shut out those that were sent before."""
        self._is_outdated = True

    def record_unanswered_command(self, now: datetime.timedelta) -> None:
        """Records that a command may be carried out late.

        Args:
            now: Monotonic time.
        """
        self._last_unanswered = now
        self.require_higher_token()

    def may_meet_late_command(self, now: datetime.timedelta) -> bool:
        """Returns whether a late command may still reach the runner.

        Args:
            now: Monotonic time.
        """
        last = self._last_unanswered
        return last is not None and now - last < _MAX_DELAY

    def is_current(self, token: int) -> bool:
        """Returns whether no command with a higher token was sent.

        A runner that refuses such a token obeys another scheduler.
        """
        return token >= self._token
