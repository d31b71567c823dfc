"""Reads the state of jobs from the store."""

import asyncio
from collections.abc import Sequence

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import settings
from tamarackhatch import transport

_STORE_CONNECTIONS = 4


@attrs.frozen
class StateLine:
    """State of a job, or why it is not known.

    Attributes:
        job: Identifier of the job.
        text: State of the job, or why it is not known.
        is_known: Whether ``text`` is the state.
    """

    job: str
    text: str
    is_known: bool


def read_states(path: str, jobs: Sequence[str]) -> tuple[StateLine, ...]:
    """Returns the states of jobs, in the order given.

    Raises:
        FindingsError: The settings file is invalid.
    """
    configured = settings.load_settings(path)
    return asyncio.run(_read_states(configured, jobs))


async def _read_states(
    configured: settings.Settings, jobs: Sequence[str]
) -> tuple[StateLine, ...]:
    time_source = clock.SystemClock()
    client = transport.HttpClient(time_source, _STORE_CONNECTIONS)
    store = platform.PlatformStore(client, str(configured.store_address))
    job_store = records.JobStore(store, time_source)
    try:
        return tuple([await _read_state(job_store, job) for job in jobs])
    finally:
        client.close()


async def _read_state(store: records.JobStore, job: str) -> StateLine:
    try:
        state = await store.read_state(job)
    except (model.StoreUnavailableError, records.MalformedRowError) as error:
        return StateLine(job, str(error), False)
    if state is None:
        return StateLine(job, "no such job", False)
    return StateLine(job, state.value, True)
