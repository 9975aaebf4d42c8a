"""Structured logs."""

import logging
import sys

from loguru import logger

__all__ = ["configure_logging"]

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[node]} "
    "request={extra[request_id]} step={extra[step]} peer={extra[peer]} {message}"
)


def configure_logging(*, node_name: str, level: str, log_format: str) -> None:
    """Send the logs of this process to standard error.

    Parameters
    ----------
    node_name : str
        Name that every line carries.
    level : str
        Lowest level that is logged.
    log_format : {"text", "json"}
        Format of each line.
    """
    logger.remove()
    logger.configure(extra={"node": node_name, "request_id": "-", "step": "-", "peer": "-"})
    logger.add(
        sys.stderr,
        level=level,
        format=_TEXT_FORMAT,
        serialize=log_format == "json",
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)


class _LoguruHandler(logging.Handler):
    """Forwards records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).log(record.levelname, record.getMessage())
