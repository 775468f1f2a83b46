"""Decoder of JSON that another program wrote."""

from typing import TypeVar

import msgspec

from .exceptions import RowFormatError

_T = TypeVar("_T")


def decode_json(data: bytes, expected_type: type[_T], name: str) -> _T:
    """Decode a JSON value of a type; `name` names it in the error.

    Raises `RowFormatError` for all data that holds something else. The decoder raises
    `RecursionError` for deeply nested values, also in fields that it skips.
    """
    try:
        return msgspec.json.decode(data, type=expected_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise RowFormatError(f"{name}: {exc}") from exc
