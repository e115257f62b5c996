"""Registries of scheduling policies; decorators register the classes."""

from collections.abc import Callable
from typing import Generic, TypeVar

Policy = TypeVar("Policy")


class PolicyRegistry(Generic[Policy]):
    """Policy classes of one kind by name.

    Parameters
    ----------
    subject : str
        The kind of policy, for error messages.
    """

    def __init__(self, subject: str) -> None:
        self._subject = subject
        self._policies: dict[str, type[Policy]] = {}

    def register(self, name: str) -> Callable[[type[Policy]], type[Policy]]:
        """Return a decorator that registers a policy class under a name."""

        def enter(policy: type[Policy]) -> type[Policy]:
            if name in self._policies:
                raise ValueError(f"{self._subject} {name!r} is registered twice")
            self._policies[name] = policy
            return policy

        return enter

    def create(self, name: str) -> Policy:
        """Return a new policy of the class registered under a name."""
        if name not in self._policies:
            known = ", ".join(sorted(self._policies))
            raise ValueError(f"no {self._subject} {name!r}; known: {known}")
        return self._policies[name]()

    def names(self) -> list[str]:
        """Return the names of all registered policies, sorted."""
        return sorted(self._policies)
