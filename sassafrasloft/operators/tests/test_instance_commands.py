"""Status, planned stops, traces and the command line."""

import io
import shutil

import pytest
from returns.result import Failure

from sassafrasloft.keyvalue.tests.loopback_server import LoopbackServer
from sassafrasloft.operators import OperatorClient
from sassafrasloft.operators.commands import ExitCode
from sassafrasloft.operators.program import main
from sassafrasloft.operators.tests.fake_platform import FakePlatform, Operator
from sassafrasloft.operators.tests.test_settings_commands import EXAMPLE
from sassafrasloft.settings import InstanceSettings
from sassafrasloft.traces import Span, SpanWriter

ZONES = {"ub-north": 3, "ub-south": 3, "darkhan": 2}
NAMES = [f"{zone}-{n + 1}" for zone, count in ZONES.items() for n in range(count)]
RUNNERS = [f"{zone}-runner-{n + 1}" for zone in ZONES for n in range(8)]


@pytest.fixture
def operator(tmp_path):
    shutil.copytree(EXAMPLE, tmp_path / "site")
    operator = Operator(tmp_path / "site", FakePlatform(), "Oyun")
    for name in NAMES:
        operator.instances.states[name] = {
            "instance": name,
            "zone": name.rpartition("-")[0],
            "settings_revision": 0,
            "leaving": False,
            "upstreams": {one: {"health": "healthy"} for one in RUNNERS},
            "platform": {"available": True},
            "something_new": 1,
        }
    return operator


def test_status_of_a_healthy_service_needs_no_attention(operator):
    assert operator.run("status") == ExitCode.DONE
    assert "ub-north                3/3        8/8" in operator.text
    assert "nothing needs attention" in operator.text


def test_status_says_what_is_out_behind_or_violated_and_why(operator):
    operator.run("publish")
    states = operator.instances.states
    del states["darkhan-2"]
    states["darkhan-1"]["settings_revision"] = 1
    states["ub-north-1"] |= {"leaving": True, "invariants_violated": {"x": 2}}
    states["ub-south-1"]["upstreams"]["ub-south-runner-3"] = {
        "health": "ejected",
        "reason": "3 failures\x1b[2J",
    }
    states["ub-south-2"] = {"upstreams": 3}
    assert operator.run("status") == ExitCode.FOUND
    for text in (
        "darkhan-2 does not answer: refused",
        "ub-north-1: revision 0 is in effect, not 1",
        "invariant x violated 2 times",
        "upstream ub-south-runner-3: ejected (3 failures?[2J), seen by 1 of 6",
        "ub-south-2 does not answer: a state of another form",
    ):
        assert text in operator.text
    assert "darkhan-1: revision" not in operator.text
    operator.instances.states.clear()
    assert operator.run("status") == ExitCode.UNREACHABLE


def test_drain_reaches_exactly_the_named_instance(operator):
    assert operator.run("drain", "ub-south-2") == ExitCode.DONE
    assert operator.instances.drained == ["ub-south-2"]
    assert "23 s" in operator.text
    assert operator.run("drain", "ub-south-22") == ExitCode.USAGE
    del operator.instances.states["ub-north-1"]
    assert operator.run("drain", "ub-north-1") == ExitCode.UNREACHABLE
    assert len(operator.instances.drained) == 2


def test_trace_shows_files_of_several_instances_together(operator, tmp_path):
    paths = [str(tmp_path / name) for name in ("a", "b")]
    SpanWriter(paths[0]).write(Span("f" * 32, "1", "", "job", 0, 9, "a"))
    SpanWriter(paths[1]).write(Span("f" * 32, "2", "1", "forward", 1, 8, "b"))
    assert operator.run("trace", ",".join(paths), "fff") == ExitCode.DONE
    assert operator.text.index("job [a]") < operator.text.index("forward [b]")
    assert operator.run("trace", "/nowhere") == ExitCode.FOUND


def test_client_asks_the_operators_address():
    server = LoopbackServer()
    try:
        one = InstanceSettings("a", "z", "127.0.0.1:1", "127.0.0.1:2", server.address)
        server.answer(200, {"instance": "a"})
        client = OperatorClient()
        assert client.all_statuses((one,))["a"].unwrap() == {"instance": "a"}
        server.answer(202, {"leaving": True})
        assert client.drain(one).unwrap() == {"leaving": True}
        for status, body in [(500, {}), (200, b"no json"), (200, []), (0, {})]:
            server.answer(status, body)
            assert isinstance(client.status(one), Failure)
        assert server.requests[0][:2] == ("GET", "/status")
        assert server.requests[1][:2] == ("POST", "/drain")
    finally:
        server.stop()


@pytest.mark.parametrize(
    "words",
    [[], ["chek"], ["show"], ["check", "more"], ["--no_such"], ["drain"],
     ["--platform_address=host:1", "check"], ["--service=a b", "fetch"]],
)  # fmt: skip
def test_usage_errors_exit_with_64(words):
    output, errors = io.StringIO(), io.StringIO()
    assert main(["sassafrasloft-admin", *words], output, errors) == 64
    assert errors.getvalue()


def test_program_runs_a_command_and_explains_itself():
    output, errors = io.StringIO(), io.StringIO()
    arguments = ["sassafrasloft-admin", f"--directory={EXAMPLE}", "check"]
    assert main(arguments, output, errors) == 0
    assert main(["sassafrasloft-admin", "--help"], output, errors) == 0
    for word in ("24 runners", "rollback REVISION|FILE", "--edit_id", "conflict"):
        assert word in output.getvalue()
