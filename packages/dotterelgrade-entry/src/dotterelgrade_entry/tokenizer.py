"""Text to tokens and back, as the model engines count them."""

import zlib

VOCABULARY = 32_000
END_TOKEN = 0


def encode(text: str) -> tuple[int, ...]:
    """Returns one token per whitespace-separated word of a text."""
    return tuple(
        zlib.crc32(word.encode(errors="replace")) % VOCABULARY
        for word in text.split()
    )


def decode(token: int) -> str:
    """Returns the text of one generated token."""
    return f" t{token}"
