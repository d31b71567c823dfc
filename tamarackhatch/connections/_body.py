"""The part of a request's body that has arrived."""

# Smaller parts are joined, since each one has a cost of its own.
_PART_BYTES = 16_384


class Body:
    """Keeps a body in parts, which are joined once it is complete."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._last = bytearray()
        self._size = 0

    @property
    def size(self) -> int:
        """Number of bytes."""
        return self._size

    def append(self, data: bytes) -> None:
        """Adds bytes that have arrived."""
        self._size += len(data)
        if not self._last and len(data) >= _PART_BYTES:
            self._parts.append(data)
            return
        self._last += data
        if len(self._last) >= _PART_BYTES:
            self._parts.append(bytes(self._last))
            self._last.clear()

    def join(self) -> bytes:
        """Returns the whole body, and keeps only that."""
        body = b"".join([*self._parts, self._last])
        self._parts[:] = [body]
        self._last.clear()
        return body

    def clear(self) -> None:
        """Forgets the body."""
        self._parts.clear()
        self._last.clear()
        self._size = 0
