from dotterelgrade_entry import shares


def test_a_workspace_is_over_its_share_only_while_others_are_active():
    now = [0.0]
    held = shares.Shares(clock=lambda: now[0])
    held.note("studio", weight=1.0, amount=900)
    assert not held.is_over("studio")
    held.note("bench", weight=2.0, amount=100)
    assert held.is_over("studio")
    assert not held.is_over("bench")
    now[0] += 60
    held.note("studio", weight=1.0, amount=10)
    assert not held.is_over("studio")


def test_the_share_follows_the_weight():
    held = shares.Shares(clock=lambda: 0.0)
    held.note("bench", weight=9.0, amount=800)
    held.note("studio", weight=1.0, amount=200)
    assert not held.is_over("bench")
    assert held.is_over("studio")
    assert not held.is_over("unknown")


def test_many_workspaces_are_forgotten_again():
    now = [0.0]
    held = shares.Shares(clock=lambda: now[0])
    for number in range(3_000):
        now[0] += 0.1
        held.note(f"w{number}", weight=1.0, amount=2.0)
    assert len(held) < 1_500
