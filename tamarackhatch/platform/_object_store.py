"""Interface of the platform's object store."""

import typing


class ObjectStore(typing.Protocol):
    """The object store; errors are those of the table service."""

    async def put_object(self, key: str, content: bytes) -> None:
        """Writes a whole object."""
        ...

    async def get_object(self, key: str) -> bytes | None:
        """Returns a whole object, or None if there is none."""
        ...

    async def delete_object(self, key: str) -> None:
        """Deletes an object; a missing one is no error."""
        ...
