"""The program `sassafrasloft-admin`."""

import sys
import time
from importlib import import_module
from pathlib import Path
from typing import TextIO

from absl import flags

from sassafrasloft.keyvalue import PlatformClient
from sassafrasloft.operators.commands import (
    CallPlatform,
    Context,
    ExitCode,
    Options,
    registered_commands,
)
from sassafrasloft.operators.instances import OperatorClient
from sassafrasloft.operators.policies import known_policies
from sassafrasloft.settings import is_address, is_name

for _module in (
    "settings_commands",
    "publish_commands",
    "instance_commands",
    "explain_commands",
):
    import_module(f"sassafrasloft.operators.{_module}")

HEAD = """\
sassafrasloft-admin: check and publish the settings of a service, and look after
its instances.

  sassafrasloft-admin [--directory=DIR] COMMAND [OPERANDS]

DIR has base.yaml for the whole service, and <zone>.yaml for each availability
zone that differs and stating only what differs. docs/settings.md explains every
key.

Commands:
"""
TAIL = """
To change settings: edit the files, then `check`, `diff` and `publish`. If somebody
else published in between, nothing is overwritten: both edits are shown, and `fetch`
brings theirs.

Exit codes:
   0  done; for check, diff and status: nothing was found
   1  found: errors in the settings, differences, or something needs attention
   2  conflict: somebody else published first; nothing was changed
   3  the platform or the instance does not answer
  64  the command line cannot be used

Flags:
"""

FLAGS = flags.FlagValues()
flags.DEFINE_string("directory", ".", "Directory of the settings.", flag_values=FLAGS)
flags.DEFINE_string(
    "author", "", "Who publishes; your user name by default.", flag_values=FLAGS
)
flags.DEFINE_string(
    "edit_id",
    "",
    "Edit id of a publication whose outcome stayed open, to repeat it.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "service", "", "Name of the service, for `fetch` without files.", flag_values=FLAGS
)
flags.DEFINE_string(
    "platform_address",
    "",
    "IP:port of the platform; from the settings by default.",
    flag_values=FLAGS,
)
flags.DEFINE_integer(
    "timeout_ms",
    3_000,
    "Timeout of one request, in milliseconds.",
    lower_bound=1,
    flag_values=FLAGS,
)


def help_text() -> str:
    """Return what `--help` prints."""
    lines = []
    for command in registered_commands().values():
        words = f"{command.name} {command.operands}".strip()
        meaning = command.meaning.splitlines()
        lines.append(f"  {words:<26} {meaning[0]}")
        lines += [f"{'':<29}{line.strip()}" for line in meaning[2:]]
    return HEAD + "\n".join(lines) + "\n" + TAIL + FLAGS.get_help()


def main(argv: list[str], output: TextIO, errors: TextIO) -> int:
    """Run the program and return its exit code."""
    if any(word in ("--help", "-help", "-h", "--helpfull") for word in argv[1:]):
        print(help_text(), file=output)
        return ExitCode.DONE
    FLAGS.unparse_flags()
    try:
        words = FLAGS(argv)[1:]
    except flags.Error as error:
        return _usage(errors, str(error))
    problem = _problem_of(words)
    if problem:
        return _usage(errors, problem)
    command = registered_commands()[words[0]]
    try:
        return command.run(_context(output, errors), words[1:])
    except KeyboardInterrupt:
        print("Interrupted. `diff` shows what is published.", file=errors)
        return ExitCode.UNREACHABLE


def _problem_of(words: list[str]) -> str:
    commands = registered_commands()
    if not words or words[0] not in commands:
        return f"give one of the commands {', '.join(commands)}"
    command = commands[words[0]]
    if not command.least <= len(words) - 1 <= command.most:
        return f"write `{command.name} {command.operands}".rstrip() + "`"
    if FLAGS.platform_address and not is_address(FLAGS.platform_address):
        return "--platform_address needs IP:port"
    if FLAGS.service and not is_name(FLAGS.service):
        return "--service needs the name of a service"
    return ""


def _context(output: TextIO, errors: TextIO) -> Context:
    timeout_ms = FLAGS.timeout_ms

    def connect(address: str) -> CallPlatform:
        return PlatformClient(address, timeout_ms).call

    return Context(
        options=Options(
            directory=Path(FLAGS.directory),
            author=FLAGS.author,
            edit_id=FLAGS.edit_id,
            service=FLAGS.service,
            platform_address=FLAGS.platform_address,
            timeout_ms=timeout_ms,
        ),
        output=output,
        errors=errors,
        connect=connect,
        instances=OperatorClient(timeout_ms),
        sleep=lambda duration_ms: time.sleep(duration_ms / 1_000),
        known_policies=known_policies(),
    )


def _usage(errors: TextIO, found: str) -> ExitCode:
    print(f"sassafrasloft-admin: {found}. Use --help.", file=errors)
    return ExitCode.USAGE


def run() -> None:
    """Entry point of the program."""
    sys.exit(int(main(sys.argv, sys.stdout, sys.stderr)))
