"""Submissions: ids, jobs, answers, forwarding, handover and recovery.

Importing this subpackage registers its controllers, which own `board.jobs`.
"""

from sassafrasloft.submissions.authority import AuthorityController
from sassafrasloft.submissions.forwarding import ForwardingController
from sassafrasloft.submissions.handover import HandoverController
from sassafrasloft.submissions.ids import (
    SubmissionId,
    is_genuine,
    owner_key,
    parse_submission_id,
)
from sassafrasloft.submissions.inheritance import InheritanceController
from sassafrasloft.submissions.intake import IntakeController
from sassafrasloft.submissions.recovery import RecoveryController
from sassafrasloft.submissions.refusals import FailureKind
from sassafrasloft.submissions.tasks import TaskController
from sassafrasloft.submissions.waiting import WaitingController

__all__ = [
    "AuthorityController",
    "FailureKind",
    "ForwardingController",
    "HandoverController",
    "IntakeController",
    "InheritanceController",
    "RecoveryController",
    "SubmissionId",
    "TaskController",
    "WaitingController",
    "is_genuine",
    "owner_key",
    "parse_submission_id",
]
