"""The platform's client and sassafrasloft-admin against the stand-in over HTTP."""

import io

import pytest

from sassafrasloft.keyvalue import PlatformClient
from sassafrasloft.messages import (
    GrantLease,
    InstanceList,
    KeyValue,
    LeaseState,
    ListInstances,
    ReadKey,
    RenewLease,
    Unavailable,
    WatchKey,
    WriteConflict,
    WriteKey,
    Written,
)
from sassafrasloft.operators.program import main
from sassafrasloft.operators.tests.test_settings_commands import EXAMPLE
from sassafrasloft.settings import parse_document
from sassafrasloft.standins.platform import PlatformLimits
from sassafrasloft.standins.platform_program import PlatformServer

KEY = "sassafrasloft/markhost/settings"


@pytest.fixture
def server():
    server = PlatformServer("127.0.0.1:0", PlatformLimits())
    server.start()
    yield server
    server.stop()


@pytest.fixture
def client(server):
    client = PlatformClient(server.address, 2_000)
    yield client
    client.close()


def test_client_and_stand_in_have_the_same_form(client):
    assert client.call(ReadKey(KEY)) == KeyValue(KEY, "", 0)
    written = client.call(WriteKey(KEY, "текст\n", 0))
    assert isinstance(written, Written)
    value = KeyValue(KEY, "текст\n", written.revision)
    assert client.call(WatchKey(KEY, 0, 1_000)) == value
    assert client.call(WatchKey(KEY, written.revision, 1)) == value
    conflict = client.call(WriteKey(KEY, "other", written.revision + 1))
    assert conflict == WriteConflict(KEY, written.revision)
    lease = client.call(GrantLease("north-1", "ab", "north", 9_000))
    assert lease == LeaseState(lease.lease_id, True)
    assert client.call(RenewLease(lease.lease_id, True)).held
    assert client.call(RenewLease("unknown")) == LeaseState("unknown", False)
    assert isinstance(client.call(ListInstances()), InstanceList)


def test_an_outage_is_unavailable(server, client):
    server.application.logic.faults.outage = True
    assert client.call(ReadKey(KEY)) == Unavailable("status 503")


def test_publishing_survives_a_lost_answer(server, client, tmp_path):
    for path in EXAMPLE.glob("*.yaml"):
        (tmp_path / path.name).write_text(path.read_text())
    arguments = [
        "sassafrasloft-admin",
        f"--directory={tmp_path}",
        f"--platform_address={server.address}",
        "--timeout_ms=300",
    ]
    server.application.logic.faults.lose_writes = 1
    output, errors = io.StringIO(), io.StringIO()
    assert main([*arguments, "publish"], output, errors) == 0, errors.getvalue()
    assert "published as revision 1" in output.getvalue()
    document = parse_document(client.call(ReadKey(KEY)).value).unwrap()
    assert document.revision == 1
    assert server.application.logic.calls["write"] == 1
    assert main([*arguments, "diff"], output, errors) == 0
