"""Control work of one instance: gossip, settings and the platform's list."""

import json
from random import Random
from time import process_time

import attrs

from benchmarks.core_bench import ZONES, CoreBench, service_settings
from benchmarks.slope_fits import Point, Slope, make_slope, register_measurement
from benchmarks.slopes_core import REPEATS, RUNNERS, TEAMS, least
from sassafrasloft.core import PeerMessageReceived
from sassafrasloft.membership import status_values
from sassafrasloft.messages import Gossip, ListedInstance, SettingsDocument
from sassafrasloft.settings import ServiceSettings, parse_document, render_document
from sassafrasloft.settings.rendering import dump_yaml, settings_values

PEERS = (7, 23, 71, 143)
BUSY = (8, 24, 64)
ROUNDS = 12
LARGEST_GROUP = 240
"""Members of a group differ in the last number of their address, up to 255."""

ROUND_MS = 500


@attrs.frozen
class GossipCost:
    """What one second of gossip costs a sender."""

    milliseconds: float
    sent_bytes: float


def gossip_cost(instances: int, runners: int, teams: int, busy: int) -> GossipCost:
    """Return the cost of gossip while every round finds another load."""
    bench = CoreBench(service_settings(instances, runners, teams))
    bench.clear()
    random = Random(1)
    for _ in range(ROUNDS):
        for _ in range(busy):
            team = f"team-{random.randrange(teams)}"
            bench.submit(team, random.randint(1, 4))
        bench.advance(ROUND_MS)
        bench.complete_all()
    seconds = ROUNDS * ROUND_MS / 1_000
    return GossipCost(
        bench.spent_ms("membership.gossip") / seconds,
        bench.peer_bytes.get("Gossip", 0) / seconds,
    )


def _gossip_slopes(
    suffix: str, variable: str, fixed: str, found: list[tuple[int, GossipCost]]
) -> list[Slope]:
    times = [Point(size, cost.milliseconds) for size, cost in found]
    sizes = [Point(size, cost.sent_bytes) for size, cost in found]
    return [
        make_slope(f"gossip_ms_by_{suffix}", variable, "ms a second", fixed, times),
        make_slope(f"gossip_bytes_by_{suffix}", variable, "bytes a s", fixed, sizes),
    ]


@register_measurement("gossip")
def gossip() -> list[Slope]:
    """Measure sending gossip by peers, runners, busy runners and teams."""
    by_peers = [(peers, gossip_cost(peers + 1, 384, 60, 64)) for peers in PEERS]
    by_runners = [(runners, gossip_cost(8, runners, 60, 24)) for runners in RUNNERS]
    by_busy = [(busy, gossip_cost(8, 384, 60, busy)) for busy in BUSY]
    by_teams = [(teams, gossip_cost(8, 384, teams, 64)) for teams in TEAMS]
    return [
        *_gossip_slopes("peers", "peers", "384 runners, 60 teams", by_peers),
        *_gossip_slopes("runners", "runners", "7 peers, 60 teams", by_runners),
        *_gossip_slopes("jobs", "jobs in flight", "7 peers, 384 runners", by_busy),
        *_gossip_slopes("teams", "teams", "7 peers, 384 runners", by_teams),
    ]


def _receive_ms(runners: int) -> float:
    bench = CoreBench(service_settings(8, runners, 230))
    peer = bench.settings.instances[1]
    digest = _names_digest(bench)
    bench.clear()
    for sequence in range(1, ROUNDS + 1):
        loads = tuple(
            number
            for place in range(64)
            for number in (place * 37 % runners, 1 + (place + sequence) % 8)
        )
        teams = tuple(n for place in range(60) for n in (place, 1 + sequence % 5))
        message = Gossip(
            peer.name,
            f"{1:016x}",
            sequence,
            0,
            tables_sequence=sequence,
            notices_sequence=sequence,
            names_digest=digest,
            runner_loads=loads,
            team_loads=teams,
        )
        bench.step(PeerMessageReceived(peer.name, message))
    return bench.spent_ms("PeerMessageReceived") / ROUNDS


def _names_digest(bench: CoreBench) -> str:
    from sassafrasloft.membership.load_tables import NameIndex

    return NameIndex.of(bench.settings).digest


@register_measurement("gossip_received")
def gossip_received() -> list[Slope]:
    """Measure taking one gossip with full tables, by runners."""
    found = [Point(size, least(lambda: _receive_ms(size))) for size in RUNNERS]  # noqa: B023 - called at once
    fixed = "8 instances, 230 teams, 64 runners and 60 teams in the tables"
    return [make_slope("receive_ms_by_runners", "runners", "ms each", fixed, found)]


