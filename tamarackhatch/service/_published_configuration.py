"""Reads the configuration that a scheduler has published."""

import datetime

import attrs

from tamarackhatch import model
from tamarackhatch import records

_READ_TIMEOUT = datetime.timedelta(milliseconds=800)


@attrs.frozen
class PublishedConfiguration:
    """A configuration, and up to when it was the newest one.

    Attributes:
        configuration: The configuration.
        position: Version of the store up to which it had not changed.
    """

    configuration: model.Configuration
    position: int


async def read_published_configuration(
    store: model.TableStore,
) -> PublishedConfiguration | None:
    """Reads the compressed copy of a large configuration.

    The scheduler that published it may have ended, so that the operator's
    table must be followed from its position before the copy is used.

    Returns:
        The configuration; None if no complete one is published.

    Raises:
        StoreUnavailableError: The store could not be read.
        MalformedRowError: A row is malformed.
    """
    ref = records.LEADER_HEARTBEAT
    latest = await store.read(ref.table, ref.partition, _READ_TIMEOUT)
    row = records.find_row(latest.rows, ref)
    if row is None:
        return None
    publication = records.decode_leader_heartbeat(row.value).publication
    if publication is None:
        return None
    copy = await store.read(
        records.CONFIGURATION_TABLE,
        records.SCHEDULER_PARTITION,
        _READ_TIMEOUT,
    )
    configuration = _apply_changes(
        model.EMPTY_CONFIGURATION, _decode_changes(copy.rows)
    )
    configuration = _apply_changes(configuration, _decode_changes(latest.rows))
    if configuration.version != publication.version:
        return None
    return PublishedConfiguration(configuration, publication.position)


def _decode_changes(
    rows: tuple[model.Row, ...],
) -> dict[int, model.ConfigurationChange]:
    """Returns the complete changes in rows, by their base."""
    assembler = records.ChangeAssembler()
    changes: dict[int, model.ConfigurationChange] = {}
    for row in sorted(rows, key=lambda row: row.version):
        if records.is_change_ref(row.ref):
            change = assembler.add_part(records.decode_change_part(row.value))
            if change is not None:
                changes[change.base] = change
    return changes


def _apply_changes(
    configuration: model.Configuration,
    changes: dict[int, model.ConfigurationChange],
) -> model.Configuration:
    while configuration.version in changes:
        change = changes[configuration.version]
        configuration = change.apply_to(configuration)
    return configuration
