"""The ``Idempotency-Key`` header: one structured-field string (RFC 9651, section 3.3.3)."""

from collections.abc import Sequence

from result import Err, Ok, Result

__all__ = ["parse_idempotency_key"]

_MAX_CHARS = 255
_FIRST_PRINTABLE = " "
_LAST_PRINTABLE = "~"


def parse_idempotency_key(values: Sequence[str]) -> Result[str, str]:
    """Return the key in the header's `values`, or an error message for the caller.

    Parameters
    ----------
    values : sequence of str
        The value of each ``Idempotency-Key`` header of a request.

    Examples
    --------
    >>> parse_idempotency_key(['"8e03978e-40d5"'])
    Ok('8e03978e-40d5')
    >>> parse_idempotency_key(["8e03978e-40d5"])
    Err('Idempotency-Key must be a string in double quotes.')
    """
    if len(values) != 1:
        return Err("Idempotency-Key must be sent once.")
    value = values[0].strip(" ")
    if not value.startswith('"'):
        return Err("Idempotency-Key must be a string in double quotes.")
    return _parse_string(value)


def _parse_string(value: str) -> Result[str, str]:
    chars: list[str] = []
    position = 1
    while position < len(value):
        char = value[position]
        if char == '"':
            return _check_key("".join(chars), trailing=value[position + 1 :])
        if char == "\\":
            position += 1
            char = value[position : position + 1]
            if char not in ('"', "\\"):
                return Err('Idempotency-Key may escape only " and \\ with a backslash.')
        elif not _FIRST_PRINTABLE <= char <= _LAST_PRINTABLE:
            return Err("Idempotency-Key may hold printable ASCII characters only.")
        chars.append(char)
        position += 1
    return Err("Idempotency-Key has no closing double quote.")


def _check_key(key: str, *, trailing: str) -> Result[str, str]:
    if trailing:
        return Err("Idempotency-Key must end with its closing double quote.")
    if not 1 <= len(key) <= _MAX_CHARS:
        return Err(f"Idempotency-Key has {len(key)} characters; 1 to {_MAX_CHARS} are allowed.")
    return Ok(key)
