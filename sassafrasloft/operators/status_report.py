"""The state of all instances as a report for a terminal."""

import attrs
from cattrs import Converter
from cattrs.errors import BaseValidationError
from returns.result import Failure

from sassafrasloft.operators.instances import ValuesResult
from sassafrasloft.settings import ServiceSettings


@attrs.frozen
class UpstreamStatus:
    """A runner as one instance sees it."""

    health: str = "unknown"
    reason: str = ""
    leaving: bool = False
    in_flight: int = 0


@attrs.frozen
class QueueStatus:
    """Waiting work of one instance."""

    waiting_tasks: int = 0
    waiting_jobs: int = 0


@attrs.frozen
class JobsStatus:
    """Unfinished jobs of one instance."""

    running: int = 0


@attrs.frozen
class PlatformStatus:
    """The platform as one instance sees it."""

    available: bool = False
    lease_held: bool = False


@attrs.frozen
class InstanceStatus:
    """What an instance says of itself; fields that it leaves out have a default."""

    instance: str = ""
    zone: str = ""
    incarnation: str = ""
    settings_revision: int = -1
    leaving: bool = False
    upstreams: dict[str, UpstreamStatus] = attrs.field(factory=dict)
    queue: QueueStatus = attrs.field(factory=QueueStatus)
    jobs: JobsStatus = attrs.field(factory=JobsStatus)
    platform: PlatformStatus = attrs.field(factory=PlatformStatus)
    invariants_violated: dict[str, int] = attrs.field(factory=dict)


_CONVERTER = Converter()


def status_of(values: dict[str, object]) -> InstanceStatus | None:
    """Return the state in a reply, or None if it has another form."""
    try:
        return _CONVERTER.structure(values, InstanceStatus)
    except (BaseValidationError, ValueError, TypeError, AttributeError):
        return None


class StatusReport:
    """Puts the replies of all instances together.

    Parameters
    ----------
    settings : ServiceSettings
        Names the instances, zones and runners that should be there.
    replies : dict of str to Result
        By instance name.
    published_revision : int
        -1 if the platform could not be read.
    """

    def __init__(
        self,
        settings: ServiceSettings,
        replies: dict[str, ValuesResult],
        published_revision: int,
    ) -> None:
        self._settings = settings
        self._published = published_revision
        self._silent: dict[str, str] = {}
        self._statuses: dict[str, InstanceStatus] = {}
        self.problems: list[str] = []
        for name, result in replies.items():
            self._take(name, result)
        self._find_problems()

    def _take(self, name: str, result: ValuesResult) -> None:
        if isinstance(result, Failure):
            self._silent[name] = result.failure().found
            return
        status = status_of(result.unwrap())
        if status is None:
            self._silent[name] = "a state of another form"
        else:
            self._statuses[name] = status

    def _find_problems(self) -> None:
        for name, reason in self._silent.items():
            self.problems.append(f"instance {name} does not answer: {reason}")
        for name, status in self._statuses.items():
            if status.instance != name:
                found = f"instance {name}: {status.instance!r} answers at its address"
                self.problems.append(found)
            if 0 <= status.settings_revision < self._published:
                found = f"revision {status.settings_revision} is in effect"
                self.problems.append(f"instance {name}: {found}, not {self._published}")
            if not status.platform.available:
                self.problems.append(f"instance {name}: no answer from the platform")
            for invariant, count in status.invariants_violated.items():
                found = f"invariant {invariant} violated {count} times"
                self.problems.append(f"instance {name}: {found}")
        if self._published < 0:
            self.problems.append("the platform does not answer this tool")
        self.problems.extend(self._upstream_problems())

    def _upstream_problems(self) -> list[str]:
        seen: dict[str, list[str]] = {}
        for name, status in self._statuses.items():
            for runner, upstream in status.upstreams.items():
                words = [upstream.health] if upstream.health != "healthy" else []
                words += ["leaving"] if upstream.leaving else []
                if words:
                    reason = f" ({upstream.reason})" if upstream.reason else ""
                    text = f"upstream {runner}: {', '.join(words)}{reason}"
                    seen.setdefault(text, []).append(name)
        total = len(self._statuses)
        return [
            f"{text}, seen by {len(names)} of {total}: {', '.join(names[:4])}"
            for text, names in seen.items()
        ]

    def render(self) -> str:
        """Return the report: revision, zones, instances, then what needs attention."""
        published = self._published if self._published >= 0 else "not known"
        lines = [
            f"service {self._settings.service}, published revision: {published}",
            "",
        ]
        lines += self._zone_lines() + [""] + self._instance_lines() + [""]
        if self.problems:
            lines.append("needs attention:")
            lines += [f"  {problem}" for problem in self.problems]
        else:
            lines.append("nothing needs attention")
        text = "\n".join(lines) + "\n"
        # Reasons come from runners; control characters could change the terminal.
        return "".join(
            char if char.isprintable() or char == "\n" else "?" for char in text
        )

    def _zone_lines(self) -> list[str]:
        lines = [f"{'zone':<16} {'instances':>10} {'upstreams':>10}"]
        for zone in self._settings.zones:
            names = [one.name for one in self._settings.instances if one.zone == zone]
            up = sum(name in self._statuses for name in names)
            runners = [one.name for one in self._settings.runners if one.zone == zone]
            good = sum(self._is_healthy(name) for name in runners)
            instances, upstreams = f"{up}/{len(names)}", f"{good}/{len(runners)}"
            lines.append(f"{zone:<16} {instances:>10} {upstreams:>10}")
        return lines

    def _is_healthy(self, runner: str) -> bool:
        """Return whether some instance sees the runner and all find it healthy."""
        seen = [
            status.upstreams[runner]
            for status in self._statuses.values()
            if runner in status.upstreams
        ]
        return bool(seen) and all(
            one.health == "healthy" and not one.leaving for one in seen
        )

    def _instance_lines(self) -> list[str]:
        head = f"{'instance':<20} {'zone':<16} {'state':<10} {'revision':>8}"
        lines = [f"{head} {'jobs':>6} {'waiting':>8} {'in flight':>9}"]
        for one in self._settings.instances:
            status = self._statuses.get(one.name)
            if status is None:
                lines.append(f"{one.name:<20} {one.zone:<16} no answer")
                continue
            state = "leaving" if status.leaving else "serving"
            in_flight = sum(up.in_flight for up in status.upstreams.values())
            lines.append(
                f"{one.name:<20} {one.zone:<16} {state:<10}"
                f" {status.settings_revision:>8} {status.jobs.running:>6}"
                f" {status.queue.waiting_tasks:>8} {in_flight:>9}"
            )
        return lines
