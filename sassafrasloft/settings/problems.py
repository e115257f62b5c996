"""The settings error and the collection of all errors of one load."""

from sassafrasloft.errors import SassafrasloftError, register_error


@register_error("settings_error")
class SettingsError(SassafrasloftError):
    """A settings file or document cannot be used.

    Parameters
    ----------
    file : str
        The file, or the name of the text that was read.
    line : int
        The line, from 1; 0 if the error has no line.
    key : str
        The key with dots between levels, such as ``platform.lease_ms``.
    found : str
        What was found.
    remedy : str
        What to write instead.
    """

    default_remedy = "Correct the named key and run `sassafrasloft-admin check`."

    def __init__(
        self, file: str, line: int, key: str, found: str, remedy: str = ""
    ) -> None:
        self.file = file
        self.line = line
        self.key = key
        place = f"{file}:{line}" if line else file
        super().__init__(f"{place}: {key}" if key else place, found, remedy)


class Problems:
    """Collects the errors of one load, up to `max_errors`."""

    max_errors = 100
    """Keeps an invalid file of 2,600 runners from flooding a terminal."""

    def __init__(self) -> None:
        self._errors: list[SettingsError] = []
        self._count = 0

    @property
    def count(self) -> int:
        """Number of errors that were added, including dropped ones."""
        return self._count

    @property
    def errors(self) -> tuple[SettingsError, ...]:
        """The errors, sorted by file and line."""
        return tuple(sorted(self._errors, key=lambda error: (error.file, error.line)))

    def add(self, file: str, line: int, key: str, found: str, remedy: str = "") -> None:
        """Add one error; it is counted but dropped after `max_errors`."""
        self._count += 1
        if len(self._errors) < self.max_errors:
            self._errors.append(SettingsError(file, line, key, found, remedy))
