"""Decodes the operator's configuration from the platform's store."""

import typing

from tamarackhatch import model
from tamarackhatch.platform import _decoding

OPERATOR_TABLE: typing.Final = "op"
CONFIGURATION_KEY: typing.Final = "config"


def decode_configuration(value: bytes) -> model.Configuration:
    """Returns the configuration that a row's value holds.

    Raises:
        MalformedBodyError: The value does not have the published form.
    """
    document = _decoding.decode_object(value)
    # "routes" are the queues.
    return model.Configuration(
        _decoding.get_integer(document, "version"),
        tuple(
            _decode_queue(_decoding.get_object(item, "an item of routes"))
            for item in _decoding.get_list(document, "routes")
        ),
        tuple(
            _decode_service(_decoding.get_object(item, "an item of services"))
            for item in _decoding.get_list(document, "services")
        ),
        _decode_limits(document.get("limits") or {}),
    )


def _decode_queue(document: dict[str, typing.Any]) -> model.Queue:
    # "stretch" is the factor of the latency objective on a job's work,
    # "target_latency_ms" the fixed part of that objective.
    stretch = document.get("stretch", 1.0)
    if isinstance(stretch, bool) or not isinstance(stretch, (int, float)):
        raise _decoding.MalformedBodyError(
            "stretch of a route is not a number"
        )
    advice = document.get("advice")
    return model.Queue(
        name=_decoding.get_text(document, "name"),
        host=_decoding.get_text(document, "host"),
        path_prefix=_decoding.get_text(document, "path_prefix"),
        service=_decoding.get_text(document, "service"),
        priority=_decoding.get_integer(document, "priority"),
        max_attempts=max(1, _decoding.get_integer(document, "max_attempts")),
        stretch=float(stretch),
        target_latency=_decoding.get_duration(document, "target_latency_ms"),
        advice=(
            _decode_advice(_decoding.get_object(advice, "advice"))
            if advice
            else None
        ),
    )


def _decode_advice(document: dict[str, typing.Any]) -> model.AdviceTiming:
    # "decision_ms" is the fixed time of one request, "period_ms" the further
    # time for each runner that the request names.
    return model.AdviceTiming(
        decision=_decoding.get_duration(document, "decision_ms"),
        per_runner=_decoding.get_duration(document, "period_ms"),
        validity=_decoding.get_duration(document, "validity_ms"),
    )


def _decode_service(document: dict[str, typing.Any]) -> model.Service:
    # The machines of a "spare" service are switched off.
    return model.Service(
        name=_decoding.get_text(document, "name"),
        enforces_capacity=_decoding.get_flag(document, "enforces_capacity"),
        is_spare=_decoding.get_flag(document, "spare"),
    )


def _decode_limits(value: object) -> model.RequestLimits:
    document = _decoding.get_object(value, "limits")
    defaults = model.RequestLimits()
    return model.RequestLimits(
        _decoding.get_integer(document, "max_header_bytes")
        or defaults.max_header,
        _decoding.get_integer(document, "max_body_bytes") or defaults.max_body,
        _decoding.get_duration(document, "header_timeout_ms")
        or defaults.header_timeout,
        _decoding.get_duration(document, "idle_timeout_ms")
        or defaults.idle_timeout,
    )
