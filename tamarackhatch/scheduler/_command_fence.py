"""Fencing tokens that shut out a scheduler's own late commands."""

from collections.abc import Sequence
import datetime

import attrs

# A runner carries out a command without an answer at most 12 s after it was
# sent, by a clock that may be 2 % slow.
MAX_DELAY = datetime.timedelta(milliseconds=12_500)
# A renewal counts as unanswered up to this long after it was sent.
_MAX_ANSWER_TIME = datetime.timedelta(milliseconds=2_500)


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
    _obeyed_token: int = 0

    @property
    def token(self) -> int:
        """Token of the latest command."""
        return self._token

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
        return last is not None and now - last < MAX_DELAY + _MAX_ANSWER_TIME

    def record_report(self, token: int, is_new_incarnation: bool) -> None:
        """Records that the runner has answered a renewal.

        Args:
            token: Token of the renewal.
            is_new_incarnation: Whether the answer is the first one of its
                incarnation, which has seen no other token that is known.
        """
        if is_new_incarnation:
            self._obeyed_token = 0
        self._obeyed_token = max(self._obeyed_token, token)

    def shuts_out(self, token: int) -> bool:
        """Returns whether the incarnation that answered last refuses a token.

        Its next incarnation does not.
        """
        return token < self._obeyed_token

    def is_current(self, token: int) -> bool:
        """Returns whether no command with a higher token was sent.

        A runner that refuses such a token obeys another scheduler.
        """
        return token >= self._token
