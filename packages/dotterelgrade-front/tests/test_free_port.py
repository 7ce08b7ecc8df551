import importlib.util

import front_fakes as fakes

_PORTS = 50


def _other_run():
    """Returns the helpers as another run of the tests has them."""
    spec = importlib.util.spec_from_file_location("other", fakes.__file__)
    other = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(other)
    return other


def test_runs_side_by_side_do_not_take_each_others_ports():
    own = {fakes.free_port() for _ in range(_PORTS)}
    other = _other_run()
    others = {other.free_port() for _ in range(_PORTS)}
    assert len(own) == _PORTS
    assert not own & others
