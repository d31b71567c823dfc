"""Reading of the headers that callers send."""

import datetime
import re
import uuid

import attrs
from tornado import httputil

from tamarackhatch import declarations
from tamarackhatch import platform

REQUEST_ID = "Request-Id"
TIMEOUT = "Request-Timeout-Ms"
REPEATABLE = "Request-Repeatable"
WATCH = "Request-Watch"
OUTCOME = "Tamarackhatch-Outcome"

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_MAX_TIMEOUT_DIGITS = 9
# Headers of our own interface; the runner client sets its own.
_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        TIMEOUT,
        REPEATABLE,
        WATCH,
        OUTCOME,
        "Request-Deadline",
    )
)


@attrs.frozen
class CallerHeaders:
    """What the headers of a request say.

    Attributes:
        request_id: The caller's ID, or a new one.
        timeout: Time until the caller's deadline.
        is_repeatable: Whether running it twice does no harm.
        is_watch: Whether it is a long poll.
        faults: Everything that is wrong with the headers.
    """

    request_id: str
    timeout: datetime.timedelta
    is_repeatable: bool
    is_watch: bool
    faults: tuple[str, ...]


def read_headers(
    method: str,
    headers: httputil.HTTPHeaders,
    policy: declarations.ServicePolicy,
) -> CallerHeaders:
    """Reads the headers; collects all their faults."""
    faults: list[str] = []
    is_watch = _read_flag(headers, WATCH, False, faults)
    is_repeatable = _read_flag(
        headers, REPEATABLE, method in ("GET", "HEAD"), faults
    )
    if is_watch and not is_repeatable:
        faults.append(f"{WATCH}: a watch must be repeatable")
    request_id = _get_single(headers, REQUEST_ID, faults)
    if request_id is None:
        if not is_repeatable:
            # Without an ID the caller could not ask for the outcome again.
            faults.append(
                f"{REQUEST_ID}: required for a request that may not be "
                "repeated"
            )
        request_id = uuid.uuid4().hex
    elif not _ID_PATTERN.fullmatch(request_id):
        faults.append(
            f"{REQUEST_ID}: must be 1 to 128 letters, digits or ._:-"
        )
        request_id = uuid.uuid4().hex
    longest = policy.watch_length if is_watch else policy.max_deadline
    return CallerHeaders(
        request_id,
        _read_timeout(headers, longest, faults),
        is_repeatable,
        is_watch,
        tuple(faults),
    )


def select_forwarded(
    headers: httputil.HTTPHeaders,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are passed on to a runner."""
    # Headers named by Connection belong to this connection only.
    local = {
        name.strip().lower()
        for value in headers.get_list("Connection")
        for name in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in platform.HOP_HEADERS
        and name.lower() not in _OWN_HEADERS
        and name.lower() not in local
    )


def _get_single(
    headers: httputil.HTTPHeaders, name: str, faults: list[str]
) -> str | None:
    values = headers.get_list(name)
    if len(values) > 1:
        faults.append(f"{name}: given {len(values)} times")
    return values[0] if values else None


def _read_flag(
    headers: httputil.HTTPHeaders,
    name: str,
    default: bool,
    faults: list[str],
) -> bool:
    value = _get_single(headers, name, faults)
    if value is None:
        return default
    if value.lower() not in ("yes", "no"):
        faults.append(f"{name}: must be yes or no")
        return default
    return value.lower() == "yes"


def _read_timeout(
    headers: httputil.HTTPHeaders,
    longest: datetime.timedelta,
    faults: list[str],
) -> datetime.timedelta:
    value = _get_single(headers, TIMEOUT, faults)
    if value is None:
        return longest
    if not (
        value.isascii()
        and value.isdecimal()
        and len(value) <= _MAX_TIMEOUT_DIGITS
        and int(value) > 0
    ):
        faults.append(f"{TIMEOUT}: must be a positive number of milliseconds")
        return longest
    return min(longest, datetime.timedelta(milliseconds=int(value)))
