"""Tests of loading a base and an overlay."""

from pathlib import Path

import pytest

from sassafrasloft.settings import (
    SettingsError,
    SourceText,
    load_settings,
    parse_settings,
    render_settings,
)
from sassafrasloft.settings.tests.sample import BASE

POLICIES = {"order": frozenset({"fair_shortest"}), "placement": frozenset({"blind"})}
EXAMPLES = Path(__file__).parents[3] / "examples"


def errors_of(base: str, overlay: str = "") -> tuple[SettingsError, ...]:
    texts = [SourceText("base.yaml", base)]
    if overlay:
        texts.append(SourceText("site.yaml", overlay))
    return parse_settings(texts).failure()


def test_groups_expand_and_one_member_can_differ():
    extra = BASE.replace("  spare:", "  paint-2:\n    slots: 2\n  spare:")
    settings = parse_settings([SourceText("base.yaml", extra)]).unwrap()
    runners = {runner.name: runner for runner in settings.runners}
    assert list(runners) == ["paint-1", "paint-2", "paint-3", "paint-4", "spare"]
    assert runners["paint-3"].address == "127.0.2.3:7500"
    assert runners["paint-3"].rack == "paint-rack-2"
    assert (runners["paint-2"].slots, runners["paint-1"].slots) == (2, 8)


def test_overlay_changes_adds_and_removes_only_what_it_states():
    overlay = "limits: {max_jobs: 7}\nrunners:\n  spare:\n  late: {zone: south, " + (
        "address: '127.0.3.2:7500'}\n"
    )
    texts = [SourceText("base.yaml", BASE), SourceText("site.yaml", overlay)]
    settings = parse_settings(texts).unwrap()
    assert settings.limits.max_jobs == 7
    assert settings.platform.lease_ms == 10_001
    assert [runner.name for runner in settings.runners][-1] == "late"
    assert "spare" not in [runner.name for runner in settings.runners]


@pytest.mark.parametrize(
    ("overlay", "key", "found"),
    [
        ("platform: {lease_ms: 10001}", "platform.lease_ms", "line 6 of base.yaml"),
        ("limits: {max_jobs: 5000}", "limits.max_jobs", "by default"),
        ("runners: {spare: {slots: 4}}", "runners.spare.slots", "states already"),
        ("runners: {paint-1: {zone: north}}", "runners.paint-1.zone", "states"),
        ("service: other", "service", "same at every site"),
    ],
)
def test_overlay_with_a_redundant_value_is_rejected(overlay, key, found):
    (error,) = errors_of(BASE, overlay)
    assert (error.file, error.line, error.key) == ("site.yaml", 1, key)
    assert found in error.found
    assert error.remedy


@pytest.mark.parametrize(
    ("old", "new", "key", "line", "text"),
    [
        ("lease_ms: 10001", "lease_m: 10001", "platform.lease_m", 6, "`lease_ms`"),
        ("lease_ms: 10001", "lease_ms: 10 s", "platform.lease_ms", 6, "Write 10000"),
        ("lease_ms: 10001", "lease_ms: 1", "platform.lease_ms", 6, "out of range"),
        ("lease_ms: 10001", "lease_ms: 0x10", "lease_ms", 6, "decimal"),
        ("lease_ms: 10001", "lease_ms: true", "platform.lease_ms", 6, "not a number"),
        ("lease_ms: 10001", "lease_ms: [1]", "platform.lease_ms", 6, "a list"),
        ("127.0.0.1:7100", "platform:7100", "platform.address", 5, "not IP:port"),
        ("127.0.0.1:7100", "127.0.0.1:0", "platform.address", 5, "not IP:port"),
        ("zone: south", "zone: suoth", "runners.spare.zone", 20, "not in `zones`"),
        ("127.0.3.1:7500", "127.0.2.1:7500", "runners.spare.address", 21, "also"),
        ("max_running: 20", "max_running: nan", "teams.crews.max_running", 25, "'nan'"),
        ("service: markhost", "service: no", "service", 1, "in quotes"),
        ("region: mn-central\n", "", "region", 1, "missing"),
        ("count: 4", "count: 99999", "runners.paint.count", 16, "out of range"),
        ("  spare:", "  paint:", "paint", 19, "already on line 14"),
        ("  spare:", "  north-1:", "instances.north-1", 8, "same name"),
        ("teams:", "telemetry: {log_level: LOUD}\nteams:", "log_level", 23, "DEBUG"),
        ("teams:", "membership: {pause_limit_ms: 20000}\nteams:", "limit_ms", 23, ""),
        ("teams:", "upstreams: {eject_ms: 70000}\nteams:", "eject_ms", 23, "Lower"),
    ],
)  # fmt: skip
def test_each_error_states_line_key_and_remedy(old, new, key, line, text):
    changed = BASE.replace(old, new, 1)
    error = errors_of(changed)[0]
    assert (error.file, error.line) == ("base.yaml", line)
    assert error.key.endswith(key)
    assert text in str(error)


