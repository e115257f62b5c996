"""Submission ids: text form, check, issue and expiry."""

import hashlib
import hmac

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard
from sassafrasloft.errors import MalformedInput
from sassafrasloft.state import SubmissionLedger

CHECK_BYTES = 8
"""64 bits: guessing one needs far more requests than an id is valid for."""

MAX_ID_LENGTH = 200
"""Characters; longer texts are refused before they are taken apart."""

MAX_KEY_BYTES = 64
"""The longest key that BLAKE2b takes."""


@attrs.frozen
class SubmissionId:
    """The fields of a submission id.

    Parameters
    ----------
    instance, incarnation : str
        Who issued the id; only that incarnation or its heir may start its tasks.
    serial : int
        Counts the ids of the incarnation from 1.
    issued_ms : Milliseconds
        By the issuer's clock.
    check : str
        Keyed hash over the other fields and the team, in hexadecimal.
    """

    instance: str
    incarnation: str
    serial: int
    issued_ms: Milliseconds
    check: str

    @property
    def owner(self) -> str:
        """The incarnation that issued the id, as ``instance.incarnation``."""
        return owner_key(self.instance, self.incarnation)

    @property
    def text(self) -> str:
        """The form that callers see."""
        return f"{self.owner}.{self.serial}.{self.issued_ms}.{self.check}"


def owner_key(instance: str, incarnation: str) -> str:
    """Return the key of an incarnation in ledgers, heirs and fences."""
    return f"{instance}.{incarnation}"


def parse_submission_id(text: str) -> Result[SubmissionId, MalformedInput]:
    """Take the text form of a submission id apart, without checking it."""
    fields = text.rsplit(".", 4) if len(text) <= MAX_ID_LENGTH else []
    numbers = [one for one in fields[2:4] if one.isascii() and one.isdigit()]
    if len(fields) != 5 or len(numbers) != 2 or not all(fields):
        return Failure(
            MalformedInput(
                "submission_id",
                f"{text[:MAX_ID_LENGTH]!r} is not a submission id",
                "Use an id from POST /v1/submission-ids or from an answer.",
            )
        )
    instance, incarnation, serial, issued_ms, check = fields
    return Success(
        SubmissionId(instance, incarnation, int(serial), int(issued_ms), check)
    )


def check_text(secret: bytes, submission_id: SubmissionId, team: str) -> str:
    """Return the check of an id's other fields and its team."""
    content = (
        f"{submission_id.owner}.{submission_id.serial}.{submission_id.issued_ms}.{team}"
    )
    digest = hashlib.blake2b(
        content.encode(), digest_size=CHECK_BYTES, key=secret[:MAX_KEY_BYTES]
    )
    return digest.hexdigest()


def is_genuine(
    ledger: SubmissionLedger, submission_id: SubmissionId, team: str
) -> bool:
    """Return whether the ledger's incarnation issued the id to this team."""
    expected = check_text(ledger.secret, submission_id, team)
    return hmac.compare_digest(expected.encode(), submission_id.check.encode())


def expiry_ms(
    board: Blackboard, ledger: SubmissionLedger, submission_id: SubmissionId
) -> Milliseconds:
    """Return when an id expires, by this instance's clock."""
    validity_ms = board.settings.service.limits.id_validity_ms
    return submission_id.issued_ms + ledger.clock_offset_ms + validity_ms


def own_ledger(board: Blackboard) -> SubmissionLedger:
    """Return the ledger of the own incarnation; made when it is first needed.

    After a pause the incarnation changes within a step, so that a request of
    the same step may come before the event that says so.
    """
    identity = board.identity
    key = owner_key(identity.instance, identity.incarnation)
    ledger = board.jobs.ledgers.get(key)
    if ledger is None:
        ledger = SubmissionLedger(secret=identity.secret)
        board.jobs.ledgers[key] = ledger
    return ledger


def issues_ids(board: Blackboard) -> bool:
    """Return whether this instance still gives out ids."""
    return not board.jobs.draining and not board.peers.leaving


def issue_id(board: Blackboard, team: str) -> str:
    """Return the text of a fresh id of the own incarnation for a team."""
    ledger = own_ledger(board)
    ledger.last_serial += 1
    blank = SubmissionId(
        board.identity.instance,
        board.identity.incarnation,
        ledger.last_serial,
        board.now,
        "",
    )
    return attrs.evolve(blank, check=check_text(ledger.secret, blank, team)).text
