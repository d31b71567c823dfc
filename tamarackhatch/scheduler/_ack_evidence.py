"""What shows which exits a runner has forgotten, and to whom to say so."""

from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch import model

# Renewals whose acknowledgement is left out because of their connection.
_MAX_IGNORED_ACKS = 3


@attrs.define
class AckEvidence:
    """What the reports of one incarnation show of its acknowledgements.

    Attributes:
        forgotten_exit: Number up to which its last report lists no exits,
            because it has got their acknowledgement.
    """

    forgotten_exit: int = 0
    _reported_at: datetime.timedelta = datetime.timedelta.min
    _ignored_acks: int = 0

    @property
    def known_since(self) -> datetime.timedelta:
        """Monotonic time before which a connection leads to its incarnation.

        A runner that closes each connection after an answer would never get
        an acknowledgement over an older one.
        """
        if self._ignored_acks >= _MAX_IGNORED_ACKS:
            return datetime.timedelta.max
        return self._reported_at

    def record_report(self, sent: datetime.timedelta) -> None:
        """Records that a renewal was answered.

        Args:
            sent: Monotonic time at which it was sent.
        """
        self._reported_at = sent

    def record_exits(
        self,
        exits: Sequence[model.RunExit],
        processed: int,
        acknowledged: int,
    ) -> None:
        """Records which exits a report still lists.

        Args:
            exits: All exits that it lists.
            processed: Number of the last exit that was processed, with these.
            acknowledged: Number up to which exits were acknowledged.
        """
        self.forgotten_exit = processed
        if exits:
            self.forgotten_exit = min(item.number for item in exits) - 1
        is_ignored = self.forgotten_exit < acknowledged
        self._ignored_acks = self._ignored_acks + 1 if is_ignored else 0
