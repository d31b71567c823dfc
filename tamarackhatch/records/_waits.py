"""JSON form of the reported waits, in the row of the leader heartbeat."""

import typing

from tamarackhatch import model
from tamarackhatch.records import _types


def encode_waits(
    summaries: tuple[model.WaitSummary, ...],
) -> list[list[typing.Any]]:
    """Returns the field of a heartbeat; the values are listed by position."""
    return [
        [
            summary.service,
            summary.is_best_effort,
            summary.rate,
            _encode_resources(summary.free),
            [
                [_encode_resources(task.resources), task.image]
                for task in summary.blocked
            ],
            [
                [
                    level.priority,
                    level.urgent_work,
                    level.total_work,
                    _encode_points(level.points),
                    _encode_points(level.late_points),
                ]
                for level in summary.levels
            ],
        ]
        for summary in summaries
    ]


def decode_waits(field: typing.Any) -> tuple[model.WaitSummary, ...]:
    """Returns the summaries in a heartbeat's field.

    Returns nothing if the field is malformed or of a later build, because a
    scheduler must not be taken for dead for the sake of this field.
    """
    try:
        summaries = tuple(_decode_summary(item) for item in field)
        for summary in summaries:
            _types.check_types(summary)
        return summaries
    except (LookupError, TypeError, ValueError):
        return ()


def _decode_summary(item: typing.Any) -> model.WaitSummary:
    # A later build may append values.
    service, is_best_effort, rate, free, blocked, levels = item[:6]
    return model.WaitSummary(
        service,
        is_best_effort,
        rate,
        model.Resources(*free),
        tuple(
            model.BlockedTask(model.Resources(*task[0]), task[1])
            for task in blocked
        ),
        tuple(
            model.WaitLevel(
                level[0],
                level[1],
                level[2],
                tuple(model.WorkPoint(*point) for point in level[3]),
                tuple(model.WorkPoint(*point) for point in level[4]),
            )
            for level in levels
        ),
    )


def _encode_points(points: tuple[model.WorkPoint, ...]) -> list[list[int]]:
    return [[point.demand, point.work] for point in points]


def _encode_resources(resources: model.Resources) -> list[int]:
    return [
        resources.processors,
        resources.memory_mb,
        resources.accelerators,
    ]
