"""Counters and samples that the decision core records for metrics."""

import attrs


@attrs.define
class Counters:
    """Named counters, and samples that the I/O layer moves into histograms.

    Parameters
    ----------
    values : dict of str to int
        Counters by name, such as ``messages_forward``.
    samples : list of tuple of str and int
        Histogram name and value in milliseconds. At most `max_samples` are held
        until the I/O layer collects them; beyond that the older half is dropped.
    """

    max_samples: int = 10_000
    values: dict[str, int] = attrs.field(factory=dict)
    samples: list[tuple[str, int]] = attrs.field(factory=list)

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter by an amount."""
        self.values[name] = self.values.get(name, 0) + amount

    def sample(self, name: str, value_ms: int) -> None:
        """Record a sample for a histogram."""
        if len(self.samples) >= self.max_samples:
            del self.samples[: self.max_samples // 2]
        self.samples.append((name, value_ms))
