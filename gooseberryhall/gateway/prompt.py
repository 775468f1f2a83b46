"""Parts of the prompt that a request declares."""

from .const import MAX_PROMPT_PARTS


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
