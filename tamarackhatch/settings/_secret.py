"""Secret text that no log or representation shows."""

import hmac


class Secret:
    """Holds a secret; only ``reveal`` returns it."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def __repr__(self) -> str:
        return "Secret(<hidden>)"

    __str__ = __repr__

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Secret):
            return NotImplemented
        return self.matches(other.reveal())

    def __hash__(self) -> int:
        return hash((Secret, self._text))

    def __reduce__(self) -> str:
        raise TypeError("a Secret is not serialised")

    def reveal(self) -> str:
        """Returns the secret text."""
        return self._text

    def matches(self, text: str) -> bool:
        """Tells whether the text equals the secret, in constant time."""
        return hmac.compare_digest(self._text.encode(), text.encode())
