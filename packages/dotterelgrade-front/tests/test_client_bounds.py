import dataclasses

import pytest

from dotterelgrade_front import client_bounds


@pytest.mark.parametrize(
    "changes",
    [
        {"reserved_descriptors": -1},
        {"pipelined_requests": 1},
        {"slice_bytes": 0},
        {"address_share": 0.0},
        {"tiny_chunk_share": 1.5},
        {"body_bytes_per_s": -1.0},
        {"answer_window_s": float("inf")},
        {"send_buffer_bytes": 100},
    ],
)
def test_limits_that_no_client_could_meet_are_refused(changes):
    with pytest.raises(ValueError, match=next(iter(changes))):
        dataclasses.replace(client_bounds.ClientBounds(), **changes)
