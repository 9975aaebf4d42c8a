"""Tokens of one answer, with checks of order and completeness."""

from flamingoshelf.backends import DecodedToken, DecodeEnd
from flamingoshelf.exceptions import ProtocolError

__all__ = ["AnswerTokens"]


class AnswerTokens:
    """Tokens accepted so far, which make up the answer to the caller."""

    def __init__(self) -> None:
        self._texts: list[str] = []

    def __len__(self) -> int:
        return len(self._texts)

    @property
    def texts(self) -> tuple[str, ...]:
        """Texts of the tokens in order."""
        return tuple(self._texts)

    def accept(self, token: DecodedToken, *, server: str) -> None:
        """Add the next token.

        Raises
        ------
        ProtocolError
            The token's index is not the next one.
        """
        if token.index != len(self._texts):
            message = f"token index {token.index}, expected {len(self._texts)}"
            raise ProtocolError(message, step="decode", peer=server)
        self._texts.append(token.text)

    def check_end(self, end: DecodeEnd, *, server: str) -> None:
        """Check that all tokens of the answer were accepted.

        Raises
        ------
        ProtocolError
            The number of accepted tokens differs from the engine's count.
        """
        if end.completion_tokens != len(self._texts):
            message = f"{len(self._texts)} tokens received of {end.completion_tokens}"
            raise ProtocolError(message, step="decode", peer=server)
