import dataclasses
import math

import hypothesis
from hypothesis import strategies as st
import msgpack
import pytest

from dotterelgrade import errors
from dotterelgrade import frame_codec
from dotterelgrade import messages

_STEP = messages.Step(
    request_id="r1", attempt=1, stage=0, position=0, inputs=(1, 2**60)
)
_ADMIT = messages.Admit(
    request_id="r1",
    attempt=1,
    stage=0,
    backend="engine-1",
    model="inlay",
    first_layer=0,
    last_layer=7,
    next_hop=messages.Hop(host="127.0.0.2", port=7400, backend="engine-2"),
    workspace="bench",
    priority=1,
    deadline_ms=340.0,
    prompt_tokens=2,
    max_tokens=8,
)
_REPORT = messages.Report(
    state=messages.ProcessState.READY,
    contract_offset=7,
    backends=(messages.BackendReport(backend="engine-1", kind="engine"),),
    links={"127.0.0.2:7400": 0.5},
)


@pytest.mark.parametrize(
    "message", [_ADMIT, _REPORT, messages.Steps(steps=(_STEP,))]
)
def test_frame_round_trips_through_the_codec(message):
    data = msgpack.packb(frame_codec.to_wire(message))
    assert frame_codec.from_wire(msgpack.unpackb(data)) == message


_BACKEND = ("backends", 0)


@pytest.mark.parametrize("odd", [math.nan, 1e300, -1.0, math.inf])
@pytest.mark.parametrize(
    ("message", "place"),
    [
        (_REPORT, ("links", "127.0.0.2:7400")),
        (_REPORT, (*_BACKEND, "step_ms")),
        (_REPORT, (*_BACKEND, "token_ms")),
        (
            messages.Refused(
                request_id="r",
                attempt=1,
                stage=0,
                kind=errors.ErrorKind.NO_CAPACITY,
                message="full",
            ),
            ("retry_after_ms",),
        ),
    ],
)
def test_a_time_that_is_no_duration_is_frame_invalid(message, place, odd):
    """Predictions with one that is no number chose any chain."""
    tag, fields = frame_codec.to_wire(message)
    inner = fields
    for key in place[:-1]:
        inner = inner[key]
    inner[place[-1]] = odd
    with pytest.raises(errors.DotterelgradeError) as caught:
        frame_codec.from_wire([tag, fields])
    assert caught.value.error.kind is errors.ErrorKind.FRAME_INVALID


def test_a_deadline_that_is_no_number_is_frame_invalid():
    """It never expired."""
    tag, fields = frame_codec.to_wire(_ADMIT)
    with pytest.raises(errors.DotterelgradeError):
        frame_codec.from_wire([tag, {**fields, "deadline_ms": math.nan}])


def test_every_frame_is_a_frozen_data_class():
    for cls in frame_codec.registered_frames().values():
        assert dataclasses.is_dataclass(cls)
        assert cls.__dataclass_params__.frozen


_VALUES = st.recursive(
    st.none() | st.integers() | st.text() | st.binary() | st.floats(),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=6,
)
_ARRAYS = st.tuples(
    st.sampled_from(sorted(frame_codec.registered_frames())) | _VALUES, _VALUES
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(_ARRAYS | _VALUES)
def test_arbitrary_value_is_a_frame_or_frame_invalid(value):
    try:
        frame_codec.from_wire(value)
    except errors.DotterelgradeError as error:
        assert error.error.kind is errors.ErrorKind.FRAME_INVALID
