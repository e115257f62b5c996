"""Command-line program `sassafrasloft-submit`."""

import json
import os
import sys
import time
from enum import IntEnum
from pathlib import Path
from random import SystemRandom
from typing import TextIO

import attrs
from absl import flags
from returns.result import Failure, Result, Success

from sassafrasloft.callers.client import AnswerResult, DispatcherClient
from sassafrasloft.callers.errors import RequestRefused
from sassafrasloft.callers.job_files import JobResult, parse_job
from sassafrasloft.callers.submission import JobSubmission, SubmissionLimits
from sassafrasloft.callers.transport import DEFAULT_TIMEOUT_MS, CallerTransport
from sassafrasloft.clock import SystemClock
from sassafrasloft.errors import MalformedInput
from sassafrasloft.jobs import Answer, Fate, JobSpec
from sassafrasloft.settings import is_address

MAX_JOB_BYTES = 64_000_000
TOKEN_VARIABLE = "SASSAFRASLOFT_TOKEN"
USAGE = """\
sassafrasloft-submit: submit a job of short tasks and wait for its answer.

  sassafrasloft-submit --address=IP:PORT[,IP:PORT...] submit FILE
  sassafrasloft-submit --address=IP:PORT[,IP:PORT...] ask ID
  sassafrasloft-submit --address=IP:PORT[,IP:PORT...] cancel ID

submit  reads a job from FILE, or from standard input if FILE is -, gets a
        submission id, prints it, submits the job and waits for the answer.
ask     waits for the answer of a job that was submitted earlier.
cancel  requests that no further task of a job is started.

A job file:

  {"team": "blaze-checks",
   "tasks": [{"name": "km-1", "payload": "check the blaze at km 1"},
             {"name": "km-2", "payload": "check the blaze at km 2"}]}

Standard output receives JSON lines: {"submission_id": "..."}, then the answer.
If the instance failed and no task ran, the job is resubmitted under a new id.
All ids and answers are printed; the last ones are authoritative.

Keep the submission id. If the program or the connection is interrupted, run

  sassafrasloft-submit --address=... --id=ID submit FILE

with the same file. The job does not run twice: the same id returns the answer
of the first submission. Progress is written to standard error.

The access token of your team is read from --token_file or from the environment
variable SASSAFRASLOFT_TOKEN.

Exit codes:
   0  complete: every task ran and the answer has every result
   1  not run: no task ran; it is safe to submit the job again
   2  may have run: check before you submit the job under a new id
   3  still running, or no answer: use `ask`, or submit again with --id=ID
  64  the command line, the job file or the token file cannot be used

Flags:
"""

FLAGS = flags.FlagValues()
flags.DEFINE_list("address", [], "Addresses of entry instances.", flag_values=FLAGS)
flags.DEFINE_string("token_file", "", "File with the token.", flag_values=FLAGS)
flags.DEFINE_string(
    "id",
    "",
    "Submission id of an earlier attempt to submit this job.",
    flag_values=FLAGS,
)
flags.DEFINE_string("team", "", "Team, if the job file names none.", flag_values=FLAGS)
flags.DEFINE_integer(
    "give_up_ms",
    120_000,
    "Maximum time to wait for the answer, in milliseconds.",
    lower_bound=0,
    flag_values=FLAGS,
)
flags.DEFINE_integer(
    "timeout_ms",
    DEFAULT_TIMEOUT_MS,
    "Timeout of a request in addition to its wait, in milliseconds.",
    lower_bound=1,
    flag_values=FLAGS,
)
flags.DEFINE_bool("quiet", False, "Do not write progress messages.", flag_values=FLAGS)


class ExitCode(IntEnum):
    """Exit codes of the program."""

    COMPLETE = 0
    NOT_RUN = 1
    MAY_HAVE_RUN = 2
    NO_FINAL_ANSWER = 3
    USAGE = 64


MAX_SUBMISSION_IDS = 3

INSTANCE_FAILURE_KINDS = frozenset(("authority_lost", "instance_leaving", "owner_gone"))
"""Error kinds caused by the instance and not by the job. If no task ran, the job is
resubmitted under a new id. Otherwise, a paused instance would fail jobs that only
waited in its socket buffers."""

