"""Decodes the operator's evacuations from the platform's store."""

import typing

_PREFIX = "evacuate/"
# The keys of all evacuations lie in this range of the operator's table, whose
# end is exclusive: "0" is the character after "/".
FIRST_EVACUATION_KEY: typing.Final = _PREFIX
EVACUATION_KEYS_END: typing.Final = "evacuate0"


def get_evacuated_data_centre(key: str) -> str | None:
    """Returns the data centre that a row of the operator's table evacuates.

    The value of such a row says nothing, so it is not read.

    Args:
        key: Key of the row.

    Returns:
        Name of the data centre; None if the row is not an evacuation.
    """
    if not key.startswith(_PREFIX):
        return None
    return key.removeprefix(_PREFIX) or None
