"""Admission, team quotas, ordering and placement of waiting tasks."""

from sassafrasloft.dispatch.admission import admission_refusal, admissions
from sassafrasloft.dispatch.controllers import DispatchController
from sassafrasloft.dispatch.orders import orders
from sassafrasloft.dispatch.placements import placements

__all__ = [
    "DispatchController",
    "admission_refusal",
    "admissions",
    "orders",
    "placements",
]
