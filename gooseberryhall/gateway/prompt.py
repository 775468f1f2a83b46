"""Size and parts of the prompt that a request declares."""

from .const import MAX_DECLARED_TOKENS, MAX_PROMPT_PARTS


def shared_prompt_parts(value: bytes | None) -> tuple[str, ...]:
    """Return the ids of the prompt parts that other requests may share, in order.

    `value` holds comma-separated entries of the form `ID:TOKENS`. The last part belongs
    to the request itself or to its session and is left out.
    """
    if value is None:
        return ()
    entries = value.decode("latin-1").split(",")[:-1]
    ids = (entry.partition(":")[0].strip() for entry in entries)
    return tuple(dict.fromkeys(part for part in ids if part))[:MAX_PROMPT_PARTS]


def declared_tokens(count: bytes | None, hint: bytes | None) -> tuple[int, int] | None:
    """Return the tokens of the prompt and, as far as the caller knows, of the answer.

    `count` holds `PROMPT,MAX_OUTPUT`, `hint` the caller's estimate of the output. None
    if the count is absent or malformed.
    """
    prompt, _, maximum = (count or b"").partition(b",")
    if not prompt.strip().isdigit() or not maximum.strip().isdigit():
        return None
    output = min(int(maximum), MAX_DECLARED_TOKENS)
    if hint is not None and hint.strip().isdigit():
        output = min(output, int(hint))
    return min(int(prompt), MAX_DECLARED_TOKENS), output
