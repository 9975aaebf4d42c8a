"""Tokens of one answer, each accepted once and in order."""

from flamingoshelf.backends import DecodedToken, DecodeEnd
from flamingoshelf.exceptions import ProtocolError

__all__ = ["AnswerTokens"]


class AnswerTokens:
    """The tokens that the caller has."""

    def __init__(self) -> None:
        self._texts: list[str] = []

    def __len__(self) -> int:
        return len(self._texts)

    @property
    def texts(self) -> tuple[str, ...]:
        """Texts in order."""
        return tuple(self._texts)

    def accept(self, token: DecodedToken, *, server: str) -> None:
        """Add the next token.

        Raises
        ------
        ProtocolError
            It is not the next one.
        """
        if token.index != len(self._texts):
            message = f"token {token.index} instead of {len(self._texts)}"
            raise ProtocolError(message, step="decode", peer=server)
        self._texts.append(token.text)

    def check_end(self, end: DecodeEnd, *, server: str) -> None:
        """Check that the answer is whole.

        Raises
        ------
        ProtocolError
            Tokens are missing.
        """
        if end.completion_tokens != len(self._texts):
            message = f"{len(self._texts)} tokens of {end.completion_tokens}"
            raise ProtocolError(message, step="decode", peer=server)
