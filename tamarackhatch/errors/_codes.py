"""The codes of all errors; docs/errors.md explains each."""

import enum


class ErrorCode(enum.Enum):
    """Stable identifiers for scripts and logs, grouped by hundreds."""

    # 100: settings and declarations
    SYNTAX = "TH101"
    UNKNOWN_KEY = "TH102"
    MISSING_KEY = "TH103"
    WRONG_TYPE = "TH104"
    OUT_OF_RANGE = "TH105"
    MISSING_REASON = "TH106"
    DUPLICATE = "TH107"
    UNREADABLE_FILE = "TH108"
    UNKNOWN_REFERENCE = "TH109"

    # 200: platform
    STORE_UNAVAILABLE = "TH201"
    STORE_OUTCOME_UNKNOWN = "TH202"
    CONDITION_FAILED = "TH203"
    BAD_PLATFORM_ANSWER = "TH204"
    WORKER_UNAVAILABLE = "TH211"
    WORKER_OUTCOME_UNKNOWN = "TH212"
    WORKER_REFUSED = "TH213"
    RUNNER_UNAVAILABLE = "TH221"
    RUNNER_OUTCOME_UNKNOWN = "TH222"

    # 300: requests
    BAD_REQUEST = "TH301"
    BODY_TOO_LARGE = "TH302"
    QUEUE_FULL = "TH303"
    NO_RUNNER = "TH304"
    DEADLINE_PASSED = "TH305"
    LEAVING = "TH306"
    DUPLICATE_REQUEST = "TH307"
    UNKNOWN_SERVICE = "TH308"
    NO_AUTHORITY = "TH309"

    # 400: jobs and tasks
    BAD_JOB = "TH401"
    INFEASIBLE_JOB = "TH402"
    QUOTA_EXCEEDED = "TH403"
    UNKNOWN_JOB = "TH404"
    ATTEMPTS_EXHAUSTED = "TH405"

    # 500: membership and peers
    SESSION_LOST = "TH501"
    PEER_UNAVAILABLE = "TH502"
    PEER_UNAUTHENTICATED = "TH503"
    BAD_PEER_MESSAGE = "TH504"
    PEER_OUTCOME_UNKNOWN = "TH505"

    # 600: configuration and operators
    CONFIGURATION_CONFLICT = "TH601"
    UNAUTHORIZED = "TH602"
    CONFIGURATION_OUTCOME_UNKNOWN = "TH603"
