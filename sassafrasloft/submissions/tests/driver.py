"""Several instances with their timers, messages and runners, driven by hand."""

from random import Random

from sassafrasloft.core import (
    AnswerRequested,
    Blackboard,
    Controller,
    DecisionCore,
    Exit,
    Fence,
    FenceReported,
    HeirChosen,
    IdsRequested,
    JobSubmitted,
    PeerMessageReceived,
    Reply,
    SendToPeer,
    SetTimer,
    Started,
    TaskEnded,
    TaskReturned,
    TaskSent,
    TimerFired,
)
from sassafrasloft.invariants import InvariantChecker
from sassafrasloft.jobs import (
    Fate,
    JobSpec,
    ReportState,
    TaskKey,
    TaskReport,
    TaskSpec,
)
from sassafrasloft.messages import Gossip, HeirAnnounced
from sassafrasloft.settings import (
    InstanceSettings,
    LimitSettings,
    RunnerSettings,
    ServiceSettings,
    TeamSettings,
)
from sassafrasloft.state import Identity, PeerState, RunnerState
from sassafrasloft.submissions import (
    AuthorityController,
    ForwardingController,
    HandoverController,
    InheritanceController,
    IntakeController,
    RecoveryController,
    TaskController,
    WaitingController,
)

RUNNERS = ("r1", "r2")


class FakeMembership(Controller):
    """Keeps the heirs as the membership controllers do."""

    handles = (HeirChosen, PeerMessageReceived)

    def react(self, event, board):
        message = event if isinstance(event, HeirChosen) else event.message
        if isinstance(message, HeirChosen | HeirAnnounced):
            key = f"{message.instance}.{message.incarnation}"
            board.peers.heirs[key] = f"{message.heir}.{message.heir_incarnation}"


def make_settings(names, **limits) -> ServiceSettings:
    return ServiceSettings(
        "service",
        "region",
        ("zone",),
        tuple(InstanceSettings(name, "zone", "", "", "") for name in names),
        tuple(RunnerSettings(name, "zone", "") for name in RUNNERS),
        (TeamSettings("team"), TeamSettings("other")),
        limits=LimitSettings(**limits),
    )


def make_job(count=2, team="team", prefix="t", idempotent=False, **fields) -> JobSpec:
    tasks = tuple(TaskSpec(f"{prefix}{i}", idempotent=idempotent) for i in range(count))
    return JobSpec(team, tasks, **fields)


