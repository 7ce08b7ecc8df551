import json
import random
import sys
import types

import gevent
from gevent import subprocess
import gevent.socket
import hypothesis
from hypothesis import strategies as st
import pytest

from dotterelgrade import errors
from dotterelgrade_entry import openai_shape


def test_a_whole_completion_has_the_right_tokens_and_usage(chain, helpers):
    answer = chain.complete(chain.entry, "inlay of pear and rosewood")
    assert helpers.text_of(answer) == helpers.expected_text(
        "inlay of pear and rosewood"
    )
    assert answer.json()["usage"] == {
        "prompt_tokens": 5,
        "completion_tokens": 8,
        "total_tokens": 13,
    }


def test_a_streamed_completion_has_the_right_tokens(chain, helpers):
    answer = chain.complete(
        chain.entry,
        "one two",
        stream=True,
        stream_options={"include_usage": True},
    )
    events = answer.events()
    assert events[-1] == "[DONE]"
    values = [json.loads(event) for event in events[:-1]]
    text = "".join(
        choice["text"] for value in values for choice in value["choices"]
    )
    assert text == helpers.expected_text("one two")
    assert values[-1]["usage"]["completion_tokens"] == 8


def test_a_fault_in_the_middle_of_a_stream_is_told_in_its_last_event(
    chain, helpers, monkeypatch
):
    """The connection was closed without a word."""
    event = openai_shape.Shape.event
    texts = []

    def fail_at_the_fourth(shape, text):
        texts.append(text)
        if len(texts) == 4:
            raise ArithmeticError("a fault")
        return event(shape, text)

    monkeypatch.setattr(openai_shape.Shape, "event", fail_at_the_fourth)
    answer = chain.complete(chain.entry, "one two", stream=True)
    events = answer.events()
    error = json.loads(events[-1])["error"]
    assert (error["kind"], error["run"]) == ("internal", "unknown")
    assert "[DONE]" not in events
    helpers.wait_until(lambda: not chain.entry.dump()["requests"])


def test_a_chat_prompt_is_the_words_of_all_messages(chain, helpers):
    body = {
        "model": "inlay",
        "messages": [
            {"role": "system", "content": "you draft"},
            {"role": "user", "content": [{"type": "text", "text": "a star"}]},
        ],
        "max_completion_tokens": 4,
    }
    answer = chain.call(chain.entry, "/v1/chat/completions", body)
    message = answer.json()["choices"][0]["message"]
    expected = helpers.expected_text("you draft a star", max_tokens=4)
    assert message == {"role": "assistant", "content": expected}


_OPENAI_PROGRAM = """
import json, sys
import openai
client = openai.OpenAI(base_url=sys.argv[1], api_key="key-bench")
chat = [{"role": "user", "content": "pear ebony"}]
whole = client.chat.completions.create(
    model="inlay", messages=chat, max_tokens=6)
chunks = list(client.chat.completions.create(
    model="inlay", messages=chat, max_tokens=6, stream=True,
    stream_options={"include_usage": True}))
legacy = client.completions.create(
    model="inlay", prompt="pear ebony", max_tokens=6)
legacy_stream = list(client.completions.create(
    model="inlay", prompt="pear ebony", max_tokens=6, stream=True))
try:
    client.with_options(max_retries=0).chat.completions.create(
        model="absent", messages=chat)
    refused = None
except openai.NotFoundError as error:
    refused = error.body["kind"]
print(json.dumps({
    "models": [model.id for model in client.models.list()],
    "whole": whole.choices[0].message.content,
    "finish": whole.choices[0].finish_reason,
    "usage": whole.usage.total_tokens,
    "stream": "".join(c.choices[0].delta.content or ""
                      for c in chunks if c.choices),
    "stream_usage": chunks[-1].usage.total_tokens,
    "legacy": legacy.choices[0].text,
    "legacy_stream": "".join(c.choices[0].text for c in legacy_stream),
    "refused": refused,
}))
"""


def test_the_official_openai_client_works_unchanged(chain, helpers):
    settings = chain.entry.settings
    url = f"http://{settings.process.host}:{settings.http_port}/v1"
    done = subprocess.run(
        [sys.executable, "-c", _OPENAI_PROGRAM, url],
        capture_output=True,
        check=True,
        timeout=60,
    )
    expected = helpers.expected_text("pear ebony", max_tokens=6)
    assert json.loads(done.stdout) == {
        "models": ["inlay"],
        "whole": expected,
        "finish": "length",
        "usage": 8,
        "stream": expected,
        "stream_usage": 8,
        "legacy": expected,
        "legacy_stream": expected,
        "refused": "unknown_model",
    }


@pytest.fixture
def bare(cell, helpers):
    """An entry without agents."""
    cell.entry = cell.start_entry(
        max_body_bytes=10_000, body_timeout_s=0.3, header_timeout_s=0.3
    )
    helpers.wait_until(lambda: cell.entry.is_ready)
    return cell


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"{", "request body"),
        (b"[1]", "request body"),
        (b"\xff\xfe", "request body"),
        (b"[" * 9_000, "request body"),
        (b'{"model": "inlay"}', "prompt"),
        ({"model": "inlay", "prompt": ""}, "prompt"),
        ({"model": "inlay", "prompt": [1, -1]}, "prompt"),
        ({"model": "inlay", "prompt": ["a", "b"]}, "prompt"),
        ({"model": 1, "prompt": "a"}, "model"),
        ({"model": "m", "prompt": "a", "max_tokens": 0}, "max_tokens"),
        ({"model": "m", "prompt": "a", "n": 2}, "n:"),
        ({"model": "m", "prompt": "a", "stop": "x"}, "stop"),
    ],
)
def test_a_bad_body_gets_an_error_that_says_what_was_expected(
    bare, body, message
):
    error = bare.call(bare.entry, "/v1/completions", body).error
    assert (error["kind"], error["run"]) == ("bad_request", "not_run")
    assert message in error["message"]
    assert error["request_id"]


