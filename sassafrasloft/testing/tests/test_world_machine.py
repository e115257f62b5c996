"""Stateful property test of a whole small service under random faults.

Guards against tasks that start twice, false answers, answers to the wrong caller and
jobs without an answer, in event orders that no other test covers. The ground truth of
the world and the auditors of the cores raise an error on a violation.
"""

from random import Random

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sassafrasloft.configuration import settings_key
from sassafrasloft.jobs import Fate
from sassafrasloft.messages import WriteKey
from sassafrasloft.settings import render_document
from sassafrasloft.testing import Workload, make_settings, make_world
from sassafrasloft.testing.services import DEPLOYMENTS
from sassafrasloft.testing.workload import draw_job

ANSWER_LIMIT_MS = 300_000
"""Limit for all answers after the end of the faults.

It covers the deadline, settling, fencing and waiting, with a margin.
"""

WORKLOAD = Workload(
    max_tasks=12, teams=2, declared_error_factor=4.0, deadline_ms=60_000
)
positions = st.integers(0, 50)
durations = st.sampled_from([5, 50, 400, 1_500, 4_000])
lead_times = st.sampled_from([0, 12, 60, 400])
"""Times between the submission of jobs and a fault; 0 submits no jobs."""


class WholeService(RuleBasedStateMachine):
    """Callers, two or three instances, four runners and a platform, with faults."""

    @initialize(instances=st.integers(2, 3), seed=st.integers(0, 2**16))
    def start(self, instances, seed):
        deployment = DEPLOYMENTS["cestas-colgantes"]
        service = make_settings(deployment, instances, runners=4, slots=2, teams=2)
        self.random = Random(seed)
        self.world = make_world(deployment, seed, service)
        self.world.start()
        self.world.queue.run_until(1_000)
        self.jobs = 0
        self.revision = 0

    def host(self, place):
        return list(self.world.hosts.values())[place % len(self.world.hosts)]

    def runner(self, place):
        return list(self.world.runners.hosts)[place % len(self.world.runners.hosts)]

    def advance(self, duration_ms):
        self.world.queue.run_until(self.world.now + duration_ms)

    # Requests of callers.

    def submit_jobs(self, count):
        for _ in range(count):
            token = f"job-{self.jobs}"
            self.jobs += 1
            job = draw_job(WORKLOAD, token, self.world.now, self.random)
            self.world.callers.submit_planned_job(job)

    def submit_before_fault(self, lead_ms):
        """Submit jobs, so that some are in progress when a fault is injected."""
        if lead_ms:
            self.submit_jobs(3)
            self.advance(lead_ms)

    @rule(count=st.integers(1, 6), duration_ms=durations)
    def submit(self, count, duration_ms):
        self.submit_jobs(count)
        self.advance(duration_ms)

    @rule(place=positions, lead_ms=lead_times)
    def resubmit_elsewhere(self, place, lead_ms):
        self.submit_before_fault(lead_ms)
        callers = self.world.callers.callers
        if callers:
            callers[place % len(callers)].handle_connection_loss()

    @rule(place=positions, lead_ms=lead_times)
    def cancel(self, place, lead_ms):
        self.submit_before_fault(lead_ms)
        callers = self.world.callers.callers
        if callers:
            callers[place % len(callers)].cancel()

    # Faults of instances.

    @rule(
        place=positions,
        delay_ms=st.sampled_from([200, 3_000, 20_000]),
        lead_ms=lead_times,
    )
    def crash(self, place, delay_ms, lead_ms):
        self.submit_before_fault(lead_ms)
        host = self.host(place)
        if host.alive:
            self.world.kill_instance(host.name)
            restart = self.world.restart_instance
            self.world.queue.after(delay_ms, lambda: restart(host.name))

    @rule(
        place=positions,
        duration_ms=st.sampled_from([500, 4_000, 12_000, 25_000]),
        lead_ms=lead_times,
    )
    def pause(self, place, duration_ms, lead_ms):
        self.submit_before_fault(lead_ms)
        if self.host(place).alive:
            self.host(place).pause(duration_ms)

    @rule(place=positions, lead_ms=lead_times)
    def drain(self, place, lead_ms):
        self.submit_before_fault(lead_ms)
        host = self.host(place)
        if host.alive and not host.draining:
            self.world.drain_instance(host.name)

    @rule()
    def replace_stopped(self):
        for host in list(self.world.hosts.values()):
            if not host.alive:
                self.world.restart_instance(host.name)

    # Faults of the network, the runners and the platform.

    @rule(place=positions, with_platform=st.booleans(), lead_ms=lead_times)
    def cut(self, place, with_platform, lead_ms):
        self.submit_before_fault(lead_ms)
        zones = self.world.settings.zones
        self.world.partition_zone(zones[place % len(zones)], with_platform)

    @rule()
    def heal(self):
        self.world.heal()

    @rule(share=st.sampled_from([0.0, 0.2]), jitter_ms=st.sampled_from([0.0, 40.0]))
    def lose_double_delay(self, share, jitter_ms):
        self.world.network.lost_share = share
        self.world.network.duplicated_share = share
        self.world.network.jitter_ms = jitter_ms
        self.world.runners.duplicated_share = share

    @rule(
        place=positions,
        power_loss=st.booleans(),
        delay_ms=durations,
        lead_ms=lead_times,
    )
    def stop_runner(self, place, power_loss, delay_ms, lead_ms):
        self.submit_before_fault(lead_ms)
        name = self.runner(place)
        self.world.runners.kill(name, power_loss)
        restart = self.world.runners.restart
        self.world.queue.after(delay_ms, lambda: restart(name))

    @rule(place=positions, other=positions, lead_ms=lead_times)
    def silence(self, place, other, lead_ms):
        self.submit_before_fault(lead_ms)
        self.world.runners.silence(self.host(place).name, self.runner(other))

    @rule(outage=st.booleans())
    def platform(self, outage):
        self.world.platform.logic.faults.outage = outage

    @rule()
    def publish(self):
        key = settings_key(self.world.settings.service)
        self.revision += 1
        limits = attrs.evolve(self.world.settings.limits, max_jobs=99 + self.revision)
        edited = attrs.evolve(self.world.settings, limits=limits)
        text = render_document(self.revision, f"e-{self.revision}", "test", edited)
        stored = self.world.platform.logic.read(key).revision
        self.world.platform.write(WriteKey(key, text, stored))

    @rule(duration_ms=durations)
    def wait(self, duration_ms):
        self.advance(duration_ms)

    @invariant()
    def no_caller_gave_up(self):
        assert all(end.fate is not Fate.RUNNING for end in self.world.callers.ends)

    def teardown(self):
        """End all faults and check that every caller gets a final answer."""
        if not hasattr(self, "world"):
            return
        self.heal()
        self.lose_double_delay(0.0, 0.0)
        self.platform(False)
        end_ms = self.world.now + ANSWER_LIMIT_MS
        while self.world.now < end_ms and self.world.callers.open_jobs:
            self.replace_stopped()
            self.advance(2_000)
        assert self.world.callers.open_jobs == 0
        self.no_caller_gave_up()
        self.replace_stopped()
        self.advance(30_000)
        for host in self.world.live_hosts():
            assert host.board.settings.revision == self.revision
            assert not host.board.jobs.running


WholeService.TestCase.settings = settings(
    max_examples=50,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestWholeService = WholeService.TestCase
