"""Checks before a request is served, shared by all endpoints."""

from collections.abc import Callable

from loguru import logger
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response

from flamingoshelf.callers._authentication import Caller, KeyFilter, authenticate, read_key
from flamingoshelf.callers._bodies import read_body
from flamingoshelf.callers._completion_run import RefusedError
from flamingoshelf.callers._problems import problem_response
from flamingoshelf.objects import Catalog
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.telemetry import Metrics

__all__ = ["Admission"]


class Admission:
    """Authentication, reading of bodies and refusals, shared by all endpoints.

    Parameters
    ----------
    catalog : callable
        Returns the catalog in force.
    accepts_keys : callable
        Returns whether the catalog is recent enough to accept its keys.
    metrics : Metrics
        Counters of refusals.
    max_body_bytes : int
        Maximum size of a request body.
    """

    def __init__(
        self,
        *,
        catalog: Callable[[], Catalog],
        accepts_keys: Callable[[], bool],
        metrics: Metrics,
        max_body_bytes: int,
    ) -> None:
        self._catalog = catalog
        self._accepts_keys = accepts_keys
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes

    @property
    def catalog(self) -> Catalog:
        """The catalog in force."""
        return self._catalog()

    @property
    def key_filter(self) -> KeyFilter:
        """Filter that removes the keys of the catalog in force."""
        return KeyFilter(catalog=self._catalog())

    def authenticate(self, request: Request) -> Result[Caller, Refusal]:
        """Return the caller of `request`, or a refusal."""
        if not self._accepts_keys():
            return Err(_stale_configuration())
        return authenticate(read_key(request.headers.items()), self._catalog())

    async def read_body(self, request: Request) -> Result[bytes, Refusal]:
        """Return the body of `request`, or a refusal."""
        outcome = await read_body(request, max_bytes=self._max_body_bytes)
        if isinstance(outcome, Ok) and self.key_filter.contains_key(outcome.ok_value):
            return Err(_key_in_body())
        return outcome

    def refuse(self, refusal: Refusal) -> Response:
        """Count `refusal` and return its response."""
        self._metrics.count_refusal(refusal.reason)
        return problem_response(refusal)

    async def answer_failure(self, request: Request, error: Exception) -> Response:
        """Log the error of a failed handler and return an internal error."""
        if isinstance(error, RefusedError):
            logger.bind(step=error.step, peer=error.peer).info("answer aborted: {}", error.message)
            return self.refuse(_internal_error())
        logger.opt(exception=error).bind(step="answer").error(
            "request handler failed: {}", request.url.path
        )
        return self.refuse(_internal_error())


def _internal_error() -> Refusal:
    return Refusal(
        reason=RefusalReason.INTERNAL_ERROR,
        status=500,
        detail="The node failed while it served the request.",
        not_run=False,
        step="answer",
    )


def _stale_configuration() -> Refusal:
    return Refusal(
        reason=RefusalReason.CONFIGURATION_STALE,
        status=503,
        detail="This node can't confirm that its configuration is the newest.",
        not_run=True,
        retry_after_s=2.0,
        step="authenticate",
    )


def _key_in_body() -> Refusal:
    return Refusal(
        reason=RefusalReason.MALFORMED_REQUEST,
        status=400,
        detail="The body contains a key. Keys belong into the Authorization header only.",
        not_run=True,
        step="read",
    )
