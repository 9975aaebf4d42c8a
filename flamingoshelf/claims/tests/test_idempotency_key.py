"""Parsing of the Idempotency-Key header."""

import pytest
from result import Err, Ok

from flamingoshelf.claims import parse_idempotency_key


@pytest.mark.parametrize(
    ("value", "key"),
    [
        ('"8e03978e-40d5-43dd-bc93-6894a57f9324"', "8e03978e-40d5-43dd-bc93-6894a57f9324"),
        (' "padded" ', "padded"),
        ('"with space"', "with space"),
        (r'"quote \" and \\ backslash"', r"quote " + '" and ' + "\\ backslash"),
        ('"' + "x" * 255 + '"', "x" * 255),
        ('"~"', "~"),
    ],
)
def test_accepted(value, key):
    assert parse_idempotency_key([value]) == Ok(key)


@pytest.mark.parametrize(
    ("values", "problem"),
    [
        ([], "sent once"),
        (['"a"', '"a"'], "sent once"),
        (['"a", "b"'], "closing double quote"),
        (["bare-token"], "double quotes"),
        ([""], "double quotes"),
        (["'single'"], "double quotes"),
        ([":YmFzZTY0:"], "double quotes"),
        (['"open'], "no closing"),
        (['"ends in escape\\'], "backslash"),
        ([r'"a\n"'], "backslash"),
        (['"a";q=1'], "closing double quote"),
        (['"a"b'], "closing double quote"),
        (['""'], "0 characters"),
        (['"' + "x" * 256 + '"'], "256 characters"),
        (['"caf\u00e9"'], "printable ASCII"),
        (['"tab\t"'], "printable ASCII"),
        (['"del\x7f"'], "printable ASCII"),
    ],
)
def test_rejected(values, problem):
    outcome = parse_idempotency_key(values)
    assert isinstance(outcome, Err)
    assert problem in outcome.err_value
