"""What callers and dispatchers tell one another."""

from typing import Protocol

import attrs
from result import Result

from flamingoshelf.refusals import Refusal

__all__ = ["Grant", "PlacementRequest", "Placer"]


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A request that needs a prefill and a decode engine.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt; carries the owner's incarnation.
    workspace : str
        Workspace that the request runs for.
    model : str
        Model to run.
    prompt_tokens : int
        Upper bound of the prompt's tokens.
    max_tokens : int
        Most tokens of the answer.
    prefix_hashes : tuple of int
        Hashes of the prompt's leading blocks, for the prefix cache.
    max_wait_s : float
        Longest time to wait for a place.
    avoid : tuple of str
        Backend servers that must not be chosen.
    """

    request_id: str
    workspace: str
    model: str
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    max_wait_s: float = 30.0
    avoid: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Grant:
    """A place at a decode engine and a turn at a prefill engine.

    Parameters
    ----------
    request_id : str
        Identifier of the attempt that it was granted to.
    prefill_server, prefill_address : str
        Name and address of the prefill engine.
    decode_server, decode_address : str
        Name and address of the decode engine.
    """

    request_id: str
    prefill_server: str
    prefill_address: str
    decode_server: str
    decode_address: str


class Placer(Protocol):
    """Grants places at engines."""

    async def acquire(self, request: PlacementRequest) -> Result[Grant, Refusal]:
        """Wait for a place; a refusal costs the engines nothing."""

    def release_prefill(self, grant: Grant) -> None:
        """Report that the prefill engine's turn is over."""

    def release(self, grant: Grant) -> None:
        """Give the place back; the engines hold nothing for the request any more."""
