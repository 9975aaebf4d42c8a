"""Placement requests, grants and the interface of placers."""

import math
from typing import Protocol

import attrs
from result import Result

from flamingoshelf.refusals import Refusal

__all__ = ["Grant", "PlacementRequest", "Placer", "pieces_of"]


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A request that needs a prefill and a decode engine.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt; starts with the owner's incarnation.
    workspace : str
        Workspace that the request runs for.
    model : str
        Model to run.
    prompt_tokens : int
        Upper bound of the number of prompt tokens.
    max_tokens : int
        Maximum number of answer tokens.
    prefix_hashes : tuple of int
        Hashes of the prompt's leading blocks, for the prefix cache.
    max_wait_s : float
        Maximum time to wait for a place, in seconds.
    avoid : tuple of str
        Backend servers to avoid; some placers use them if there is no other.
    waited_s : float
        Seconds since the request arrived at its node.
    is_resumed : bool
        Whether an earlier attempt was sent to an engine; placed before new requests.
    """

    request_id: str
    workspace: str
    model: str
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    max_wait_s: float = 30.0
    avoid: tuple[str, ...] = ()
    waited_s: float = 0.0
    is_resumed: bool = False


@attrs.frozen(kw_only=True)
class Grant:
    """A place at a decode engine and permission to run one prefill at a prefill engine.

    Parameters
    ----------
    request_id : str
        Identifier of the attempt that holds the grant.
    prefill_server, prefill_address : str
        Name and address of the prefill engine.
    decode_server, decode_address : str
        Name and address of the decode engine.
    model : str
        Model to run.
    pieces : int
        Pieces of KV cache memory reserved at the decode engine.
    epoch : str
        Identifier of the run of the dispatcher that gave it; empty for a local choice.
    """

    request_id: str
    prefill_server: str
    prefill_address: str
    decode_server: str
    decode_address: str
    model: str = ""
    pieces: int = 1
    epoch: str = ""


class Placer(Protocol):
    """Grants places at engines."""

    async def acquire(self, request: PlacementRequest) -> Result[Grant, Refusal]:
        """Wait for a place; a refused request uses no engine resources."""

    def release_prefill(self, grant: Grant) -> None:
        """Report that the prefill has ended; may be repeated."""

    def release(self, grant: Grant) -> None:
        """Release the place, once the engines hold nothing for the request any more."""

    def report_failure(self, server: str) -> None:
        """Report that a backend server failed, so that it is avoided until it responds again."""


def pieces_of(request: PlacementRequest, piece_tokens: int) -> int:
    """Return the number of KV cache pieces of `piece_tokens` tokens that `request` needs.

    Examples
    --------
    >>> request = PlacementRequest(
    ...     request_id="i.1.0", workspace="w", model="m", prompt_tokens=4000, max_tokens=100
    ... )
    >>> pieces_of(request, 4096)
    2
    """
    return max(1, math.ceil((request.prompt_tokens + request.max_tokens) / piece_tokens))