_EXIT_CODES = {
    Fate.COMPLETE: ExitCode.COMPLETE,
    Fate.NOT_RUN: ExitCode.NOT_RUN,
    Fate.MAY_HAVE_RUN: ExitCode.MAY_HAVE_RUN,
    Fate.RUNNING: ExitCode.NO_FINAL_ANSWER,
}


@attrs.frozen
class Streams:
    """Standard streams of the program."""

    input: TextIO
    output: TextIO
    errors: TextIO

    def write_json_line(self, value: object) -> None:
        """Write a value as a JSON line and flush it, so that it survives an abort."""
        print(json.dumps(value), file=self.output, flush=True)

    def write_message(self, text: str) -> None:
        """Write a message for the user to standard error."""
        print(text, file=self.errors, flush=True)


def read_token(path: str) -> Result[str, MalformedInput]:
    """Read the access token from a file, or from the environment without a path."""
    try:
        text = Path(path).read_text("utf-8") if path else os.environ.get(TOKEN_VARIABLE)
    except (OSError, ValueError) as error:
        found = f"cannot be read ({type(error).__name__})"
        return Failure(MalformedInput(path, found, "Check the path."))
    token = (text or "").strip()
    if not token.isascii() or not token.isprintable() or " " in token:
        found = "not a single line of printable ASCII characters without spaces"
        remedy = "Store nothing but the token there."
        return Failure(MalformedInput(path or TOKEN_VARIABLE, found, remedy))
    return Result.from_value(token)


def read_job(path: str, team: str, streams: Streams) -> JobResult:
    """Read and parse a job from a file, or from standard input if `path` is ``-``."""
    try:
        if path == "-":
            text = streams.input.read(MAX_JOB_BYTES + 1)
        else:
            with open(path, encoding="utf-8") as file:
                text = file.read(MAX_JOB_BYTES + 1)
    except (OSError, ValueError) as error:
        found = f"the file cannot be read ({type(error).__name__})"
        remedy = "Check that the path is right and the file is UTF-8 text."
        return Failure((MalformedInput(path, found, remedy),))
    if len(text) > MAX_JOB_BYTES:
        found = f"more than {MAX_JOB_BYTES} characters"
        return Failure((MalformedInput(path, found, "Split the job."),))
    return parse_job(text, "standard input" if path == "-" else path, team)


