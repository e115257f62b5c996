"""A state machine over instances, a store and runners that fail in any order.

The audit of the world checks after each event that no task has two runs, that no
refused job has begun, that a draining runner gets no work, and that no process reverts
to an older configuration. The instances check their own invariants strictly.

Hypothesis derives its seed from the source text of `FleetMachine`, so that any change
in the class other than to comments leads to different examples.
"""

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.store_execution import STORE
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    LOOKUP,
    ORDER,
    ROUTES,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

ZONES = {"north": 2, "south": 2, "west": 1}
KINDS = ((LOOKUP, 4, 60), (CONFIRM, 2, 200), (ORDER, 2, 900))
# Not `integers`: Hypothesis adds constants of the loaded modules to that strategy, so
# that the examples would depend on the modules that a test process has loaded.
NUMBERS = st.sampled_from(range(31))
STEPS = st.sampled_from((1, 5, 20, 90, 400, 1_200))


class FleetMachine(RuleBasedStateMachine):
    """Rules are faults and requests; each lets some time pass."""

    def __init__(self):
        super().__init__()
        self.world = settled_world(ZONES, runners=2)
        self.version = 1
        self.cuts: set[str] = set()
        self.world.cut = self.is_cut

    def is_cut(self, one, other):
        return bool(self.cuts & {one, other, self.zone(one), self.zone(other)}) and (
            self.zone(one) != self.zone(other) or one in self.cuts or other in self.cuts
        )

    def zone(self, name):
        if name in self.world.instances:
            return self.world.instances[name].zone
        if name in self.world.runners:
            return self.world.runners[name].entry.zone
        return STORE

    def pick(self, number, names):
        names = sorted(names)
        return names[number % len(names)]

    @rule(number=NUMBERS, where=NUMBERS, kind=st.sampled_from(KINDS), wait=STEPS)
    def submit(self, number, where, kind, wait):
        route, count, duration = kind
        instance = self.pick(where, self.world.instances)
        key = f"{number:016x}"
        if key in self.world.jobs:
            known = self.world.jobs[key]
            if known.answers:
                return
            # Callers send again only after their connection ended.
            self.world.give_up(known, reset=True)
            self.world.run(1_300)
            self.world.submit(known.job, known.route, instance)
        else:
            job = simple_job(number, count, 14_000, duration)
            self.world.submit(job, route, instance)
        self.world.run(wait)

    @rule(where=NUMBERS, wait=STEPS)
    def kill_and_start(self, where, wait):
        name = self.pick(where, self.world.instances)
        self.world.kill(name)
        self.world.run(wait)
        self.world.start_instance(name, self.world.instances[name].zone)

    @rule(where=NUMBERS, wait=STEPS)
    def power_off_and_on(self, where, wait):
        name = self.pick(where, self.world.instances)
        self.world.power_off(name)
        self.world.run(wait)
        self.world.start_instance(name, self.world.instances[name].zone)

    @rule(where=NUMBERS, wait=STEPS)
    def freeze_and_thaw(self, where, wait):
        name = self.pick(where, self.world.instances)
        self.world.freeze(name)
        self.world.run(wait)
        self.world.thaw(name)

    @rule(where=NUMBERS, wait=STEPS)
    def cut_zone_and_heal(self, where, wait):
        zone = self.pick(where, ZONES)
        self.cuts.add(zone)
        self.world.run(wait)
        self.cuts.discard(zone)

    @rule(where=NUMBERS, wait=STEPS)
    def cut_one_and_heal(self, where, wait):
        names = [*self.world.instances, *self.world.runners]
        name = self.pick(where, names)
        self.cuts.add(name)
        self.world.run(wait)
        self.cuts.discard(name)

    @rule(wait=STEPS, lapse=st.booleans())
    def store_outage(self, wait, lapse):
        self.world.store_down = True
        self.world.run(wait)
        self.world.store_down = False
        if not lapse:
            self.world.store.extend_leases(wait)

    @rule(share=st.sampled_from((0.0, 0.3)), wait=STEPS)
    def lose_replies(self, share, wait):
        self.world.lose_replies = share
        self.world.run(wait)

    @rule(share=st.sampled_from((0.0, 0.2)), wait=STEPS)
    def late_orders(self, share, wait):
        self.world.late_orders = share
        self.world.run(wait)

    @rule(where=NUMBERS, wait=STEPS)
    def restart_runner(self, where, wait):
        self.world.restart_runner(self.pick(where, self.world.runners))
        self.world.run(wait)

    @rule(where=NUMBERS, fails=st.booleans(), hangs=st.booleans(), wait=STEPS)
    def sick_runner(self, where, fails, hangs, wait):
        runner = self.world.runners[self.pick(where, self.world.runners)]
        runner.fails_all, runner.hangs = fails, hangs
        self.world.run(wait)

    @rule(wait=STEPS)
    def newer_configuration(self, wait):
        self.version += 3
        self.world.configure(self.version, ROUTES)
        self.world.run(wait)

    @rule(wait=STEPS)
    def older_configuration(self, wait):
        self.world.configure(max(1, self.version - 2), ROUTES)
        self.world.run(wait)

    @rule(where=NUMBERS, wait=STEPS)
    def lapse_entry(self, where, wait):
        runner = self.world.runners[self.pick(where, self.world.runners)]
        self.world.unregister(runner.entry.runner_id)
        self.world.run(wait)
        self.world.register(attrs.evolve(runner.entry))

    @invariant()
    def one_scheduler_by_revision(self):
        """Two holders of one revision would share a fencing token."""
        tokens = [
            one.core.board.leadership.base_token
            for one in self.world.instances.values()
            if one.alive
            and not one.frozen
            and one.core.board.leadership.role is Role.SCHEDULING
        ]
        assert len(tokens) == len(set(tokens))

    def teardown(self):
        """Check that a job is served once all faults are over."""
        world = self.world
        self.cuts.clear()
        world.store_down = False
        world.late_orders = world.lose_replies = 0.0
        for runner in world.runners.values():
            runner.fails_all = runner.hangs = False
        world.run(12_000)
        job = world.submit(
            simple_job(99, 1, 8_000, 60), LOOKUP, sorted(world.instances)[0]
        )
        world.run(1_500)
        assert job.answer is not None
        assert job.answer.kind == "completed", job.answer


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    max_examples=30,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
