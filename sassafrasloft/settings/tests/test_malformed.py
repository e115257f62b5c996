"""Guards against malformed files that raise instead of returning typed errors."""

from random import Random

from returns.result import Success

from sassafrasloft.settings import (
    SettingsError,
    SourceText,
    load_settings,
    parse_document,
    parse_settings,
)
from sassafrasloft.settings.tests.sample import BASE

SEED = 20_261
FILES = 200
JUNK = ["[", "}", "*x", "&x 1", "!!python/object:os.x {}", "'", "\t- a", "? [a]: b",
        "9" * 5_000, "0o17", "1:30", "2026-99-99", "\x00", "\ud800", ".inf", "{[1]: 2}",
        "[" * 50, "- " * 50, "a: " * 40, "<<: {a: 1}", "!!binary x", "%YAML 9.9",
        "--- \n...", "null", "~", "|\n  text", "\u2028", "\ufeff"]  # fmt: skip


def mutate_base(random: Random) -> str:
    lines = BASE.splitlines()
    for _ in range(random.randint(1, 4)):
        index = random.randrange(len(lines))
        key, _, value = lines[index].partition(":")
        action = random.randrange(7)
        if action == 0:
            lines[index] = f"{key}: {random.choice(JUNK)}"
        elif action == 1:
            lines[index] = random.choice(JUNK)
        elif action == 2:
            lines.insert(index, lines[index])
        elif action == 3:
            lines[index] = " " * random.randint(0, 7) + lines[index].strip()
        elif action == 4:
            lines[index] = f"{key}x:{value}"
        elif action == 5:
            lines[index] = key
        else:
            line = lines[index]
            cut = random.randrange(len(line) + 1)
            lines[index] = line[:cut] + chr(random.randrange(1, 0x3000)) + line[cut:]
    return "\n".join(lines)


def test_malformed_files_fail_with_typed_errors_only(tmp_path):
    random = Random(SEED)
    path = tmp_path / "base.yaml"
    malformed = tried = 0
    while malformed < FILES:
        tried += 1
        text = mutate_base(random)
        path.write_bytes(text.encode("utf-8", "surrogatepass"))
        result = load_settings(path)
        parse_document(text)
        parse_settings([SourceText("base", BASE), SourceText("site", text)])
        if isinstance(result, Success):
            continue
        malformed += 1
        errors = result.failure()
        assert errors
        for error in errors:
            assert isinstance(error, SettingsError)
            assert error.file == str(path)
            assert error.found
            assert error.remedy
    assert tried < 2 * FILES
