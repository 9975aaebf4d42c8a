"""One call to one server of a plain service."""

import asyncio
from contextlib import AsyncExitStack

import attrs

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.gateway._backend_response import BackendResponse, SendProgress
from flamingoshelf.gateway._wire import BackendCall
from flamingoshelf.http1 import Exchange, ResponseHead
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import now_s, release_frames

__all__ = ["PlainAnswer", "PlainAttempt"]

_MAX_BUFFERED_BYTES = 256 * 1024  # larger answers are streamed to the caller as they arrive
_FAILURE_STATUSES = frozenset({500, 502, 503, 504})


@attrs.frozen(kw_only=True)
class PlainAnswer:
    """A server's answer, or the beginning of a large one.

    Parameters
    ----------
    head : ResponseHead
        Status and headers.
    body : bytes
        The body as far as it was received.
    rest : BackendResponse or None
        Source of the rest of a large body, or None if the body is complete.
    """

    head: ResponseHead
    body: bytes
    rest: BackendResponse | None = None

    @property
    def is_failure(self) -> bool:
        """Whether the status is a server failure that another server may not have."""
        return self.head.status in _FAILURE_STATUSES


class PlainAttempt:
    """A running call to one server; the caller gets nothing of its answer before `relay`.

    Parameters
    ----------
    client : BackendClient
        Sends the call.
    request : AdmittedRequest
        Request of the caller.
    call : BackendCall
        Server and time left.
    overdue_after_s : float
        Seconds after which the call is overdue.
    is_patient : bool
        Whether the call waits for a connection while new ones are slow.

    Attributes
    ----------
    task : asyncio.Task
        Receives the answer until it is complete or fills the buffer.
    started_s : float
        Time at which the call began.
    overdue_s : float
        Time from which the call is overdue.
    is_overdue : bool
        Whether the call was found overdue.
    is_ended : bool
        Whether the outcome of the call was recorded.
    found_no_connection : bool
        Whether the call was not sent as new connections were slow.
    """

    def __init__(
        self,
        *,
        client: BackendClient,
        request: AdmittedRequest,
        call: BackendCall,
        overdue_after_s: float,
        is_patient: bool = False,
    ) -> None:
        self._client = client
        self._request = request
        self._call = call
        self._is_patient = is_patient
        self._open_response = AsyncExitStack()
        self._progress = SendProgress()
        self.started_s = now_s()
        self.overdue_s = self.started_s + overdue_after_s
        self.is_overdue = False
        self.is_ended = False
        self.found_no_connection = False
        self.task = asyncio.create_task(self._receive(), name=f"plain_call.{self.key}")

    @property
    def instance(self) -> BackendInstance:
        """The server."""
        return self._call.instance

    @property
    def key(self) -> str:
        """Identity of the server."""
        return self._call.instance.key

    @property
    def may_have_arrived(self) -> bool:
        """Whether the server may have received the call."""
        return self._progress.may_have_arrived

    async def relay(self, exchange: Exchange) -> None:
        """Pass the received answer on to the caller, and stream the rest of a large one.

        Raises
        ------
        OutcomeUnknownError
            A large answer broke off.
        """
        answer = self.task.result()
        if answer.rest is None:
            exchange.respond(answer.head, answer.body)
            return
        exchange.start_response(answer.head)
        await exchange.write(answer.body)
        while part := await answer.rest.read():
            await exchange.write(part)
        exchange.end()

    def cancel(self) -> None:
        """Cancel the call at the server unless the answer was received."""
        self.task.cancel()

    async def close(self) -> None:
        """Wait for the end of a cancelled call, and drop the rest of a large answer."""
        if not self.task.done():
            await asyncio.wait([self.task])
        release_frames(self.task)
        await self._open_response.aclose()

    async def _receive(self) -> PlainAnswer:
        """Return the answer once it is complete or fills the buffer."""
        async with AsyncExitStack() as stack:
            response = await stack.enter_async_context(
                self._client.send(
                    self._request,
                    self._call,
                    progress=self._progress,
                    is_patient=self._is_patient,
                )
            )
            if response.head.is_success and not response.is_signed:
                raise OutcomeUnknownError("no signature", step="answer", peer=self.key)
            parts: list[bytes] = []
            size = 0
            while part := await response.read():
                parts.append(part)
                size += len(part)
                if size > _MAX_BUFFERED_BYTES:
                    self._open_response = stack.pop_all()
                    return PlainAnswer(head=response.head, body=b"".join(parts), rest=response)
            return PlainAnswer(head=response.head, body=b"".join(parts))
