"""Capacity of workers for batch tasks."""

import datetime

import attrs

from tamarackhatch import declarations
from tamarackhatch import model


def compute_batch_capacity(
    backend: model.BackendServer, policy: declarations.WorkerPolicy
) -> model.Resources:
    """Returns what the machine has beside the reserve of its runner."""
    if backend.runner_address is None and backend.service is None:
        return backend.capacity
    left = backend.capacity - policy.service_reserve
    return model.Resources(
        max(left.processors, 0),
        max(left.memory_mb, 0),
        max(left.accelerators, 0),
    )


def fit_capacity(
    record: model.WorkerRecord,
    capacity: model.Resources,
    as_of: datetime.datetime | None,
) -> model.WorkerRecord:
    """Returns the record with the new capacity, but never over-committed.

    Where commitments exceed the new capacity, the row keeps as much as they
    hold. Each later write brings it closer to the new capacity. An instance
    list older than the one the row follows changes nothing, because it may
    still show a capacity that the worker has lost.
    """
    if (
        as_of is not None
        and record.capacity_as_of is not None
        and as_of < record.capacity_as_of
    ):
        return record
    held = record.compute_committed()
    fitted = model.Resources(
        max(capacity.processors, held.processors),
        max(capacity.memory_mb, held.memory_mb),
        max(capacity.accelerators, held.accelerators),
    )
    if fitted == record.capacity:
        return record
    return attrs.evolve(record, capacity=fitted, capacity_as_of=as_of)
