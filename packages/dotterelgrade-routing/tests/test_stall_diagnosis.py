from dotterelgrade_routing import stall_diagnosis

_REPLY = stall_diagnosis.ProbeResult


def _replies(letters):
    """Probe results of stages "0", "1", ..., one letter for each."""
    reply_by_letter = {
        "a": _REPLY.ANSWERED,
        "w": _REPLY.AWAITED,
        "s": _REPLY.SILENT,
        "d": _REPLY.DOWN,
    }
    return {
        f"{number}": reply_by_letter[letter]
        for number, letter in enumerate(letters)
    }


def test_stage_that_refuses_connections_is_at_fault():
    """Load pattern: a backend server crashes in the middle of a chain."""
    assert stall_diagnosis.faulty_stages(_replies("aada")) == ("2",)
    assert stall_diagnosis.faulty_stages(_replies("wwdw")) == ("2",)


def test_silent_stage_is_at_fault_if_the_others_answer():
    assert stall_diagnosis.faulty_stages(_replies("aasaa")) == ("2",)
    assert stall_diagnosis.faulty_stages(_replies("aadsa")) == ("2", "3")


def test_silent_stages_are_not_at_fault_if_most_are_silent():
    """Load pattern: this host's own link loses packets or is down."""
    assert stall_diagnosis.faulty_stages(_replies("assss")) == ()
    assert stall_diagnosis.faulty_stages(_replies("wwsww")) == ()
    assert stall_diagnosis.faulty_stages(_replies("sssss")) == ()


def test_answering_stages_are_not_at_fault():
    assert stall_diagnosis.faulty_stages(_replies("aaaa")) == ()
    assert stall_diagnosis.faulty_stages({}) == ()


def test_few_missing_replies_are_worth_waiting_for():
    """Load pattern: one stage of ten is silent, the others reply at once."""
    assert stall_diagnosis.is_conclusive_soon(_replies("aaaaaaaaaw"))
    assert not stall_diagnosis.is_conclusive_soon(_replies("aaaaaaaaaa"))
    assert not stall_diagnosis.is_conclusive_soon(_replies("awwww"))