def test_all_errors_are_reported_at_once():
    broken = BASE.replace("slots", "slotz").replace("10001", "x").replace("20", "0")
    assert [error.line for error in errors_of(broken)] == [6, 22, 25]


def test_dropped_errors_still_prevent_caching_of_a_section():
    broken = BASE.replace("count: 4", "count: 300").replace("address: 127.0.2", "a: 1")
    for _ in range(2):
        assert len(errors_of(broken)) == 100
    assert parse_settings([SourceText("base.yaml", BASE)]).unwrap()


def test_unchanged_sections_of_two_versions_are_read_once():
    changed = BASE.replace("max_running: 20", "max_running: 21")
    first, second = (
        parse_settings([SourceText("base", text)]).unwrap() for text in (BASE, changed)
    )
    assert first.runners is second.runners
    assert second.teams[0].max_running == 21


def test_unknown_policy_is_reported_if_known_policies_are_given():
    texts = [SourceText("base.yaml", BASE)]
    (error,) = parse_settings(texts, POLICIES).failure()
    assert error.key == "dispatch.placement"
    assert "blind" in error.remedy


def test_unreadable_files_return_typed_errors(tmp_path):
    big, binary = tmp_path / "big.yaml", tmp_path / "binary.yaml"
    big.write_text(BASE + "#" * 1_000_000)
    binary.write_bytes(b"service: \xff\xfe")
    for path, found in [(big, "bytes"), (binary, "UTF-8"), (tmp_path, "cannot be")]:
        (error,) = load_settings(path).failure()
        assert found in error.found
    assert len(load_settings(tmp_path / "none", binary).failure()) == 2


def test_rendered_settings_load_to_the_same_settings():
    settings = parse_settings([SourceText("base.yaml", BASE)]).unwrap()
    for with_defaults in (False, True):
        text = render_settings(settings, with_defaults)
        assert parse_settings([SourceText("again", text)]).unwrap() == settings


@pytest.mark.parametrize(
    ("name", "zones"),
    [
        ("tsagaan-mod", ("ub-north", "ub-south", "darkhan")),
        ("cestas-colgantes", ("mvd-centro", "mvd-este", "canelones")),
    ],
)
def test_examples_load_with_the_figures_of_the_design_page(name, zones):
    base = EXAMPLES / name / "base.yaml"
    found = sorted(path.stem for path in base.parent.glob("*.yaml"))
    assert found == sorted(("base", *zones))
    plain = load_settings(base).unwrap()
    for zone in zones:
        settings = load_settings(base, base.parent / f"{zone}.yaml").unwrap()
        assert settings != plain
        assert settings.zones == zones
        assert {(r.slots, r.connections) for r in settings.runners} == {(8, 64)}
        racks = [runner.rack for runner in settings.runners]
        assert sorted(racks.count(rack) for rack in set(racks)) == [8, 8, 8]
        assert len(settings.instances) == 8
        assert all(team.token_sha256 for team in settings.teams)
