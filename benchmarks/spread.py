"""Compares ways in which news spreads between instances, in rounds.

Usage: python -m benchmarks.spread (writes benchmarks/results/spread.json)

A round is one gossip period. Four ways: a watch on the platform for each
instance; one watcher a zone that forwards to its zone; and flooding over a few
links a topic from one watcher a zone, with the links of each topic drawn at
random, or shared between topics. Shared links follow Matos, Felber, Oliveira,
Pereira and Riviere, "Scaling up publish/subscribe overlays using interest
correlation for link sharing": the weight of a pair is a hash of both names, and
each node keeps the first ones by weight in every topic that it takes part in.
"""

import json
import sys
from collections.abc import Iterable, Sequence
from hashlib import blake2b
from pathlib import Path
from random import Random

import attrs

RESULTS = Path(__file__).parent / "results" / "spread.json"
COMMAND = "python -m benchmarks.spread"
ROUND_MS = 500
SILENT_ROUNDS = 6
"""`peer_silence_ms` in rounds: then another instance of a zone watches."""
LINKS = 3
ZONES, REGIONS = 8, 2
SEEDS = 20
SIZES = (72, 560)
FAULTS = ("none", "watcher lost", "zone lost", "zone cut from platform")


@attrs.frozen
class Node:
    """One instance."""

    name: str
    zone: int

    @property
    def topics(self) -> tuple[str, ...]:
        """Settings, leaving and faulty runners, and the zone's free capacity."""
        region = self.zone * REGIONS // ZONES
        return (
            "settings",
            f"leaving-{region}",
            f"faulty-{region}",
            f"free-{self.zone}",
        )


Links = dict[str, dict[str, set[str]]]
"""Neighbours by topic and node; a link carries messages both ways."""


@attrs.frozen
class Spread:
    """What one change of the settings costs: rounds until all reachable ones know.

    `unreached` counts live instances that are never told, over all seeds;
    notices and documents are means an instance, links its distinct peers.
    """

    instances: int
    way: str
    fault: str
    rounds: float
    worst_rounds: int
    unreached: int
    notices: float
    documents: float
    most_documents: int
    platform_reads: int
    links: float
    most_links: int


@attrs.define
class Run:
    """The course of one change."""

    rounds: int = 0
    unreached: int = 0
    notices: int = 0
    documents: int = 0
    sent: dict[str, int] = attrs.field(factory=dict)
    platform_reads: int = 0


def make_nodes(count: int) -> list[Node]:
    """Return instances spread evenly over the zones."""
    return [Node(f"entry-{n:03}", n % ZONES) for n in range(count)]


def pair_weight(one: str, other: str) -> bytes:
    """Return the weight of a pair of nodes, the same from both sides."""
    text = min(one, other) + max(one, other)
    return blake2b(text.encode(), digest_size=8).digest()


def members(nodes: Iterable[Node]) -> dict[str, list[str]]:
    """Return the names of the nodes of each topic."""
    found: dict[str, list[str]] = {}
    for node in nodes:
        for topic in node.topics:
            found.setdefault(topic, []).append(node.name)
    return found


def make_links(nodes: Sequence[Node], random: Random | None) -> Links:
    """Return the links of every topic: drawn, or by weight if `random` is None."""
    links: Links = {}
    for topic, names in members(nodes).items():
        table = links[topic] = {name: set() for name in names}
        for name in names:
            others = [other for other in names if other != name]
            if random is not None:
                random.shuffle(others)
            else:
                others.sort(key=lambda other: pair_weight(name, other))  # noqa: B023 - used at once
            for other in others[:LINKS]:
                table[name].add(other)
                table[other].add(name)
    return links


def peers_of(links: Links) -> dict[str, set[str]]:
    """Return the distinct peers of each node over all topics."""
    found: dict[str, set[str]] = {}
    for table in links.values():
        for name, others in table.items():
            found.setdefault(name, set()).update(others)
    return found


def _watchers(nodes: Sequence[Node]) -> dict[int, str]:
    watchers: dict[int, str] = {}
    for node in nodes:
        watchers.setdefault(node.zone, node.name)
    return watchers


