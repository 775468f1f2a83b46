"""Size and parts of the prompt that a request declares."""

from hashlib import blake2b
from typing import Final

from .const import MAX_DECLARED_TOKENS, MAX_PART_ID, MAX_PROMPT_PARTS
from .header_values import decode_number

_DIGEST_BYTES: Final = 12


def shared_prompt_parts(value: bytes | None) -> tuple[str, ...]:
    """Return the ids of the prompt parts that other requests may share, in order.

    `value` holds comma-separated entries of the form `ID:TOKENS`. The last part belongs
    to the request itself or to its session and is left out.
    """
    if value is None:
        return ()
    entries = value.decode("latin-1").split(",")[:-1]
    ids = (_part_id(entry.partition(":")[0].strip()) for entry in entries)
    return tuple(dict.fromkeys(part for part in ids if part))[:MAX_PROMPT_PARTS]


def _part_id(value: str) -> str:
    """Return the id of a part, or a digest of a long one, as many of them are kept."""
    if len(value) <= MAX_PART_ID:
        return value
    return blake2b(value.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def declared_tokens(count: bytes | None, hint: bytes | None) -> tuple[int, int] | None:
    """Return the tokens of the prompt and, as far as the caller knows, of the answer.

    `count` holds `PROMPT,MAX_OUTPUT`, `hint` the caller's estimate of the output. None
    if the count is absent or malformed.
    """
    prompt_value, _, maximum_value = (count or b"").partition(b",")
    prompt = decode_number(prompt_value)
    maximum = decode_number(maximum_value)
    if prompt is None or maximum is None:
        return None
    output = min(maximum, MAX_DECLARED_TOKENS)
    estimate = decode_number(hint)
    if estimate is not None:
        output = min(output, estimate)
    return min(prompt, MAX_DECLARED_TOKENS), output
