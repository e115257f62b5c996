"""Client library for callers of the dispatcher."""

from sassafrasloft.callers.client import DispatcherClient
from sassafrasloft.callers.errors import RequestRefused, ServiceUnreachable
from sassafrasloft.callers.job_files import parse_job
from sassafrasloft.callers.submission import JobSubmission, SubmissionLimits
from sassafrasloft.callers.transport import CallerTransport, HttpReply

__all__ = [
    "CallerTransport",
    "DispatcherClient",
    "HttpReply",
    "JobSubmission",
    "RequestRefused",
    "ServiceUnreachable",
    "SubmissionLimits",
    "parse_job",
]
