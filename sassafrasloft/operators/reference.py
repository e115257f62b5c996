"""The reference pages docs/settings.md and docs/errors.md, made from the code.

``python -m sassafrasloft.operators.reference`` writes both; a test compares.
"""

import ast
import inspect
import itertools
import pkgutil
from importlib import import_module
from pathlib import Path

import attrs

import sassafrasloft
from sassafrasloft.errors import error_kinds
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.instance.tuning_file import registered_checks as tuning_checks
from sassafrasloft.settings.cross_checks import registered_checks
from sassafrasloft.settings.rules import (
    NAMED_SECTIONS,
    SECTIONS,
    Field,
    fields_of,
    unit_of,
)

DOCS = Path(sassafrasloft.__file__).parents[1] / "docs"
MADE = "This page is made by `make reference`; edit the code instead."

SETTINGS_HEAD = f"""\
# Settings

{MADE}

One file, `base.yaml`, describes the whole service. A file `<zone>.yaml` beside it
is the overlay of an availability zone and states only what differs there: a value
that the base states already, or that is the default, is an error. In an overlay,
an instance, runner or team without a value is removed at that site. The service's
name, region and zones can only be stated in the base. `sassafrasloft-admin check`
checks all files and lists all errors at once.

Durations are whole numbers of milliseconds without a unit; the end of a key names
its unit. Addresses are `IP:port`, never names. Aliases (`*x`) and files of over
1 MB are refused.

## Groups

An entry of `instances` or `runners` that has the key `count` is a group:

```yaml
runners:
  ub-north-runner:
    zone: ub-north
    count: 8
    rack_size: 8
    address: 127.1.1.{{n}}:7500
  ub-north-runner-3:
    slots: 4
```

This makes `ub-north-runner-1` to `ub-north-runner-8`. `{{n}}` stands for the number,
which starts at `first` (1 by default). `rack_size` (runners only) puts that many
members in a rack, named `ub-north-runner-rack-1` and so on. An entry with the name
of a member changes that member.
"""

TUNING_HEAD = """\
## Tunables of instances on a platform

Instances that `platform/serve.py` runs take their addresses and limits from the file
that the platform gives them. Their own times and limits can be set in a YAML file, a
mapping of these keys, that `--tuning` names; what it does not state has its default.
`--check` reads both files and lists all errors at once (exit status 2).

"""

ERRORS_HEAD = f"""\
# Error kinds

{MADE}

Every error states its kind, what it is about, what was found and the remedy. The
remedy below is the general one of the kind; most errors name a more specific one.

| kind | meaning | remedy |
|---|---|---|
"""


def settings_reference() -> str:
    """Return the text of docs/settings.md."""
    parts = [SETTINGS_HEAD, "## Top level\n", _table("")]
    for section in NAMED_SECTIONS:
        title = f"## {section}\n\nA mapping from names to these keys.\n"
        parts += [title, _table(section)]
    for section, model in SECTIONS.items():
        parts += [f"## {section}\n\n{_first_line(model)}\n", _table(section)]
    checks = "\n".join(
        f"- {sentence[:1].upper()}{sentence[1:]}"
        for sentence in map(_sentence, registered_checks())
    )
    parts.append(f"## Checks across settings\n\n{checks}\n")
    parts.append(tuning_reference())
    return "\n".join(parts)


def errors_reference() -> str:
    """Return the text of docs/errors.md with the kinds of all subpackages."""
    _import_all()
    kinds = sorted(error_kinds().items())
    rows = [
        f"| `{kind}` | {_paragraph(error)} | {error.default_remedy} |"
        for kind, error in kinds
    ]
    return ERRORS_HEAD + "\n".join(rows) + "\n"


def _import_all() -> None:
    """Import every module, so that every error kind is registered."""
    for module in pkgutil.walk_packages(sassafrasloft.__path__, "sassafrasloft."):
        if ".tests" not in module.name and not module.name.endswith("__main__"):
            import_module(module.name)


def _paragraph(subject: object) -> str:
    text = inspect.getdoc(subject) or ""
    return " ".join(text.split("\n\nParameters")[0].split())


def _first_line(subject: object) -> str:
    return (inspect.getdoc(subject) or "").split("\n")[0]


def _sentence(subject: object) -> str:
    text = inspect.getdoc(subject) or ""
    return " ".join(text.split("\n\n")[0].split()).removeprefix("Check that ")


def tuning_reference() -> str:
    """Return the section about the tunables of instances on a platform."""
    rows = [
        "| key | unit | default | where the figure comes from |",
        "|---|---|---|---|",
    ]
    reasons = _attribute_comments(Tuning)
    for field in attrs.fields(Tuning):
        reason = reasons.get(field.name, "")
        unit = unit_of(field.name)
        rows.append(f"| `{field.name}` | {unit} | `{field.default}` | {reason} |")
    checks = [f"- `{one.field}`: {one.remedy}" for one in tuning_checks()]
    return TUNING_HEAD + "\n".join(rows) + "\n\n" + "\n".join(checks) + "\n"


def _attribute_comments(model: type) -> dict[str, str]:
    """Return the text that follows each attribute in the source of a class."""
    body = ast.parse(inspect.getsource(model)).body[0].body
    return {
        one.target.id: " ".join(ast.literal_eval(text.value).split())
        for one, text in itertools.pairwise(body)
        if isinstance(one, ast.AnnAssign)
        and isinstance(text, ast.Expr)
        and isinstance(text.value, ast.Constant)
    }


def _table(section: str) -> str:
    rows = ["| key | unit | default | allowed | meaning |", "|---|---|---|---|---|"]
    for key, field in fields_of(section).items():
        default = "required" if field.required else f"`{_default(field)}`"
        allowed = _allowed(field)
        meaning = field.rule.meaning
        rows.append(f"| `{key}` | {unit_of(key)} | {default} | {allowed} | {meaning} |")
    return "\n".join(rows) + "\n"


def _default(field: Field) -> str:
    return str(field.default) if field.default != "" else '""'


def _allowed(field: Field) -> str:
    rule = field.rule
    if field.type in (int, float):
        return f"{rule.minimum:,g} to {rule.maximum:,.10g}"
    if rule.choices:
        return ", ".join(rule.choices)
    forms = {
        "address": "IP:port",
        "name": "letters, digits, - and _",
        "policy": "a registered policy",
        "sha256": "64 hexadecimal digits",
    }
    return forms.get(rule.form, "text")


def pages() -> dict[Path, str]:
    """Return the text of each page by its path."""
    return {
        DOCS / "settings.md": settings_reference(),
        DOCS / "errors.md": errors_reference(),
    }


if __name__ == "__main__":
    for page, content in pages().items():
        page.write_text(content, "utf-8")
