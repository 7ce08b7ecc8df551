from dotterelgrade_routing import workspace_shares


def test_a_workspace_is_over_its_share_only_while_others_are_active():
    now = [0.0]
    held = workspace_shares.Shares(clock=lambda: now[0])
    held.note("studio", weight=1.0, amount=900)
    assert not held.is_over("studio")
    held.note("bench", weight=2.0, amount=100)
    assert held.is_over("studio")
    assert not held.is_over("bench")
    now[0] += 60
    held.note("studio", weight=1.0, amount=10)
    assert not held.is_over("studio")


def test_the_share_follows_the_weight():
    held = workspace_shares.Shares(clock=lambda: 0.0)
    held.note("bench", weight=9.0, amount=800)
    held.note("studio", weight=1.0, amount=200)
    assert not held.is_over("bench")
    assert held.is_over("studio")
    assert not held.is_over("unknown")


def test_many_workspaces_are_forgotten_again():
    now = [0.0]
    held = workspace_shares.Shares(clock=lambda: now[0])
    for number in range(3_000):
        now[0] += 0.1
        held.note(f"w{number}", weight=1.0, amount=2.0)
    assert len(held) < 1_500


def test_a_workspace_that_only_asks_falls_short_of_its_share():
    """A workspace that is refused each time must not look inactive."""
    now = [0.0]
    held = workspace_shares.Shares(negligible=0.1, clock=lambda: now[0])
    held.note_asked("bench")
    assert held.shortfall("bench", part=0.5) == 0.0
    held.note("studio", weight=1.0, amount=8.0)
    assert held.shortfall("bench", part=0.5) == 2.0
    assert held.shortfall("studio", part=0.5) == 0.0
    now[0] += 3.0
    assert held.shortfall("bench", part=0.5) == 0.0


def test_one_request_above_the_share_may_be_tolerated():
    held = workspace_shares.Shares(clock=lambda: 0.0)
    held.note("studio", weight=1.0, amount=3.0)
    held.note("bench", weight=1.0, amount=2.0)
    assert held.is_over("studio")
    assert not held.is_over("studio", tolerance=1.0)