class SubmitProgram:
    """Commands of `sassafrasloft-submit`; each returns the exit code."""

    def __init__(self, streams: Streams, submission: JobSubmission) -> None:
        self._streams = streams
        self._submission = submission

    def submit(self, path: str, team: str, submission_id: str) -> ExitCode:
        """Submit a job file and wait for the answer."""
        job = read_job(path, team, self._streams)
        if isinstance(job, Failure):
            for error in job.failure():
                self._streams.write_message(str(error))
            return ExitCode.USAGE
        if submission_id:
            return self._submit_with_id(submission_id, job.unwrap(), is_fresh=False)[0]
        for _ in range(MAX_SUBMISSION_IDS):
            issued = self._submission.new_id()
            if isinstance(issued, Failure):
                return self._report_missing_id(issued.failure())
            code, kind = self._submit_with_id(issued.unwrap(), job.unwrap(), True)
            if code is not ExitCode.NOT_RUN or kind not in INSTANCE_FAILURE_KINDS:
                break
            self._streams.write_message(
                "No task ran. Resubmitting the job under a new id."
            )
        return code

    def _submit_with_id(
        self, submission_id: str, job: JobSpec, is_fresh: bool
    ) -> tuple[ExitCode, str]:
        """Submit under one id; return the exit code and the error kind, if any."""
        self._streams.write_json_line({"submission_id": submission_id})
        result = self._submission.submit(submission_id, job)
        is_first = is_fresh and not self._submission.is_uncertain
        kind = result.unwrap().kind if isinstance(result, Success) else ""
        return self._report_result(result, submission_id, is_first), kind

    def ask(self, submission_id: str) -> ExitCode:
        """Wait for the answer of a job."""
        return self._report_result(self._submission.ask(submission_id), submission_id)

    def cancel(self, submission_id: str) -> ExitCode:
        """Cancel a job and wait for its answer."""
        return self._report_result(
            self._submission.cancel(submission_id), submission_id
        )

    def _report_missing_id(self, error: Exception) -> ExitCode:
        self._streams.write_message(str(error))
        self._streams.write_message(
            "Nothing was submitted: no submission id was issued."
        )
        is_refused = isinstance(error, RequestRefused)
        return ExitCode.NOT_RUN if is_refused else ExitCode.NO_FINAL_ANSWER

    def _report_result(
        self, result: AnswerResult, submission_id: str, is_first: bool = False
    ) -> ExitCode:
        """Write the result and return the exit code.

        `is_first` states that no earlier request can have started the job.
        """
        if isinstance(result, Failure):
            error = result.failure()
            self._streams.write_message(str(error))
            if is_first and isinstance(error, RequestRefused):
                self._streams.write_message("The job was refused and did not run.")
                return ExitCode.NOT_RUN
            self._explain_resume(submission_id)
            return ExitCode.NO_FINAL_ANSWER
        answer = result.unwrap()
        self._streams.write_json_line(attrs.asdict(answer))
        self._describe_answer(answer, submission_id)
        return _EXIT_CODES[answer.fate] if answer.final else ExitCode.NO_FINAL_ANSWER

    def _describe_answer(self, answer: Answer, submission_id: str) -> None:
        if not answer.final:
            self._explain_resume(submission_id)
        elif answer.fate is Fate.COMPLETE:
            self._streams.write_message(f"complete: {len(answer.outcomes)} tasks")
        else:
            outcome = "not run" if answer.fate is Fate.NOT_RUN else "may have run"
            self._streams.write_message(f"{outcome}: {answer.kind}: {answer.detail}")
            self._streams.write_message(answer.remedy)
            if answer.retry_after_ms:
                seconds = answer.retry_after_ms / 1000
                self._streams.write_message(f"Retry after {seconds:.1f} s.")

    def _explain_resume(self, submission_id: str) -> None:
        self._streams.write_message(
            f"The job is not known to have ended. Query it with `ask {submission_id}`, "
            f"or submit the same file with --id={submission_id}: it will not run twice."
        )


def main(argv: list[str], streams: Streams) -> int:
    """Run the program and return its exit code."""
    if any(word in ("--help", "-help", "-h", "--helpfull") for word in argv[1:]):
        print(USAGE + FLAGS.get_help(), file=streams.output)
        return 0
    FLAGS.unparse_flags()
    try:
        arguments = FLAGS(argv)[1:]
    except flags.Error as error:
        return _report_usage_error(streams, str(error))
    if len(arguments) != 2 or arguments[0] not in ("submit", "ask", "cancel"):
        return _report_usage_error(streams, "expected a command and one operand")
    if not FLAGS.address or not all(map(is_address, FLAGS.address)):
        return _report_usage_error(
            streams, "--address needs one or more IP:port, separated by commas"
        )
    token = read_token(FLAGS.token_file)
    if isinstance(token, Failure):
        return _report_usage_error(streams, str(token.failure()))
    transport = CallerTransport(tuple(FLAGS.address), token.unwrap(), FLAGS.timeout_ms)
    submission = JobSubmission(
        DispatcherClient(transport),
        SystemClock(),
        lambda duration_ms: time.sleep(duration_ms / 1000),
        SystemRandom(),
        (lambda line: None) if FLAGS.quiet else streams.write_message,
        SubmissionLimits(
            wait_ms=min(SubmissionLimits().wait_ms, FLAGS.give_up_ms),
            give_up_ms=FLAGS.give_up_ms,
        ),
    )
    program = SubmitProgram(streams, submission)
    try:
        if arguments[0] == "submit":
            return program.submit(arguments[1], FLAGS.team, FLAGS.id)
        return getattr(program, arguments[0])(arguments[1])
    except KeyboardInterrupt:
        streams.write_message(
            "Interrupted. A submitted job continues; use `ask` to get its answer."
        )
        return ExitCode.NO_FINAL_ANSWER
    finally:
        transport.close()


def _report_usage_error(streams: Streams, found: str) -> ExitCode:
    streams.write_message(f"sassafrasloft-submit: {found}. Use --help for usage.")
    return ExitCode.USAGE


def run() -> None:
    """Entry point of the program."""
    sys.exit(int(main(sys.argv, Streams(sys.stdin, sys.stdout, sys.stderr))))
