"""Tests of responses assembled from the chunks of a stream."""

import json

from gooseberryhall.requests.completion import assemble_completion
from gooseberryhall.requests.relay import has_content


def chunk(**choice: object) -> bytes:
    """Return the body of a chunk with one choice."""
    return json.dumps({"id": "r", "choices": [{"index": 0, **choice}]}).encode()


def test_tool_calls_and_usage_are_joined() -> None:
    """A tool call with incomplete arguments would start the wrong fan."""
    first = {"index": 0, "id": "c1", "function": {"name": "fan", "arguments": '{"n"'}}
    second = {"index": 0, "function": {"arguments": ": 3}"}}
    usage = {"prompt_tokens": 2, "completion_tokens": 3, "total_tokens": 5}
    completion = assemble_completion(
        [
            chunk(delta={"role": "assistant", "tool_calls": [first]}),
            chunk(delta={"tool_calls": [second]}),
            chunk(delta={}, finish_reason="tool_calls"),
            json.dumps({"id": "r", "choices": [], "usage": usage}).encode(),
        ]
    )
    call = completion["choices"][0]["message"]["tool_calls"][0]
    assert json.loads(call["function"]["arguments"]) == {"n": 3}
    assert (call["id"], call["function"]["name"]) == ("c1", "fan")
    assert completion["choices"][0]["finish_reason"] == "tool_calls"
    assert completion["usage"] == usage


def test_role_alone_is_no_content() -> None:
    """A restart must stay possible until text or a finish reason was delivered."""
    assert not has_content(chunk(delta={"role": "assistant", "content": ""}))
    assert has_content(chunk(delta={"content": "a"}))
    assert has_content(chunk(delta={}, finish_reason="stop"))
    assert has_content(b"not json")
