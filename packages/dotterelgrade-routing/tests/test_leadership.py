from dotterelgrade_routing import leadership as leadership_lib


def _elected(at):
    leadership = leadership_lib.Leadership()
    leadership.confirm(leadership_lib.Confirmation(elected=True, at=at))
    return leadership


def test_only_the_elected_front_leads():
    leadership = leadership_lib.Leadership()
    assert not leadership.leads(now=0.0)
    assert _elected(0.0).leads(now=1.0)


def test_a_planner_that_is_cut_off_alone_steps_down():
    leadership = _elected(0.0)
    leadership.note_others(reach_store=True)
    assert leadership.leads(now=leadership_lib.CONFIRMED_FOR_S)
    assert not leadership.leads(now=leadership_lib.CONFIRMED_FOR_S + 0.1)


def test_a_planner_goes_on_while_nobody_reaches_the_store():
    leadership = _elected(0.0)
    leadership.note_others(reach_store=False)
    assert leadership.leads(now=60.0)
