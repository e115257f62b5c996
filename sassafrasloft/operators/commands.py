"""The commands of `sassafrasloft-admin`, in a registry."""

import getpass
import secrets
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import TextIO

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.clock import Milliseconds
from sassafrasloft.configuration import settings_key
from sassafrasloft.errors import (
    ConfigurationConflict,
    MalformedInput,
    PlatformUnavailable,
    SassafrasloftError,
)
from sassafrasloft.messages import (
    KeyValue,
    PlatformCall,
    PlatformReply,
    ReadKey,
)
from sassafrasloft.operators.instances import OperatorClient
from sassafrasloft.operators.service_files import (
    Errors,
    ServiceFiles,
    read_service,
)
from sassafrasloft.settings.loading import KnownPolicies

CallPlatform = Callable[[PlatformCall], PlatformReply]


class ExitCode(IntEnum):
    """What the program's exit code says."""

    DONE = 0
    FOUND = 1
    """Errors in settings, differences, or a state that needs attention."""
    CONFLICT = 2
    UNREACHABLE = 3
    USAGE = 64


@attrs.frozen
class Options:
    """The flags that commands use.

    Parameters
    ----------
    edit_id : str
        Set to repeat a publication whose outcome is open.
    """

    directory: Path
    author: str = ""
    edit_id: str = ""
    service: str = ""
    platform_address: str = ""
    timeout_ms: Milliseconds = 3_000


@attrs.frozen
class Context:
    """What a command works with.

    Parameters
    ----------
    connect : callable
        Returns the platform's service at an address.
    sleep : callable
        Waits for some milliseconds.
    """

    options: Options
    output: TextIO
    errors: TextIO
    connect: Callable[[str], CallPlatform]
    instances: OperatorClient
    sleep: Callable[[Milliseconds], None]
    known_policies: KnownPolicies | None = None

    def say(self, text: str) -> None:
        """Write to standard output."""
        print(text, file=self.output)

    def note(self, text: str) -> None:
        """Write to standard error."""
        print(text, file=self.errors)

    def report(self, errors: Errors) -> ExitCode:
        """Write errors and return the exit code for the worst of them."""
        for error in errors:
            self.note(str(error))
        if any(isinstance(error, ConfigurationConflict) for error in errors):
            return ExitCode.CONFLICT
        if any(isinstance(error, PlatformUnavailable) for error in errors):
            return ExitCode.UNREACHABLE
        return ExitCode.FOUND

    def read_service(self) -> Result[ServiceFiles, Errors]:
        """Return the settings in the directory."""
        return read_service(self.options.directory, self.known_policies)

    def platform(self, service: ServiceFiles | None) -> CallPlatform:
        """Return the platform that the settings or a flag name."""
        address = self.options.platform_address
        if not address and service is not None:
            address = service.settings.platform.address
        return self.connect(address)

    def read_published(
        self, call: CallPlatform, service_name: str
    ) -> Result[KeyValue, Errors]:
        """Return the published document; an absent one is an empty text."""
        key = settings_key(service_name)
        reply = call(ReadKey(key))
        if isinstance(reply, KeyValue):
            return Success(reply)
        reason = getattr(reply, "reason", type(reply).__name__)
        return Failure((PlatformUnavailable(key, reason),))

    def author(self) -> str:
        """Return who publishes."""
        if self.options.author:
            return self.options.author
        try:
            return getpass.getuser()
        except (OSError, KeyError, ImportError):
            return "unknown"

    def fresh_edit_id(self) -> str:
        """Return the edit id of a flag, or a new one."""
        return self.options.edit_id or f"edit-{secrets.token_hex(8)}"


Command = Callable[[Context, list[str]], ExitCode]


@attrs.frozen
class RegisteredCommand:
    """A command and its operands."""

    name: str
    operands: str
    meaning: str
    run: Command
    least: int
    most: int


_COMMANDS: dict[str, RegisteredCommand] = {}


def register_command(
    name: str, operands: str = "", least: int = 0, most: int = 0
) -> Callable[[Command], Command]:
    """Return a decorator that enters a command; its doc comment is its help."""

    def enter(command: Command) -> Command:
        meaning = (command.__doc__ or "").strip()
        entry = RegisteredCommand(name, operands, meaning, command, least, most)
        _COMMANDS[name] = entry
        return command

    return enter


def registered_commands() -> dict[str, RegisteredCommand]:
    """Return the commands by name, in order of registration."""
    return dict(_COMMANDS)


def usage_error(subject: str, found: str, remedy: str) -> SassafrasloftError:
    """Return an error about an operand."""
    return MalformedInput(subject, found, remedy)
