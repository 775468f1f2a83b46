"""Deterministic response texts of the engine stand-in."""

import hashlib
import json
import random
from collections.abc import Sequence
from typing import Any

DEFAULT_MAX_TOKENS = 16
_WORDS = (
    "ash",
    "bay",
    "corn",
    "dew",
    "elm",
    "fan",
    "grain",
    "hay",
    "iris",
    "jar",
    "kelp",
    "loam",
    "moss",
    "node",
    "oat",
    "pear",
    "quay",
    "rye",
    "silo",
    "tide",
    "umber",
    "vane",
    "wheat",
    "yarn",
    "zinc",
    "amber",
    "birch",
    "cedar",
    "dust",
    "ember",
    "fern",
    "gale",
)


def expected_words(messages: Sequence[Any], max_tokens: int) -> list[str]:
    """Return the words of the response text, one for each token."""
    text = json.dumps(messages, sort_keys=True, separators=(",", ":"))
    digest = hashlib.sha256(text.encode()).digest()
    return random.Random(digest).choices(_WORDS, k=max_tokens)


def expected_answer(messages: Sequence[Any], max_tokens: int) -> str:
    """Return the full text with which an engine responds to these messages."""
    return " ".join(expected_words(messages, max_tokens))
