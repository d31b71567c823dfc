"""Fencing tokens that shut out a scheduler's own late commands."""

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
    terms.
    """

    _token: int = 0
    _is_outdated: bool = True

    @property
    def is_outdated(self) -> bool:
        """Whether a command with the latest token may be carried out late."""
        return self._is_outdated

    def advance(self, confirmed: int) -> int:
        """Returns the token of a command that is sent now.

        Args:
            confirmed: Version in which the store last confirmed the term.
        """
        if self._is_outdated and confirmed > self._token:
            self._token = confirmed
            self._is_outdated = False
        return self._token

    def record_unanswered_command(self) -> None:
        """Records that a command may be carried out late."""
        self._is_outdated = True

    def is_current(self, token: int) -> bool:
        """Returns whether no command with a higher token was sent.

        A runner that refuses such a token obeys another scheduler.
        """
        return token >= self._token
