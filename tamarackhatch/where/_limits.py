"""Where the question is asked, and how large it may be."""

from tamarackhatch import errors

PATH = "/v1/where"
# The parser, which finds the place of each error, needs 13 ms for a KiB.
MAX_BODY_BYTES = 16_384
# A dry run keeps the scheduler from other work while it places these.
MAX_TASKS = 2_000


def check_size(body_bytes: int, tasks: int, file: str) -> None:
    """Checks that a dry run is short enough for the scheduler.

    Args:
        body_bytes: Size of the job document.
        tasks: Number of tasks of the job.
        file: Name of the document in findings.

    Raises:
        FindingsError: The job is too large.
    """
    findings = [
        errors.Finding(errors.SourceLocation(file, 1, 1), code, message)
        for is_exceeded, code, message in (
            (
                body_bytes > MAX_BODY_BYTES,
                errors.ErrorCode.BODY_TOO_LARGE,
                f"the job has {body_bytes} bytes, and at most "
                f"{MAX_BODY_BYTES} are accepted",
            ),
            (
                tasks > MAX_TASKS,
                errors.ErrorCode.OUT_OF_RANGE,
                f"the job has {tasks} tasks, and a dry run accepts at most "
                f"{MAX_TASKS}",
            ),
        )
        if is_exceeded
    ]
    if findings:
        raise errors.FindingsError(findings)
