"""Commands that read log lines: explain, losses."""

import sys
from pathlib import Path

from sassafrasloft.operators.commands import Context, ExitCode, register_command
from sassafrasloft.operators.log_lines import (
    LogLine,
    beliefs_during,
    lines_about,
    read_lines,
    render,
    summary,
)
from sassafrasloft.operators.losses import lost_requests, objectives, render_losses

AROUND_S = 0.2
"""What instances came to believe this long before and after a request is shown."""


@register_command("explain", "[ID] FILE...", least=1, most=1_000)
def explain(context: Context, operands: list[str]) -> ExitCode:
    """Follow an id through log files (- for standard input), or count events."""
    identifier = "" if _is_source(operands[0]) else operands[0]
    sources = operands[1:] if identifier else operands
    lines = _read(sources or ["-"])
    if not identifier:
        context.say(summary(lines))
        return ExitCode.DONE
    found = lines_about(lines, identifier)
    if not found:
        context.note(f"no line names {identifier}: it may have been dropped")
        return ExitCode.FOUND
    context.say(render(found))
    begin, end = found[0].time_s - AROUND_S, found[-1].time_s + AROUND_S
    context.say("\nmeanwhile:")
    context.say(render(beliefs_during(lines, begin, end)))
    return ExitCode.DONE


@register_command("losses", "FILE...", least=1, most=1_000)
def losses(context: Context, operands: list[str]) -> ExitCode:
    """Count requests that were not served in time, by the decision that lost them."""
    lines = _read(operands)
    context.say(render_losses(lost_requests(lines, objectives(lines))))
    return ExitCode.DONE


def _is_source(operand: str) -> bool:
    return operand == "-" or Path(operand).exists()


def _read(sources: list[str]) -> list[LogLine]:
    lines: list[LogLine] = []
    for source in sources:
        if source == "-":
            lines += read_lines(sys.stdin)
        else:
            with Path(source).open(encoding="utf-8", errors="replace") as file:
                lines += read_lines(file)
    return lines