@pytest.mark.parametrize(
    ("messages", "message"),
    [
        ([], "prompt"),
        ([{"role": "user", "content": [{}]}], "text content"),
        ([{"content": "a"}], "role"),
    ],
)
def test_bad_messages_get_an_error_that_says_what_was_expected(
    bare, messages, message
):
    body = {"model": "inlay", "messages": messages}
    error = bare.call(bare.entry, "/v1/chat/completions", body).error
    assert error["kind"] == "bad_request"
    assert message in error["message"]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/completions", 405),
        ("POST", "/v1/models", 405),
        ("GET", "/", 404),
        ("GET", "/v1/completions/x", 404),
        ("GET", "/services/none/x", 404),
    ],
)
def test_other_paths_and_methods_are_refused(bare, method, path, status):
    assert bare.call(bare.entry, path, method=method).status == status


@pytest.mark.parametrize(
    "header", ["", "Bearer", "Bearer ", "Basic a2V5", "Bearer key-other"]
)
def test_a_caller_without_a_known_key_is_refused(bare, header):
    answer = bare.call(
        bare.entry,
        "/v1/models",
        method="GET",
        headers={"Authorization": header},
    )
    assert (answer.status, answer.error["kind"]) == (401, "unauthorized")


def test_a_large_body_is_refused_without_being_read(bare):
    answer = bare.call(bare.entry, "/v1/completions", b"x" * 2_000_000)
    assert (answer.status, answer.error["kind"]) == (413, "body_too_large")


def _raw(target, data, *, timeout_s=20):
    address = (target.settings.process.host, target.settings.http_port)
    with gevent.socket.create_connection(address, timeout_s) as sock:
        answer = b""
        try:
            sock.sendall(data)
            while part := sock.recv(65_536):
                answer += part
        except ConnectionError:
            pass
        return answer


_HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer key-bench\r\n"
)


def test_a_large_chunked_body_is_refused(bare):
    chunk = b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n"
    data = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    assert b"body_too_large" in _raw(bare.entry, data)


def test_a_slow_body_and_slow_headers_are_timed_out(bare):
    half = _HEAD + b"Content-Length: 100\r\n\r\n{"
    assert b"request_timeout" in _raw(bare.entry, half)
    assert b"408 Request Timeout" in _raw(bare.entry, _HEAD)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["model", "prompt", "messages", "stream", "max_tokens"]
            )
            | st.text(max_size=5),
            inner,
            max_size=5,
        )
    ),
    max_leaves=8,
)


@hypothesis.given(
    body=st.binary(max_size=200)
    | _JSON.map(lambda value: json.dumps(value).encode())
)
@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
def test_any_body_is_parsed_or_refused(body):
    settings = types.SimpleNamespace(
        max_prompt_tokens=10, max_tokens=10, default_max_tokens=1
    )
    for shape in openai_shape.shapes().values():
        try:
            call = shape.parse(body, settings)
        except errors.DotterelgradeError as error:
            assert error.error.kind is errors.ErrorKind.BAD_REQUEST
        else:
            assert call.prompt
            assert 1 <= call.max_tokens <= 10


def test_any_bytes_on_the_port_leave_the_entry_serving(bare):
    generator = random.Random(7)

    def send():
        data = generator.randbytes(generator.randrange(1, 400))
        if generator.random() < 0.5:
            data = _HEAD + b"Content-Length: 50\r\n\r\n" + data
        _raw(bare.entry, data + b"\r\n\r\n")

    gevent.joinall([gevent.spawn(send) for _ in range(60)], raise_error=True)
    answer = bare.call(bare.entry, "/v1/models", method="GET")
    assert answer.json()["data"][0]["id"] == "inlay"


def test_a_refusal_tells_when_to_come_back(bare):
    answer = bare.complete(bare.entry, "a")
    headers = {name.lower(): value for name, value in answer.headers.items()}
    assert answer.status == 503
    assert int(headers["retry-after"]) >= 1
    assert answer.error["request_id"] == headers["x-request-id"]


def test_concurrency_of_a_workspace_is_limited(chain, helpers):
    for node in chain.nodes:
        node.engine.set_faults(slow_factor=100.0)
    headers = {"Authorization": "Bearer key-small"}
    body = {"model": "inlay", "prompt": "a b", "max_tokens": 6}
    first = gevent.spawn(
        chain.call, chain.entry, "/v1/completions", body, headers=headers
    )
    helpers.wait_for_tokens(chain.entry, 1)
    second = chain.call(chain.entry, "/v1/completions", body, headers=headers)
    assert second.error["kind"] == "concurrency_limited"
    assert helpers.text_of(first.get(timeout=30)) == helpers.expected_text(
        "a b", max_tokens=6
    )
