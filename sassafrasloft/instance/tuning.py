"""The times and limits of an instance, with their units and reasons."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.workload import Route


@attrs.frozen
class Tuning:
    """Timeouts, periods and limits.

    Times in milliseconds. Each comment says where the figure comes from.
    """

    # Runners
    lease_ms: Milliseconds = 900
    """Below the longest lease that runners grant (1,000), with room for a clock
    that is 2% slow and for one lost renewal."""
    renewal_ms: Milliseconds = 250
    """Three renewals fit into a lease."""
    start_timeout_ms: Milliseconds = 30
    """A round trip is under 5. A start without an answer is stopped, which is cheap,
    so that the task can start elsewhere before a short job is late."""
    order_timeout_ms: Milliseconds = 40
    """For stops, and twice this for looks. A round trip is under 5; a stop whose answer
    is lost is sent again, and its task waits meanwhile."""
    hold_slack_ms: Milliseconds = 80
    """How late the answer to a waiting hold may be."""
    late_end_factor: float = 1.25
    """Durations of tasks in one job vary by 15%; a few more end later."""
    late_end_slack_ms: Milliseconds = 20
    """A run whose end is not listed this long after the expected time is looked
    for: the answer of a waiting hold may be lost."""
    look_again_ms: Milliseconds = 50
    """Between looks for late ends on one runner."""
    longest_idle_wait_ms: Milliseconds = 1_000
    """Runners without runs need no renewal, only a sign of life."""
    orphan_grace_ms: Milliseconds = 150
    """Instances hand in their open jobs again within this time of a takeover."""
    stop_ms: Milliseconds = 60
    """A runner takes up to 50 to stop a run, and the order has to travel."""
    lapse_margin_ms: Milliseconds = 60
    """Beyond a lease: 2% of it and the time an order may travel."""
    runner_list_ms: Milliseconds = 1_000
    """Half of the time within which a draining runner must get no new work."""
    standby_list_ms: Milliseconds = 3_000
    """Instances that do not schedule read the cheap stale list at this rate."""
    missing_grace_ms: Milliseconds = 2_500
    """Entries that lapsed in an outage of the store are back within 2,000."""

    # Health of runners
    first_quarantine_ms: Milliseconds = 1_000
    """A runner that fails work is tried again with one task after this."""
    longest_quarantine_ms: Milliseconds = 8_000
    """Bound of the doubling quarantine: below the length of usual faults."""
    overdue_factor: float = 2.5
    """Declared durations are off by up to 40% and vary by 40%."""
    overdue_slack_ms: Milliseconds = 60
    """Messages and stops take part of the time of short tasks."""

    # Store
    store_timeout_ms: Milliseconds = 400
    """The store answers within 4 when it is well."""
    watch_ms: Milliseconds = 1_500
    """A silent connection is noticed within this and the timeout, which leaves
    time for configuration to apply within 2,000."""
    store_retry_ms: Milliseconds = 250
    """Between calls that failed: four a second from each instance."""

    # Scheduler's right
    right_lease_ms: Milliseconds = 2_000
    """A right without its holder ends after this; two failed renewals fit."""
    right_renewal_ms: Milliseconds = 600
    """Three renewals fit into the lease of the right."""
    beat_ms: Milliseconds = 50
    """Four beats fit into the silence that is taken for a failure."""
    silence_ms: Milliseconds = 250
    """Without any message for this long a stream is taken for dead: an instance may
    stand still for 100 when its share of a processor is used up."""
    busy_silence_ms: Milliseconds = 700
    """The same for an instance that said how late it is: three standstills of 100 more
    than `silence_ms`, and still a third of the lease of a right."""
    connect_timeout_ms: Milliseconds = 80
    """A connection takes under 5 between zones."""
    rank_delay_ms: Milliseconds = 30
    """Successors try one after the other; a claim takes about 10."""
    vote_ms: Milliseconds = 120
    """How long answers of other instances are waited for."""
    acting_delay_ms: Milliseconds = 250
    """Without any scheduler for this long an instance acts as one: a connection
    that is not made, a vote and a call of the store take about this."""
    fenced_ms: Milliseconds = 3_000
    """An acting scheduler that is alive gives its runners back within this."""
    absence_ms: Milliseconds = 10_000
    """After this an instance no longer counts towards a majority."""
    busy_beat_ms: Milliseconds = 20
    """A scheduler whose beats are later than this has work that waits: a third of the
    objective of short jobs (60)."""
    standstill_ms: Milliseconds = 60
    """A single beat that is later than this is taken for work until the next one is in
    time: of standstills of up to 100 half are shorter."""
    backlog_ms: Milliseconds = 200
    """Waiting work of this long halves the intake: it is to be gone before short jobs
    behind it are late twice over."""
    slow_beat_ms: Milliseconds = 40
    """A scheduler whose beats are this late on average has too little processor."""
    slow_beats: int = 10
    """Half a second of beats decides; a burst of work is shorter."""
    pause_ms: Milliseconds = 600
    """A gap between events above this means that the process was suspended."""

    # Jobs
    wait_share: float = 0.25
    """Of a job's objective: a caller that is refused has lost less than a quarter
    of the time in which another attempt could be in time."""
    wait_margin_ms: Milliseconds = 10
    """Part of that time which the messages to and from the caller take."""
    sure_work: float = 0.77
    """Nine of ten jobs last longer than this share of their expected duration:
    declared durations are off by up to 40%, true ones vary by 40%."""
    answer_retention_ms: Milliseconds = 5_000
    """Callers send again 1,300 after a lost answer."""
    return_ms: Milliseconds = 1_100
    """Callers send again 1,300 after their connection broke, perhaps at a scheduler
    out of reach of this one; messages, a check and a stop take up to 160."""
    most_open_jobs: int = 2_000
    """At one scheduler; further jobs are refused."""
    shortest_retry_after_s: int = 1
    """The header counts whole seconds."""

    def sure_wait_ms(self, route: Route, work_ms: float) -> float:
        """Return how long a job may wait at least, by the share of its objective."""
        objective = route.objective_ms(self.sure_work * work_ms)
        return max(0.0, self.wait_share * objective - self.wait_margin_ms)

    # Stopping
    ready_before_exit_ms: Milliseconds = 2_500
    """The balancer needs two missed checks, one a second."""
    closed_before_exit_ms: Milliseconds = 300
    """For requests that were sent as idle connections were being closed."""
    longest_stop_ms: Milliseconds = 5_300
    """Before the platform's SIGKILL at 6,000."""
