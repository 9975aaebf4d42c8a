"""Explains the outcome of a request from the logs of the nodes."""

from flamingoshelf.diagnosis._cause import Explanation, explain
from flamingoshelf.diagnosis._records import LogRecord, parse_record, read_records
from flamingoshelf.diagnosis._trail import RequestTrail, collect_trail

__all__ = [
    "Explanation",
    "LogRecord",
    "RequestTrail",
    "collect_trail",
    "explain",
    "parse_record",
    "read_records",
]
