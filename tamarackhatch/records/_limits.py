"""Limits of the store for the rows of this project."""

# Longest value, in bytes before its encoding as base64 text, which the store
# counts: 65,536 bytes.
MAX_VALUE_BYTES = 48_000

# Longest checkpoint that is stored, in characters. A task with a longer one
# begins anew if neither its scheduler nor its runner is there to tell it.
MAX_CHECKPOINT_LENGTH = 256


def compute_stored_size(value: bytes) -> int:
    """Returns the bytes that a value takes in a transaction, as base64."""
    return -(-len(value) // 3) * 4
