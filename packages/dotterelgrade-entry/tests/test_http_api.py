import json


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
