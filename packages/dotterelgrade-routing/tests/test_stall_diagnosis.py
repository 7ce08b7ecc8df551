from dotterelgrade_routing import stall_diagnosis

_REPLY = stall_diagnosis.Reply


def _replies(letters):
    """Stages a, b, ... that answered, are awaited, silent or down."""
    kinds = {
        "a": _REPLY.ANSWERED,
        "w": _REPLY.AWAITED,
        "s": _REPLY.SILENT,
        "d": _REPLY.DOWN,
    }
    return {f"{n}": kinds[letter] for n, letter in enumerate(letters)}


def test_a_stage_that_takes_no_connection_is_at_fault():
    """Load pattern: a backend server crashes in the middle of a chain."""
    assert stall_diagnosis.at_fault(_replies("aada")) == ("2",)
    assert stall_diagnosis.at_fault(_replies("wwdw")) == ("2",)


def test_a_dark_stage_is_at_fault_while_the_others_answer():
    assert stall_diagnosis.at_fault(_replies("aasaa")) == ("2",)
    assert stall_diagnosis.at_fault(_replies("aadsa")) == ("2", "3")


def test_when_most_are_silent_the_own_link_is_doubted():
    """Load pattern: this host's link loses packets, or is cut."""
    assert stall_diagnosis.at_fault(_replies("assss")) == ()
    assert stall_diagnosis.at_fault(_replies("wwsww")) == ()
    assert stall_diagnosis.at_fault(_replies("sssss")) == ()


def test_stages_that_all_answer_are_not_at_fault():
    assert stall_diagnosis.at_fault(_replies("aaaa")) == ()
    assert stall_diagnosis.at_fault({}) == ()
