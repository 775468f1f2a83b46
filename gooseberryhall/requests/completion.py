"""Assembles the response of a non-streaming request from the chunks of a stream."""

import json
from typing import Any

# Delta fields whose values arrive in parts and are concatenated.
_TEXT_FIELDS = ("content", "refusal", "reasoning_content")


def assemble_completion(chunks: list[bytes]) -> dict[str, Any]:
    """Return the chat completion that consists of the given chunks."""
    completion: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for chunk in chunks:
        part = json.loads(chunk)
        for key, value in part.items():
            if key != "choices" and value is not None:
                completion[key] = value
        for choice in part.get("choices", ()):
            _add_choice(choices, choice)
    completion["object"] = "chat.completion"
    completion["choices"] = [choices[index] for index in sorted(choices)]
    for choice in completion["choices"]:
        _close_choice(choice)
    return completion


def _add_choice(choices: dict[int, dict[str, Any]], part: dict[str, Any]) -> None:
    index = int(part.get("index", 0))
    message: dict[str, Any] = {"role": "assistant", "content": None}
    choice = choices.setdefault(
        index, {"index": index, "message": message, "finish_reason": None}
    )
    if part.get("finish_reason") is not None:
        choice["finish_reason"] = part["finish_reason"]
    if part.get("logprobs"):
        _add_logprobs(choice, part["logprobs"])
    _add_delta(choice["message"], part.get("delta") or {})


def _add_delta(message: dict[str, Any], delta: dict[str, Any]) -> None:
    for key, value in delta.items():
        if value is None:
            continue
        if key == "tool_calls":
            for call in value:
                _add_tool_call(message.setdefault("tool_calls", {}), call)
        elif key in _TEXT_FIELDS:
            message[key] = (message.get(key) or "") + value
        else:
            message[key] = value


def _add_tool_call(calls: dict[int, dict[str, Any]], part: dict[str, Any]) -> None:
    function = part.get("function") or {}
    call = calls.setdefault(
        int(part.get("index", 0)),
        {"id": None, "type": "function", "function": {"name": "", "arguments": ""}},
    )
    call["id"] = part.get("id") or call["id"]
    call["function"]["name"] += function.get("name") or ""
    call["function"]["arguments"] += function.get("arguments") or ""


def _add_logprobs(choice: dict[str, Any], part: dict[str, Any]) -> None:
    logprobs = choice.setdefault("logprobs", {})
    for key, values in part.items():
        logprobs[key] = (logprobs.get(key) or []) + (values or [])


def _close_choice(choice: dict[str, Any]) -> None:
    calls = choice["message"].get("tool_calls")
    if calls:
        choice["message"]["tool_calls"] = [calls[index] for index in sorted(calls)]
