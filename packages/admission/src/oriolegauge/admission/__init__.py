"""Admission of jobs: queue order, rejection and concurrency limits."""

from oriolegauge.admission.admissionqueue import AdmissionQueue, QueueLimits
from oriolegauge.admission.concurrencylimit import ConcurrencyLimit
from oriolegauge.admission.errors import (
    CapacityShortError,
    DeadlineUnreachableError,
    HostBusyError,
    QueueFullError,
)
from oriolegauge.admission.gatedrequest import GatedRequest
from oriolegauge.admission.hostlink import HostLink
from oriolegauge.admission.job import Job
from oriolegauge.admission.lengthpredictor import LengthPredictor
from oriolegauge.admission.loadgate import LoadGate
from oriolegauge.admission.serverslots import ServerSlots

__all__ = (
    'AdmissionQueue',
    'CapacityShortError',
    'ConcurrencyLimit',
    'DeadlineUnreachableError',
    'GatedRequest',
    'HostBusyError',
    'HostLink',
    'Job',
    'LengthPredictor',
    'LoadGate',
    'QueueFullError',
    'QueueLimits',
    'ServerSlots',
)
