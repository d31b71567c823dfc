"""Durations of the membership rules."""

import datetime

import attrs


@attrs.frozen
class Timing:
    """Durations that the safety argument of docs/membership.md uses.

    Attributes:
        hold_for: How long a renewal or a promise supports authority, counted
            from the moment it was sent.
        fence_after: How long a session must be seen unchanged before it may
            be fenced. The 3 s above ``hold_for`` cover clock rate errors.
        promise_for: How long a promise binds its giver, counted from its
            receipt. The second above ``hold_for`` covers clocks whose rates
            differ by up to 14 %.
        renew_every: Interval of session renewals.
        retry_every: Interval after a failed renewal.
        scan_every: Interval of the scans of sessions.
        owners_every: Longest interval of the scans of owners. A scan of
            2,000 rows is some 300 KB, so it is made early only on news.
        read_gap: A longer pause between scans restarts all observations, so
            that the end of a store outage fences nobody.
        gone_after: How long the instance list must not show an instance
            before the instance counts as gone. It covers a list that shows a
            new instance late.
        claim_patience: How long a worker stays unowned before the member
            that is next in its ranking claims it.
        settle_for: How long requests and leases of a previous owner may
            last: the longest deadline or lease, plus 1 s of clock error.
        join_delay: How long a new member must be known before workers are
            moved to it, so that a restart loop moves none.
        rebalance_every: Interval of moves of one worker to another member.
        drop_after: How long a worker must be off the instance list before
            its ownership row is released.
        forget_after: Age at which the row of a fenced session is deleted.
    """

    hold_for: datetime.timedelta = datetime.timedelta(seconds=7)
    fence_after: datetime.timedelta = datetime.timedelta(seconds=10)
    promise_for: datetime.timedelta = datetime.timedelta(seconds=8)
    renew_every: datetime.timedelta = datetime.timedelta(seconds=3)
    retry_every: datetime.timedelta = datetime.timedelta(seconds=1)
    scan_every: datetime.timedelta = datetime.timedelta(seconds=2)
    owners_every: datetime.timedelta = datetime.timedelta(seconds=10)
    read_gap: datetime.timedelta = datetime.timedelta(seconds=3)
    gone_after: datetime.timedelta = datetime.timedelta(seconds=30)
    claim_patience: datetime.timedelta = datetime.timedelta(seconds=5)
    settle_for: datetime.timedelta = datetime.timedelta(seconds=31)
    join_delay: datetime.timedelta = datetime.timedelta(seconds=5)
    rebalance_every: datetime.timedelta = datetime.timedelta(seconds=2)
    drop_after: datetime.timedelta = datetime.timedelta(seconds=10)
    forget_after: datetime.timedelta = datetime.timedelta(minutes=10)
