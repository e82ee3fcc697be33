"""Admission of jobs: queue order, rejection and concurrency limits."""

from oriolegauge.admission.admissionqueue import AdmissionQueue, QueueLimits
from oriolegauge.admission.concurrencylimit import ConcurrencyLimit
from oriolegauge.admission.errors import (
    DeadlineUnreachableError,
    HostBusyError,
    QueueFullError,
)
from oriolegauge.admission.hostlink import HostLink
from oriolegauge.admission.job import Job
from oriolegauge.admission.lengthpredictor import LengthPredictor
from oriolegauge.admission.serverslots import ServerSlots

__all__ = (
    'AdmissionQueue',
    'ConcurrencyLimit',
    'DeadlineUnreachableError',
    'HostBusyError',
    'HostLink',
    'Job',
    'LengthPredictor',
    'QueueFullError',
    'QueueLimits',
    'ServerSlots',
)
