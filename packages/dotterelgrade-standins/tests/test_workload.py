from dotterelgrade_standins import workload

SHAPE = workload.WorkloadSettings(
    workspaces=(
        workload.WorkspaceLoad(name="large", share=3, model="m"),
        workload.WorkspaceLoad(name="small", share=1, model="m"),
    )
)


def stream(seed, shape=SHAPE):
    return list(
        workload.requests(shape, rate_per_s=50, duration_s=20, seed=seed)
    )


def test_the_same_seed_gives_the_same_stream():
    assert stream(1) == stream(1)
    assert stream(1) != stream(2)


def test_the_stream_has_the_rate_and_the_shares():
    requests = stream(3)
    large = sum(request.workspace == "large" for request in requests)
    assert 850 < len(requests) < 1150
    assert 0.7 < large / len(requests) < 0.8
    assert len({request.name for request in requests}) == len(requests)


def test_a_scaled_workspace_leaves_the_others_alone():
    shape = SHAPE.scaled("large", 10)
    assert shape.total_share == 31
    shares = {load.name: load.share for load in shape.workspaces}
    assert shares == {"large": 30, "small": 1}
