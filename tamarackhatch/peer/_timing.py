"""Durations and limits of the peer protocol."""

import datetime

import attrs

CHUNK_BYTES = 65_536
# A configuration is sent in one message; everything else is chunked.
MAX_MESSAGE_BYTES = 4_194_304
# Enough for a hello; a dialler without the key cannot make the peer buffer
# more than this.
MAX_HELLO_BYTES = 4_096
MAX_HEADER_BYTES = 65_536
# Bytes on the wire beside a message: gRPC prefix 5, HTTP/2 frame 9, IPv4 and
# TCP with timestamps 52.
OVERHEAD_BYTES = 66


@attrs.frozen
class PeerTiming:
    """Durations and limits of the peer protocol.

    Attributes:
        heartbeat_every: Interval of heartbeats within a region.
        summary_every: Interval of heartbeats between regions.
        silent_after: A stream is closed when a heartbeat stays unanswered
            for this long. It is below ``hold_for``, so that a new stream can
            renew the promises in time.
        check_every: Interval of the checks for silence and new targets.
        handshake_within: Longest time for connecting and both hellos.
        backoff_first: Pause after the first failed dial; it doubles.
        backoff_last: Longest pause. The refusal of a peer that died must be
            seen within ``hold_for`` of its last promise.
        idle_after: Age at which an unused stream on demand is closed.
        answer_grace: Time beyond a request's deadline until it is given up.
        goodbye_within: Longest time for sending the goodbyes.
        members_per_data_centre: Streams to each data centre of another
            region.
        max_body: Largest body of a request or answer, in bytes.
        max_pending: Most requests in flight on one stream.
    """

    heartbeat_every: datetime.timedelta = datetime.timedelta(seconds=1)
    summary_every: datetime.timedelta = datetime.timedelta(seconds=5)
    silent_after: datetime.timedelta = datetime.timedelta(seconds=3)
    check_every: datetime.timedelta = datetime.timedelta(seconds=0.5)
    handshake_within: datetime.timedelta = datetime.timedelta(seconds=3)
    backoff_first: datetime.timedelta = datetime.timedelta(seconds=0.1)
    backoff_last: datetime.timedelta = datetime.timedelta(seconds=2)
    idle_after: datetime.timedelta = datetime.timedelta(seconds=30)
    answer_grace: datetime.timedelta = datetime.timedelta(seconds=0.5)
    goodbye_within: datetime.timedelta = datetime.timedelta(seconds=1)
    members_per_data_centre: int = 2
    max_body: int = 8_388_608
    max_pending: int = 1_024
