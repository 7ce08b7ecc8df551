"""The OpenAI shape of model requests and answers."""

from collections.abc import Callable, Mapping
import dataclasses
import json
import time
from typing import Any, TypeVar

import msgspec

from dotterelgrade import errors
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import tokenizer

_T = TypeVar("_T", bound=type)

_SHAPES: dict[str, type["Shape"]] = {}

DONE = b"data: [DONE]\n\n"


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _Message(msgspec.Struct):
    role: str
    content: str | list[dict[str, Any]] | None = None


class _Common(msgspec.Struct, kw_only=True):
    model: str
    stream: bool | None = False
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = 1
    stop: str | list[str] | None = None


class _ChatBody(_Common, kw_only=True):
    messages: list[_Message]


class _CompletionBody(_Common, kw_only=True):
    prompt: str | list[str | int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelCall:
    """A checked request body.

    Attributes:
        model: Model name.
        prompt: Prompt tokens.
        max_tokens: The most tokens to generate.
        stream: Whether the answer is a stream of events.
        include_usage: Whether a stream ends with the usage.
    """

    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    stream: bool
    include_usage: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int

    def as_json(self) -> dict[str, int]:
        """Returns the counts as the callers see them."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        }


def shape(path: str) -> Callable[[_T], _T]:
    """Registers the shape that a path speaks."""

    def register(cls: _T) -> _T:
        _SHAPES[path] = cls
        return cls

    return register


def shapes() -> Mapping[str, type["Shape"]]:
    """Returns the shapes by path."""
    return dict(_SHAPES)


class Shape:
    """Writes one answer in the shape of one path."""

    whole_object = ""
    chunk_object = ""
    id_prefix = ""

    def __init__(self, call: ModelCall, *, request_id: str) -> None:
        """Initializes the answer to a call.

        Args:
            call: The checked request body.
            request_id: Identifier of the request.
        """
        self._call = call
        self._head = {
            "id": f"{self.id_prefix}-{request_id}",
            "object": self.whole_object,
            "created": int(time.time()),
            "model": call.model,
        }
        self._before, self._after = self._split_event()

    @classmethod
    def parse(
        cls, body: bytes, settings: entry_settings.EntrySettings
    ) -> ModelCall:
        """Checks a request body.

        Args:
            body: The bytes that the caller sent.
            settings: Limits on prompts and answers.

        Returns:
            The checked call.

        Raises:
            errors.DotterelgradeError: BAD_REQUEST, with what was expected.
        """
        raise NotImplementedError

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        raise NotImplementedError

    def _delta(self, text: str | None) -> dict[str, Any]:
        raise NotImplementedError

    def whole(self, text: str, *, finish_reason: str, usage: Usage) -> bytes:
        """Returns the body of a whole answer."""
        choice = self._choice(text, finish_reason)
        value = {**self._head, "choices": [choice], "usage": usage.as_json()}
        return json.dumps(value).encode()

    def _split_event(self) -> tuple[bytes, bytes]:
        # The part that is the same in each event is formatted once.
        marker = "\x00"
        event = self._chunk([{**self._delta(marker), "finish_reason": None}])
        before, after = event.split(json.dumps(marker).encode())
        return before, after

    def _chunk(self, choices: list[dict[str, Any]], **extra: Any) -> bytes:
        value = {
            **self._head,
            "object": self.chunk_object,
            "choices": [{"index": 0, **choice} for choice in choices],
            **extra,
        }
        return b"data: " + json.dumps(value).encode() + b"\n\n"

    def opening(self) -> bytes:
        """Returns the events before the first token."""
        return b""

    def event(self, text: str) -> bytes:
        """Returns the event of one token's text."""
        return self._before + json.dumps(text).encode() + self._after

    def ending(self, *, finish_reason: str, usage: Usage) -> bytes:
        """Returns the events after the last token."""
        last = {**self._delta(None), "finish_reason": finish_reason}
        events = self._chunk([last])
        if self._call.include_usage:
            events += self._chunk([], usage=usage.as_json())
        return events + DONE


@shape("/v1/chat/completions")
class ChatShape(Shape):
    """Answers of `/v1/chat/completions`."""

    whole_object = "chat.completion"
    chunk_object = "chat.completion.chunk"
    id_prefix = "chatcmpl"

    @classmethod
    def parse(
        cls, body: bytes, settings: entry_settings.EntrySettings
    ) -> ModelCall:
        """Checks a request body; see `Shape.parse`."""
        checked = _decode(body, _ChatBody)
        words = " ".join(_text_of(message) for message in checked.messages)
        return _to_call(checked, tokenizer.encode(words), settings)

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        return {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish_reason,
        }

    def _delta(self, text: str | None) -> dict[str, Any]:
        return {"delta": {} if text is None else {"content": text}}

    def opening(self) -> bytes:
        """Returns the event with the role."""
        delta = {"delta": {"role": "assistant", "content": ""}}
        return self._chunk([{**delta, "finish_reason": None}])


@shape("/v1/completions")
class CompletionShape(Shape):
    """Answers of `/v1/completions`."""

    whole_object = "text_completion"
    chunk_object = "text_completion"
    id_prefix = "cmpl"

    @classmethod
    def parse(
        cls, body: bytes, settings: entry_settings.EntrySettings
    ) -> ModelCall:
        """Checks a request body; see `Shape.parse`."""
        checked = _decode(body, _CompletionBody)
        return _to_call(checked, _prompt_tokens(checked.prompt), settings)

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def _delta(self, text: str | None) -> dict[str, Any]:
        return {"text": text or "", "logprobs": None}


def _bad_request(message: str) -> errors.DotterelgradeError:
    return errors.new_exception(errors.ErrorKind.BAD_REQUEST, message)


def _decode(body: bytes, cls: type) -> Any:
    try:
        return msgspec.json.decode(body, type=cls)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise _bad_request(f"request body: {error}") from error


def _text_of(message: _Message) -> str:
    if isinstance(message.content, str):
        return message.content
    texts = []
    for part in message.content or ():
        text = part.get("text")
        if part.get("type") != "text" or not isinstance(text, str):
            raise _bad_request("messages: expected text content only")
        texts.append(text)
    return " ".join(texts)


def _prompt_tokens(
    prompt: str | list[str | int],
) -> tuple[int, ...]:
    if isinstance(prompt, str):
        return tokenizer.encode(prompt)
    if len(prompt) == 1 and isinstance(prompt[0], str):
        return tokenizer.encode(prompt[0])
    if not all(isinstance(item, int) for item in prompt):
        raise _bad_request("prompt: expected one text or a list of tokens")
    if not all(0 <= item < tokenizer.VOCABULARY for item in prompt):
        raise _bad_request(
            f"prompt: expected tokens from 0 to {tokenizer.VOCABULARY - 1}"
        )
    return tuple(prompt)


def _to_call(
    checked: _Common,
    prompt: tuple[int, ...],
    settings: entry_settings.EntrySettings,
) -> ModelCall:
    if checked.n not in (None, 1):
        raise _bad_request("n: expected 1")
    if checked.stop:
        raise _bad_request("stop: stop sequences are not supported")
    if not prompt:
        raise _bad_request("prompt: expected at least one word")
    if len(prompt) > settings.max_prompt_tokens:
        raise _bad_request(
            f"prompt: expected at most {settings.max_prompt_tokens} tokens, "
            f"got {len(prompt)}"
        )
    options = checked.stream_options or _StreamOptions()
    return ModelCall(
        model=checked.model,
        prompt=prompt,
        max_tokens=_max_tokens(checked, settings),
        stream=bool(checked.stream),
        include_usage=options.include_usage,
    )


def _max_tokens(
    checked: _Common, settings: entry_settings.EntrySettings
) -> int:
    limit = checked.max_completion_tokens
    if limit is None:
        limit = checked.max_tokens
    if limit is None:
        return settings.default_max_tokens
    if not 1 <= limit <= settings.max_tokens:
        raise _bad_request(
            f"max_tokens: expected 1 to {settings.max_tokens}, got {limit}"
        )
    return limit