class Site:
    """Instances a, b, c; messages wait in `mail` until they are delivered."""

    def __init__(self, names=("a",), seed=1, admission=lambda board, job: None, **lim):
        self.now = 1_000
        self.seed = seed
        self.admission = admission
        self.settings = make_settings(names, **lim)
        self.cores = {}
        self.commands = []
        self.replies = {}
        self.mail = []
        self.timers = {}
        self.exited = []
        self.sent = {}
        self.fenced = {}
        self.unreachable = set()
        self.requests = 0
        self.born = 0
        for name in names:
            self.start(name)
        self.gossip()

    def start(self, name):
        """Start a process, or its replacement with a new incarnation."""
        self.born += 1
        random = Random(f"{self.seed}/{self.born}")
        identity = Identity(
            name, "zone", f"{random.getrandbits(64):016x}", random.randbytes(16)
        )
        board = Blackboard(identity, self.settings, random, InvariantChecker())
        for runner in self.settings.runners:
            board.upstreams.runners[runner.name] = RunnerState(
                runner, f"{runner.name}i"
            )
        controllers = [
            FakeMembership(),
            IntakeController(self.admission),
            WaitingController(),
            TaskController(),
            ForwardingController(),
            RecoveryController(),
            HandoverController(),
            InheritanceController(),
            AuthorityController(),
        ]
        self.cores[name] = DecisionCore(board, controllers)
        self.timers = {key: due for key, due in self.timers.items() if key[0] != name}
        self.step(name, Started())

    def gossip(self):
        """Let every instance know the others and their clocks."""
        for name, core in self.cores.items():
            for other in self.settings.instances:
                if other.name == name or other.name not in self.cores:
                    continue
                incarnation = self.board(other.name).identity.incarnation
                state = PeerState(other, up=True, incarnation=incarnation)
                state.leaving = self.board(other.name).peers.leaving
                core.board.peers.peers[other.name] = state
                gossip = Gossip(other.name, incarnation, 1, 0, now_ms=self.now)
                self.step(name, PeerMessageReceived(other.name, gossip))

    def board(self, name="a") -> Blackboard:
        return self.cores[name].board

    def step(self, name, event):
        commands = self.cores[name].step(event, self.now)
        for command in commands:
            self._carry_out(name, command)
        return commands

    def _carry_out(self, name, command):
        self.commands.append(command)
        match command:
            case Reply():
                self.replies.setdefault(command.request_id, []).append(command.content)
            case SendToPeer():
                self.mail.append((name, command.peer, command.message))
            case SetTimer():
                self.timers[(name, command.name)] = command.due_ms
            case Fence():
                self._fence(name, command)
            case Exit():
                self.exited.append(name)

    def _fence(self, name, command):
        reachable = command.runner not in self.unreachable
        started = ()
        if reachable:
            self.fenced.setdefault(command.runner, set()).add(command.incarnation)
            started = tuple(
                report
                for key, (runner, sender, report) in sorted(self.sent.items())
                if runner == command.runner
                and command.incarnation in (sender, key.submission_id.split(".")[1])
            )
        event = FenceReported(
            command.runner,
            command.incarnation,
            reachable,
            f"{command.runner}i",
            started,
        )
        self.step(name, event)

    def deliver(self):
        """Deliver messages until none is left; those to ended processes are lost."""
        while self.mail:
            self.deliver_one(0)

    def deliver_one(self, position, keep=False):
        sender, receiver, message = self.mail[position]
        if not keep:
            del self.mail[position]
        if receiver in self.cores and receiver not in self.exited:
            self.step(receiver, PeerMessageReceived(sender, message))

    def advance(self, duration_ms, deliver=True):
        """Let time pass and fire timers in order."""
        end = self.now + duration_ms
        while True:
            due = sorted((at, key) for key, at in self.timers.items() if at <= end)
            if not due:
                break
            at, (name, timer) = due[0]
            del self.timers[(name, timer)]
            self.now = max(self.now, at)
            if name in self.cores and name not in self.exited:
                self.step(name, TimerFired(timer))
            if deliver:
                self.deliver()
        self.now = end

    def new_request(self) -> str:
        self.requests += 1
        return f"q{self.requests}"

    def new_id(self, name="a", team="team") -> str:
        request = self.new_request()
        self.step(name, IdsRequested(request, team))
        return self.replies[request][0].submission_ids[0]

    def submit(self, submission_id, job, name="a", wait_ms=0) -> str:
        request = self.new_request()
        self.step(name, JobSubmitted(request, submission_id, job, wait_ms))
        return request

    def ask(self, submission_id, name="a", wait_ms=0, team="team") -> str:
        request = self.new_request()
        self.step(name, AnswerRequested(request, submission_id, team, wait_ms))
        return request

    def answer(self, request):
        """Return the one reply to a request, or None if there is none."""
        replies = self.replies.get(request, [])
        assert len(replies) <= 1, replies
        return replies[0] if replies else None

    def send(self, submission_id, index=0, name="a", runner="r1"):
        key = TaskKey(submission_id, index)
        sender = self.board(name).identity.incarnation
        report = TaskReport(key, ReportState.RUNNING)
        assert key not in self.sent, f"{key} started twice"
        self.step(name, TaskSent(key, runner, "d1"))
        self.sent[key] = (runner, sender, report)

    def give_back(self, submission_id, index=0, name="a"):
        key = TaskKey(submission_id, index)
        runner, _, _ = self.sent.pop(key)
        self.step(name, TaskReturned(key, runner, "busy"))

    def end(self, submission_id, index=0, name="a", fate=Fate.COMPLETE):
        key = TaskKey(submission_id, index)
        runner, sender, _ = self.sent[key]
        state = ReportState.COMPLETE if fate is Fate.COMPLETE else ReportState.FAILED
        report = TaskReport(key, state, f"result of {key}")
        self.sent[key] = (runner, sender, report)
        result = report.result if fate is Fate.COMPLETE else ""
        self.step(name, TaskEnded(key, runner, fate, result, "reason"))

    def run(self, submission_id, count=2, name="a"):
        for index in range(count):
            self.send(submission_id, index, name)
            self.end(submission_id, index, name)

    def lose(self, name):
        """Replace a crashed process and prove to the others that it is gone."""
        key = f"{name}.{self.board(name).identity.incarnation}"
        self.mail = [one for one in self.mail if one[0] != name and one[1] != name]
        self.start(name)
        if name in self.exited:
            self.exited.remove(name)
        for core in self.cores.values():
            core.board.peers.gone[key] = self.now
        self.gossip()
        return key
