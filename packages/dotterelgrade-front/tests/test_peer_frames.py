import math

import pytest

from dotterelgrade import errors
from dotterelgrade import frame_codec
from dotterelgrade import suspect_state
from dotterelgrade_front import peer_frames
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import rank_demand

_CRASH = suspect_state.CrashReport(
    crash=suspect_state.Crash(
        process=suspect_state.ServerProcess(server_id="e", started_ms=1)
    ),
    age_s=0.5,
    request_id="r",
)
_DEMAND = rank_demand.RankDemand(
    service="m", rank=1, load_per_s=2.0, moved_per_s=0.5
)
_FRAMES = {
    "load": peer_frames.FrontLoad(
        number=1,
        reserved={"e": 1.0},
        excluded=[],
        refusing=[],
        leaving={"e": 1},
        store_silent_s=0.0,
        strong=True,
        suspects=suspect_state.SuspectNews(
            suspects=[
                suspect_state.SuspectState(
                    fingerprint="0123456789abcdef",
                    crashes=[_CRASH],
                    quarantined_age_s=1.0,
                )
            ],
            crashes=[_CRASH],
        ),
        demand=[_DEMAND],
    ),
    "snapshot": peer_frames.FleetSnapshot(
        reserved={"e": 1},
        servers=[
            peer_frames.SeenServer(
                id="e",
                started_ms=1,
                first=0,
                end=8,
                slowness=1.0,
                loading=False,
                silent=False,
            )
        ],
        fronts=[],
        refusing=[],
        leaving={},
        feeds=[
            peer_frames.FeedProgress(
                feed=peer_frames.FeedName.CONFIGURATIONS,
                end=1,
                era=0,
                age_s=0.5,
            )
        ],
        demand=[_DEMAND],
    ),
    "records": peer_frames.RelayedRecords(
        feed=peer_frames.FeedName.CONFIGURATIONS,
        start=0,
        end=1,
        era=0,
        records=[platform_port.Record(key="k", value=b"v", offset=0)],
    ),
}


def _with(value, path, odd):
    """Returns a copy of a wire value with another one at a path."""
    if not path:
        return odd
    copied = dict(value) if isinstance(value, dict) else list(value)
    copied[path[0]] = _with(value[path[0]], path[1:], odd)
    return copied


@pytest.mark.parametrize("name", sorted(_FRAMES))
def test_a_frame_in_bounds_is_accepted(name):
    wire_value = frame_codec.to_wire(_FRAMES[name])
    assert frame_codec.from_wire(wire_value) == _FRAMES[name]


@pytest.mark.parametrize("odd", [math.nan, math.inf, 1e300, -1.0, 2**64])
@pytest.mark.parametrize(
    ("name", "path"),
    [
        ("load", ("reserved", "e")),
        ("load", ("store_silent_s",)),
        ("load", ("leaving", "e")),
        ("load", ("suspects", "crashes", 0, "age_s")),
        ("load", ("suspects", "suspects", 0, "quarantined_age_s")),
        ("load", ("demand", 0, "load_per_s")),
        ("snapshot", ("demand", 0, "moved_per_s")),
        ("snapshot", ("reserved", "e")),
        ("snapshot", ("servers", 0, "end")),
        ("snapshot", ("servers", 0, "started_ms")),
        ("snapshot", ("servers", 0, "slowness")),
        ("snapshot", ("feeds", 0, "end")),
        ("records", ("end",)),
        ("records", ("records", 0, "offset")),
    ],
    ids=lambda part: str(part),
)
def test_a_frame_out_of_bounds_is_rejected(name, path, odd):
    """One reservation that is no number ended the planner of all fronts."""
    tag, fields = frame_codec.to_wire(_FRAMES[name])
    with pytest.raises(errors.DotterelgradeError) as caught:
        frame_codec.from_wire([tag, _with(fields, path, odd)])
    assert caught.value.error.kind is errors.ErrorKind.FRAME_INVALID


def test_an_unknown_age_is_infinite_and_never_no_number():
    """A planner that has relayed records, but read none, knows no age."""
    tag, fields = frame_codec.to_wire(_FRAMES["snapshot"])
    path = ("feeds", 0, "age_s")
    frame = frame_codec.from_wire([tag, _with(fields, path, math.inf)])
    assert frame.feeds[0].age_s == math.inf
    with pytest.raises(errors.DotterelgradeError):
        frame_codec.from_wire([tag, _with(fields, path, math.nan)])


@pytest.mark.parametrize("field", ["suspects", "demand"])
@pytest.mark.parametrize("name", ["load", "snapshot"])
def test_a_frame_of_an_earlier_build_lacks_a_field(name, field):
    tag, fields = frame_codec.to_wire(_FRAMES[name])
    del fields[field]
    assert getattr(frame_codec.from_wire([tag, fields]), field) is None
