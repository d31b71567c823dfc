"""Answers that the router makes itself, and checks of those it passes on."""

import datetime

from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.routing import _errors

_STATUSES = {
    errors.ErrorCode.BAD_REQUEST: 400,
    errors.ErrorCode.UNKNOWN_SERVICE: 404,
    errors.ErrorCode.DUPLICATE_REQUEST: 409,
    errors.ErrorCode.BODY_TOO_LARGE: 413,
    errors.ErrorCode.DEADLINE_PASSED: 504,
}
# Temporary refusals; a load balancer or caller may try again.
_REFUSED_STATUS = 503
# Not 503: many HTTP clients repeat a request on their own after that.
_UNKNOWN_STATUS = 502
_NO_CHANGE_STATUS = 204


def build_refusal(
    code: errors.ErrorCode,
    reason: str,
    retry_after: datetime.timedelta | None = None,
) -> model.ServiceAnswer:
    """Returns the answer to a request that was not run."""
    return model.ServiceAnswer(
        model.Outcome.NOT_RUN,
        _STATUSES.get(code, _REFUSED_STATUS),
        code=code,
        reason=reason,
        retry_after=retry_after,
    )


def build_error_refusal(
    error: errors.CodedError, retry_after: datetime.timedelta | None = None
) -> model.ServiceAnswer:
    """Returns the answer to a request that was not run due to an error."""
    if isinstance(error, _errors.RequestRefusedError):
        retry_after = error.retry_after
    return build_refusal(error.code, error.message, retry_after)


def build_unknown(
    code: errors.ErrorCode,
    reason: str,
    retry_after: datetime.timedelta | None = None,
) -> model.ServiceAnswer:
    """Returns the answer to a request that may have run."""
    return model.ServiceAnswer(
        model.Outcome.UNKNOWN,
        _UNKNOWN_STATUS,
        code=code,
        reason=reason,
        retry_after=retry_after,
    )


def build_no_change(request: model.ServiceRequest) -> model.ServiceAnswer:
    """Returns the answer to a watch that ended without a change."""
    return model.ServiceAnswer(
        model.Outcome.ANSWERED,
        _NO_CHANGE_STATUS,
        (("Request-Id", request.request_id),),
    )


def find_mismatch(
    request: model.ServiceRequest,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> str | None:
    """Returns why an answer is not the whole answer to a request, or None."""
    found = {name.lower(): value for name, value in headers}
    answered_id = found.get("request-id")
    if answered_id != request.request_id:
        return f"the answer is to request {answered_id!r}"
    length = found.get("content-length")
    if (
        length is not None
        and request.method != "HEAD"
        and body
        and length != str(len(body))
    ):
        return f"the answer has {len(body)} of {length} bytes"
    return None