def _lost(nodes: Sequence[Node], fault: str) -> set[str]:
    zone = {node.name for node in nodes if node.zone == 0}
    return {"watcher lost": {nodes[0].name}, "zone lost": zone}.get(fault, set())


def watch_each(nodes: Sequence[Node], fault: str) -> Run:
    """Let every instance learn a change from its own watch."""
    live = [node for node in nodes if node.name not in _lost(nodes, fault)]
    cut = [node for node in live if fault == FAULTS[3] and node.zone == 0]
    reads = len(live) - len(cut)
    return Run(1, len(cut), platform_reads=reads)


def watch_zone(nodes: Sequence[Node], fault: str) -> Run:
    """Let one instance a zone learn a change and forward the document."""
    lost = _lost(nodes, fault)
    live = [node for node in nodes if node.name not in lost]
    run = Run(rounds=2)
    for zone, watcher in _watchers(live).items():
        size = sum(node.zone == zone for node in live)
        if fault == FAULTS[3] and zone == 0:
            run.unreached += size
            continue
        run.platform_reads += 1
        run.documents += size - 1
        run.sent[watcher] = size - 1
        if watcher != _watchers(nodes)[zone]:
            run.rounds = max(run.rounds, SILENT_ROUNDS + 2)
    return run


def flood(nodes: Sequence[Node], links: Links, fault: str) -> Run:
    """Let one instance a zone learn a change, and each tell its neighbours once."""
    lost = _lost(nodes, fault)
    table = links["settings"]
    watchers = _watchers(nodes)
    if fault == FAULTS[3]:
        del watchers[0]
    fresh = [name for name in watchers.values() if name not in lost]
    known = set(fresh)
    run = Run(rounds=1, platform_reads=len(fresh))
    while fresh:
        learnt: list[str] = []
        for name in fresh:
            for other in sorted(table[name] - lost):
                run.notices += 1
                if other not in known:
                    known.add(other)
                    learnt.append(other)
                    run.documents += 1
                    run.sent[name] = run.sent.get(name, 0) + 1
        fresh = learnt
        run.rounds += bool(learnt)
    run.unreached = len(nodes) - len(lost) - len(known)
    return run


def summarise(
    size: int, way: str, fault: str, runs: Sequence[Run], peers: Sequence[int]
) -> Spread:
    """Return the means and extremes of the runs of one way."""
    count = len(runs)
    return Spread(
        size,
        way,
        fault,
        round(sum(run.rounds for run in runs) / count, 2),
        max(run.rounds for run in runs),
        sum(run.unreached for run in runs),
        round(sum(run.notices for run in runs) / count / size, 2),
        round(sum(run.documents for run in runs) / count / size, 2),
        max(max(run.sent.values(), default=0) for run in runs),
        max(run.platform_reads for run in runs),
        round(sum(peers) / len(peers), 2),
        max(peers),
    )


def compare(size: int, fault: str) -> list[Spread]:
    """Return the four ways under one fault."""
    nodes = make_nodes(size)
    drawn = [make_links(nodes, Random(seed)) for seed in range(SEEDS)]
    shared = make_links(nodes, None)
    in_zone = [size // ZONES - 1]
    found = [summarise(size, "watch each", fault, [watch_each(nodes, fault)], [0])]
    run = watch_zone(nodes, fault)
    found.append(summarise(size, "watcher a zone", fault, [run], in_zone))
    for way, choices in (("links a topic", drawn), ("shared links", [shared])):
        runs = [flood(nodes, links, fault) for links in choices]
        peers = [len(one) for links in choices for one in peers_of(links).values()]
        found.append(summarise(size, way, fault, runs, peers))
    return found


def main() -> int:
    """Compare, print and write."""
    found = [one for n in SIZES for fault in FAULTS for one in compare(n, fault)]
    for one in found:
        print(*attrs.astuple(one), sep="\t")
    values = {"command": COMMAND, "spreads": [attrs.asdict(one) for one in found]}
    RESULTS.write_text(json.dumps(values, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
