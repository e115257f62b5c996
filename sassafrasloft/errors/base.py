"""Base class of all errors and the registry of error kinds."""

from collections.abc import Callable
from typing import ClassVar, TypeVar

_KINDS: dict[str, type["SassafrasloftError"]] = {}


class SassafrasloftError(Exception):
    """Base class of all errors: a kind, a subject, a finding and a remedy.

    Parameters
    ----------
    subject : str
        The field, file, instance or task that the error concerns.
    found : str
        What is wrong with the subject.
    remedy : str
        How to resolve the error. Defaults to `default_remedy` of the kind.
    """

    kind: ClassVar[str] = "error"
    default_remedy: ClassVar[str] = "Report this with the log lines around it."

    def __init__(self, subject: str, found: str, remedy: str = "") -> None:
        self.subject = subject
        self.found = found
        self.remedy = remedy or self.default_remedy
        super().__init__(f"{self.kind}: {subject}: {found}. {self.remedy}")


ErrorClass = TypeVar("ErrorClass", bound=type[SassafrasloftError])


def register_error(kind: str) -> Callable[[ErrorClass], ErrorClass]:
    """Return a class decorator that registers an error class as `kind`."""

    def register(error_class: ErrorClass) -> ErrorClass:
        if kind in _KINDS:
            raise ValueError(f"error kind {kind!r} is registered twice")
        error_class.kind = kind
        _KINDS[kind] = error_class
        return error_class

    return register


def error_kinds() -> dict[str, type[SassafrasloftError]]:
    """Return the registered error classes by kind, in order of registration."""
    return dict(_KINDS)
