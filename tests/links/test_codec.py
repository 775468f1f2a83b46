"""Tests of the decoding of frames."""

import contextlib

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryhall.links.codec import decode_message
from gooseberryhall.links.exceptions import MalformedFrameError

_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)
_TYPES = st.sampled_from(["ping", "heartbeat", "evidence", "groups", "config_changes"])
_MAPS = st.builds(
    lambda kind, fields: cbor2.dumps({**fields, "type": kind}),
    _TYPES,
    st.dictionaries(
        st.sampled_from(["n", "seq", "echo", "reports", "repeats", "node", "groups"]),
        _VALUES,
    ),
)


@settings(max_examples=500)
@given(st.binary() | _VALUES.map(cbor2.dumps) | _MAPS)
def test_any_frame_is_decoded_or_refused(frame: bytes) -> None:
    """Guards against a frame that raises an error which the link does not handle."""
    with contextlib.suppress(MalformedFrameError):
        decode_message(frame)
