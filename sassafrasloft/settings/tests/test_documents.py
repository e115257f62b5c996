"""Tests of the published document, and of the rules of all settings."""

import attrs

from sassafrasloft.settings import (
    MAX_RECENT_EDIT_IDS,
    SourceText,
    check_document,
    parse_document,
    parse_settings,
    render_document,
)
from sassafrasloft.settings.rules import NAMED_SECTIONS, SECTIONS, fields_of
from sassafrasloft.settings.tests.sample import BASE

EDITS = tuple(f"edit-{number}" for number in range(50))


def test_document_keeps_groups_and_applies_the_overlay_of_one_zone():
    overlays = {"south": "limits: {max_jobs: 9}"}
    text = render_document(4, "edit-x", "Oyun", BASE, EDITS, overlays)
    parts = parse_document(text, "south").unwrap()
    assert (parts.revision, parts.edit_id, parts.author) == (4, "edit-x", "Oyun")
    assert parts.recent_edit_ids == EDITS[:MAX_RECENT_EDIT_IDS]
    assert parts.settings.limits.max_jobs == 9
    assert parse_document(text, "north").unwrap().settings.limits.max_jobs == 5_000
    assert "count: 4" in parts.base_text
    repeated = {source.name: source.text for source in parts.overlay_texts}
    again = render_document(4, "edit-x", "Oyun", parts.base_text, EDITS, repeated)
    assert again == text


def test_document_of_settings_is_read_back_unchanged():
    settings = parse_settings([SourceText("base", BASE)]).unwrap()
    parts = parse_document(render_document(1, "e", "a", settings)).unwrap()
    assert parts.settings == settings


def test_document_with_an_invalid_part_is_rejected():
    good = render_document(4, "e", "a", BASE)
    for old, new, key in [
        ("revision: 4", "revision: 0", "revision"),
        ("author: a", "authr: a", "authr"),
        ("edit_id: e", "edit_id: 3", "edit_id"),
        ("recent_edit_ids: []", "recent_edit_ids: {}", "recent_edit_ids"),
        ("lease_ms: 10001", "lease_ms: 1", "platform.lease_ms"),
    ]:
        assert key in [e.key for e in parse_document(good.replace(old, new)).failure()]


def test_overlay_of_any_zone_is_checked_before_publishing():
    for overlays in ({"west": "limits: {max_jobs: 9}"}, {"south": "limit: {}"}):
        text = render_document(1, "e", "a", BASE, (), overlays)
        assert check_document(text).failure()


def test_every_setting_has_a_rule_and_a_default_within_it():
    for section, model in (SECTIONS | NAMED_SECTIONS).items():
        fields = fields_of(section)
        names = {attribute.name for attribute in attrs.fields(model)} - {"name"}
        assert set(fields) == names
        for field in fields.values():
            if field.type in (int, float) and not field.required:
                assert field.rule.minimum <= field.default <= field.rule.maximum
