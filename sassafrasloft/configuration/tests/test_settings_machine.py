"""Stateful test of three instances whose platform and peer streams fail."""

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafrasloft.testing.single_instance import FakePlatform, Instance

NAMES = ("entry-0", "entry-1", "entry-2")
INSTANCE_INDEX = st.integers(0, 2)
PROPAGATION_MS = 16_000
"""Bound on the time until accepted settings are in force on all instances."""
WATCH_RECOVERY_MS = 25_000 + 10_000
"""Time for a watch without a reply to time out (25 s) and for the delay of the next
call (10 s), before the propagation bound applies."""


class SettingsMachine(RuleBasedStateMachine):
    """Guards against settings that revert, diverge or are never adopted."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.instances = [Instance(self.platform, n + 1, n) for n in range(3)]
        self.in_flight = []
        self.published = 0
        self.seen = [0, 0, 0]

    def collect(self):
        for instance in self.instances:
            source = instance.board.identity.instance
            for one in instance.sent:
                if one.peer in NAMES:
                    self.in_flight.append((source, one.peer, one.message))
            instance.sent.clear()

    def deliver(self, position):
        source, target, message = self.in_flight.pop(position)
        self.instances[NAMES.index(target)].receive_message(message, source)

    @rule()
    def publish(self):
        self.published += 1
        self.platform.write(str(self.published))

    @rule()
    def publish_nonsense(self):
        self.platform.write("nonsense")

    @rule(age=st.integers(1, 3), key_revision=st.integers(1, 30))
    def restore(self, age, key_revision):
        old = max(0, self.published - age)
        self.platform.write(str(old) if old else "", key_revision)

    @rule(answers=st.booleans())
    def outage(self, answers):
        self.platform.answers = answers

    @rule(which=INSTANCE_INDEX, silent=st.booleans())
    def silence(self, which, silent):
        """Start or end a period without replies; open calls never get one."""
        instance = self.instances[which]
        instance.silent = silent
        instance.unanswered_calls.clear()

    @rule(which=INSTANCE_INDEX, peer=INSTANCE_INDEX, up=st.booleans())
    def link(self, which, peer, up):
        if which != peer:
            self.instances[which].link(up, NAMES[peer])

    @rule(which=INSTANCE_INDEX, duration_ms=st.sampled_from([50, 500, 3_000, 12_000]))
    def run(self, which, duration_ms):
        self.instances[which].run(duration_ms)
        self.collect()

    @rule(which=INSTANCE_INDEX)
    def pause(self, which):
        self.instances[which].now += 11_000

    @rule(data=st.data(), fate=st.sampled_from(["deliver", "lose", "double"]))
    def stream(self, data, fate):
        if not self.in_flight:
            return
        position = data.draw(st.integers(0, len(self.in_flight) - 1))
        if fate == "double":
            self.in_flight.append(self.in_flight[position])
        if fate == "lose":
            del self.in_flight[position]
        else:
            self.deliver(position)

    @invariant()
    def revisions_only_grow(self):
        for n, instance in enumerate(self.instances):
            assert instance.revision >= self.seen[n]
            self.seen[n] = instance.revision
            assert instance.board.settings.text == str(instance.revision or "")

    def run_all(self, duration_ms):
        for _ in range(duration_ms // 250):
            for instance in self.instances:
                instance.run(250)
            self.collect()
            while self.in_flight:
                self.deliver(0)
                self.collect()

    def teardown(self):
        """Remove all faults and check that every instance adopts the last settings."""
        self.platform.answers = True
        for n, instance in enumerate(self.instances):
            instance.silent = False
            for peer in NAMES[:n] + NAMES[n + 1 :]:
                instance.link(True, peer)
        self.run_all(WATCH_RECOVERY_MS)
        self.publish()
        self.run_all(PROPAGATION_MS)
        assert [instance.revision for instance in self.instances] == [
            self.published
        ] * 3


TestSettingsMachine = SettingsMachine.TestCase
TestSettingsMachine.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