def with_tokens(settings: ServiceSettings) -> ServiceSettings:
    """Return settings whose teams have tokens of the usual length."""
    teams = tuple(
        attrs.evolve(team, token_sha256=f"{place:064x}")
        for place, team in enumerate(settings.teams)
    )
    return attrs.evolve(settings, teams=teams)


def named_document(runners: int, teams: int, instances: int = 8) -> str:
    """Return a document that names every runner."""
    settings = with_tokens(service_settings(instances, runners, teams))
    return render_document(2, "edit-1", "operator", settings)


def grouped_document(runners: int, teams: int, instances: int = 8) -> str:
    """Return a document with groups of runners in each zone."""
    settings = with_tokens(service_settings(instances, 8, teams))
    values = settings_values(settings)
    in_zone = runners // len(ZONES)
    values["runners"] = {
        f"runner-{zone}-{part}": {
            "count": min(LARGEST_GROUP, in_zone - part * LARGEST_GROUP),
            "rack_size": 24,
            "zone": zone,
            "address": f"10.{place}.{part}.{{n}}:7000",
        }
        for place, zone in enumerate(ZONES)
        for part in range(-(-in_zone // LARGEST_GROUP))
    }
    return render_document(2, "edit-1", "operator", dump_yaml(values))


def parse_ms(text: str) -> float:
    """Return the processor time of checking a document."""
    times = []
    for _ in range(REPEATS):
        begin = process_time()
        parse_document(text, ZONES[0]).unwrap()
        times.append(process_time() - begin)
    return min(times) * 1_000


def adopt_ms(runners: int, teams: int) -> float:
    """Return the processor time of the core for a new document from a peer."""
    settings = with_tokens(service_settings(8, runners, teams))
    bench = CoreBench(settings)
    text = render_document(2, "edit-1", "operator", settings)
    bench.clear()
    peer = settings.instances[1].name
    bench.step(PeerMessageReceived(peer, SettingsDocument(2, text)))
    if bench.board.settings.revision != 2:
        raise RuntimeError("the core did not adopt the measured document")
    return bench.spent_ms("PeerMessageReceived")


@register_measurement("settings")
def settings_documents() -> list[Slope]:
    """Measure size, checking and adopting of a settings document."""
    named = [(size, named_document(size, 230)) for size in RUNNERS]
    grouped = [(size, grouped_document(size, 230)) for size in RUNNERS]
    teams = [(size, named_document(24, size)) for size in TEAMS]
    slopes = []
    for suffix, found, variable, fixed in (
        ("runners_named", named, "runners", "230 teams, each runner named"),
        ("runners_grouped", grouped, "runners", "230 teams, in groups of up to 240"),
        ("teams", teams, "teams", "24 runners, each named"),
    ):
        sizes = [Point(size, len(text.encode())) for size, text in found]
        times = [Point(size, parse_ms(text)) for size, text in found]
        name = f"settings_bytes_by_{suffix}"
        slopes.append(make_slope(name, variable, "bytes", fixed, sizes))
        name = f"settings_parse_ms_by_{suffix}"
        slopes.append(make_slope(name, variable, "ms", fixed, times))
    adopt = [Point(size, adopt_ms(size, 230)) for size in RUNNERS]
    fixed = "230 teams, each runner named, checking included"
    name = "settings_adopt_ms_by_runners"
    return [*slopes, make_slope(name, "runners", "ms", fixed, adopt)]


@register_measurement("list")
def platform_list() -> list[Slope]:
    """Measure the platform's list in the form of its stand-in, by entries."""
    found = []
    for size in RUNNERS:
        entries = [
            attrs.asdict(
                ListedInstance(
                    f"runner-{place:04}",
                    "runner",
                    ZONES[place % 8],
                    f"{place:016x}",
                    "live",
                    "10.0.0.1:7000",
                )
            )
            for place in range(size)
        ]
        found.append(Point(size, len(json.dumps({"entries": entries}).encode())))
    return [make_slope("list_bytes_by_entries", "entries", "bytes", "JSON", found)]


@register_measurement("status")
def status() -> list[Slope]:
    """Measure the status that an instance gives to operators, by runners."""
    found = []
    for runners in RUNNERS:
        bench = CoreBench(service_settings(8, runners, 230))
        size = len(json.dumps(status_values(bench.board)).encode())
        found.append(Point(runners, size))
    name = "status_bytes_by_runners"
    return [make_slope(name, "runners", "bytes", "8 instances, JSON", found)]
