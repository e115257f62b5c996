"""The tunables of an instance: timeouts, periods and limits."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.workload import Route


@attrs.frozen
class Tuning:
    """Timeouts, periods and limits.

    Times are in milliseconds. Each comment gives the reason for the default.
    """

    # Runners
    lease_ms: Milliseconds = 900
    """Lease of runs. Below the longest lease that runners grant (1,000), with a margin
    for a clock that is 2% slow and for one lost renewal."""
    renewal_ms: Milliseconds = 250
    """Renewal period of leases; three renewals fit into a lease."""
    start_timeout_ms: Milliseconds = 30
    """Timeout of start orders; a round trip takes less than 5. A start without a reply
    is stopped, which is cheap, so that the task can start on another runner before a
    short job is late."""
    order_timeout_ms: Milliseconds = 40
    """Timeout of stop orders, and half the timeout of immediate polls. A round trip
    takes less than 5; a stop whose reply is lost is sent again, and its task waits
    meanwhile."""
    stop_retry_ms: Milliseconds = 40
    """Shortest time between two stops of a run, so that a runner that rejects or resets
    them gets no more than one whose replies are lost."""
    hold_slack_ms: Milliseconds = 80
    """How late the reply to a long poll may arrive."""
    late_end_factor: float = 1.25
    """Factor on the expected duration of a run, after which its end counts as late.
    Durations of tasks in one job vary by 15%; a few tasks take longer."""
    late_end_slack_ms: Milliseconds = 20
    """A run whose end is not reported this long after the expected time is polled for,
    since the reply to a long poll may be lost."""
    look_again_ms: Milliseconds = 50
    """Shortest time between immediate polls of one runner for late ends of runs."""
    longest_idle_wait_ms: Milliseconds = 1_000
    """Longest long poll of a runner without runs: it needs no lease renewal, only a
    liveness check."""
    orphan_grace_ms: Milliseconds = 150
    """Instances resubmit their open jobs within this time after a takeover."""
    stop_ms: Milliseconds = 60
    """Time to stop a run: the runner takes up to 50, and the order has to reach it."""
    lapse_margin_ms: Milliseconds = 60
    """Margin after a lease: 2% of it, and the transmission time of an order."""
    runner_list_ms: Milliseconds = 1_000
    """Period at which the scheduler reads the list of runners: half of the time within
    which new work for a draining runner must cease."""
    standby_list_ms: Milliseconds = 3_000
    """Period at which other instances read the list of runners; they use the cheap
    read, which may be stale."""
    missing_grace_ms: Milliseconds = 2_500
    """Runner entries that expired in an outage of the store are back within 2,000."""

    # Health of runners
    first_quarantine_ms: Milliseconds = 1_000
    """First quarantine of a runner that fails work; it is then tried with one task."""
    longest_quarantine_ms: Milliseconds = 8_000
    """Limit of the quarantine, which doubles each time; below the usual duration of
    faults."""
    overdue_factor: float = 2.5
    """Factor on the expected duration after which a run is overdue. Declared durations
    are wrong by up to 40%, and actual durations vary by 40%."""
    overdue_slack_ms: Milliseconds = 60
    """Constant added to that limit, since messages and stops take a considerable part
    of the time of short tasks."""

    # Store
    store_timeout_ms: Milliseconds = 400
    """Timeout of store calls without any byte of a response; a healthy store answers
    within 4."""
    store_transfer_ms: Milliseconds = 10_000
    """Limit of the transfer of a response of the store that goes on: ten times as long
    as the largest value (1 MB) takes over the slowest links (12.5 Mbit/s)."""
    watch_ms: Milliseconds = 1_500
    """Duration of a watch call. A dead connection is detected within this time plus the
    timeout, which leaves time to apply a configuration within 2,000."""
    store_retry_ms: Milliseconds = 250
    """Delay after a failed store call: at most four calls per second and instance."""

    # Leadership
    right_lease_ms: Milliseconds = 2_000
    """Leadership lease: the leadership of a failed scheduler ends after this time. Two
    renewals may fail."""
    right_renewal_ms: Milliseconds = 600
    """Renewal period of the leadership lease; three renewals fit into it."""
    beat_ms: Milliseconds = 50
    """Heartbeat period; four heartbeats fit into the heartbeat timeout `silence_ms`."""
    silence_ms: Milliseconds = 250
    """Heartbeat timeout: a stream without any message for this long counts as dead. An
    instance may stall for 100 when its processor quota is used up."""
    busy_silence_ms: Milliseconds = 700
    """Heartbeat timeout of an instance that reported delayed heartbeats: allows for
    three more stalls of 100 than `silence_ms`, and is about a third of the leadership
    lease."""
    silent_grace_ms: Milliseconds = 400
    """How long the jobs of an instance go on after its heartbeat timeout. With the
    longest timeout (700) and the time to stop runs (160) they have ended when their
    callers may submit them elsewhere, 1,300 after their connections broke."""
    connect_timeout_ms: Milliseconds = 80
    """Timeout of connecting to an instance; this takes less than 5 between zones."""
    rank_delay_ms: Milliseconds = 30
    """Delay between the attempts of successive candidates to claim leadership; a claim
    takes about 10."""
    vote_ms: Milliseconds = 120
    """How long an instance waits for replies when it polls its peers."""
    acting_delay_ms: Milliseconds = 250
    """An instance without any scheduler for this long becomes an acting scheduler. A
    failed connection, a poll of the peers and a store call take about this time."""
    fenced_ms: Milliseconds = 3_000
    """A live acting scheduler returns its runners within this time."""
    absence_ms: Milliseconds = 10_000
    """An instance that is absent for longer does not count towards a majority."""
    busy_beat_ms: Milliseconds = 20
    """Heartbeat delay above which a scheduler has a backlog of work: a third of the
    latency objective of short jobs (60)."""
    standstill_ms: Milliseconds = 60
    """A single heartbeat with a longer delay counts as a backlog until the next one is
    on time: of stalls of up to 100, half are shorter than this."""
    backlog_ms: Milliseconds = 200
    """A backlog of this length halves the intake share, so that it is cleared before
    the short jobs behind it take twice their objective."""
    slow_beat_ms: Milliseconds = 40
    """Average heartbeat delay above which a scheduler has too little processor time."""
    slow_beats: int = 10
    """Number of heartbeats in that average: half a second, longer than a burst of
    work."""
    pause_ms: Milliseconds = 600
    """A longer gap between events means that the process was suspended."""

    # Jobs
    wait_share: float = 0.25
    """Share of a job's latency objective for which the job may wait. A refused caller
    has then lost less than a quarter of the time for a retry that is still on time."""
    wait_margin_ms: Milliseconds = 10
    """Part of that time taken by the messages to and from the caller."""
    longest_rack_wait_ms: Milliseconds = 1_000
    """Longest wait of a task for a place in the rack of its data, about the duration of
    the longest usual tasks; 0 to start it in another rack at once."""
    sure_work: float = 0.77
    """Share of its expected duration that a job takes at least in nine of ten cases:
    declared durations are wrong by up to 40%, actual ones vary by 40%."""
    answer_retention_ms: Milliseconds = 5_000
    """How long answers are kept: callers retry 1,300 after a lost answer."""
    return_ms: Milliseconds = 1_100
    """How long the job of a disconnected caller goes on. Callers retry 1,300 after
    their connection broke, possibly at a scheduler that this one cannot reach;
    messages, a check and a stop take up to 160."""
    most_open_jobs: int = 2_000
    """Limit of open jobs at one scheduler; further jobs are refused."""
    shortest_retry_after_s: int = 1
    """Minimum of the Retry-After header, which counts whole seconds."""

    def guaranteed_wait_ms(self, route: Route, work_ms: float) -> float:
        """Return the wait that a job is always allowed: a share of its objective."""
        objective = route.objective_ms(self.sure_work * work_ms)
        return max(0.0, self.wait_share * objective - self.wait_margin_ms)

    # Stopping
    ready_before_exit_ms: Milliseconds = 2_500
    """Time in which the process stays open after its readiness ends: the load balancer
    needs two failed checks, at one per second."""
    closed_before_exit_ms: Milliseconds = 300
    """Time for requests that were sent while idle connections were being closed."""
    longest_stop_ms: Milliseconds = 5_300
    """Longest duration of a stop: the platform sends SIGKILL at 6,000."""
