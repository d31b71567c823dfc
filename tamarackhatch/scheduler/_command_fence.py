"""Fencing tokens that shut out a scheduler's own late commands."""

from collections.abc import Sequence

import attrs


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

    def record_unanswered_command(self) -> None:
        """Records that a command may be carried out late."""
        self._is_outdated = True

    def is_current(self, token: int) -> bool:
        """Returns whether no command with a higher token was sent.

        A runner that refuses such a token obeys another scheduler.
        """
        return token >= self._token
