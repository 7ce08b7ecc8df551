"""Vacant layer ranges, taken by real agents with real engine stand-ins."""

import gevent
import pytest

from dotterelgrade import connection_frames
from dotterelgrade import host_list
from dotterelgrade import messages
from dotterelgrade_standins import weight_store

PLACE = (
    "place model=inlay layers=0-2 failure_domain=recife-a replicas={} "
    "# operations: cost"
)
MODEL = "model name=inlay layers=9 # studio: drafts"
FAST = {
    "takeover_settle_s": 0.3,
    "takeover_rank_s": 0.3,
    "takeover_timeout_s": 0.5,
    "host_grace_s": 1.0,
    "hosts_poll_s": 0.1,
}


@pytest.fixture
def fleet(fleet):
    fleet.contract(MODEL, PLACE.format(1))
    return fleet


def _listed(fleet, target, *, state="live"):
    process = target.settings.process
    fleet.hosts.put(
        host_list.HostEntry(
            host=process.host,
            role=connection_frames.Role.AGENT,
            peer_port=process.peer_port,
            admin_port=process.admin_port,
            failure_domain=process.failure_domain,
            state=state,
        )
    )


def _agent(fleet, *, model, failure_domain="recife-a", **options):
    agent = {**FAST, **options.pop("agent", {})}
    target = fleet.engine_agent(
        0,
        model=model,
        load_s=0.1,
        failure_domain=failure_domain,
        agent=agent,
        **options,
    )
    _listed(fleet, target)
    return target


def _holds(fleet, target):
    return fleet.engines[target].status()["model"] == "inlay"


def _wait(condition):
    with gevent.Timeout(20):
        while not condition():
            gevent.sleep(0.02)


def _seat(target):
    return target.placement.placement.seat(f"{_IDENTITY}#0")


_IDENTITY = "place model=inlay layers=0-2"


def test_a_spare_engine_takes_the_seat_of_a_host_that_is_gone(fleet):
    holder = _agent(fleet, model="inlay")
    _wait(lambda: _seat(holder).holder is not None)
    spares = [_agent(fleet, model="") for _ in range(3)]
    _wait(lambda: len(holder.placement.placement.spares) == 3)
    gevent.sleep(1.0)
    assert not any(_holds(fleet, spare) for spare in spares)
    holder.stack.close()
    fleet.hosts.remove(holder.settings.process.host)
    _wait(lambda: any(_holds(fleet, spare) for spare in spares))
    gevent.sleep(1.5)
    assert sum(_holds(fleet, spare) for spare in spares) == 1
    taker = next(spare for spare in spares if _holds(fleet, spare))
    seat = _seat(taker)
    assert seat.holder[0] == taker.settings.process.host
    assert fleet.engines[taker].status()["fence"] == seat.fence


def test_a_rule_with_more_replicas_loads_as_many(fleet):
    _agent(fleet, model="inlay")
    spares = [_agent(fleet, model="") for _ in range(4)]
    fleet.contract(PLACE.format(3))
    _wait(lambda: sum(_holds(fleet, spare) for spare in spares) == 2)
    gevent.sleep(1.5)
    assert sum(_holds(fleet, spare) for spare in spares) == 2


def test_a_spare_of_another_failure_domain_stays(fleet):
    elsewhere = _agent(fleet, model="", failure_domain="olinda-c")
    allowed = _agent(fleet, model="")
    _wait(lambda: _holds(fleet, allowed))
    assert not _holds(fleet, elsewhere)


@pytest.mark.parametrize("way", ["drain", "leaving", "stop"])
def test_the_seat_of_a_leaving_agent_is_taken(fleet, way):
    holder = _agent(fleet, model="inlay")
    _wait(lambda: _seat(holder).holder is not None)
    spare = _agent(fleet, model="")
    if way == "drain":
        host = holder.settings.process.host
        fleet.contract(f"drain host={host} # operations: new fan")
    elif way == "leaving":
        _listed(fleet, holder, state="leaving")
    else:
        holder.departure.stop("test")
    _wait(lambda: _holds(fleet, spare))


def test_a_dead_engine_gives_its_seat_back(fleet):
    holder = _agent(fleet, model="inlay")
    _wait(lambda: _seat(holder).holder is not None)
    spare = _agent(fleet, model="")
    fleet.engines[holder].set_faults(dead=True)
    _wait(lambda: _holds(fleet, spare))


def test_with_the_log_down_the_ranked_wait_decides(fleet):
    holder = _agent(fleet, model="inlay")
    _wait(lambda: _seat(holder).holder is not None)
    spares = [_agent(fleet, model="") for _ in range(3)]
    _wait(lambda: all(len(s.placement.placement.spares) == 3 for s in spares))
    fleet.log.set_faults(down=True)
    holder.stack.close()
    fleet.hosts.remove(holder.settings.process.host)
    _wait(lambda: any(_holds(fleet, spare) for spare in spares))
    gevent.sleep(1.5)
    assert sum(_holds(fleet, spare) for spare in spares) == 1


def test_the_weight_store_sets_the_pace(fleet):
    store = weight_store.WeightStore(loads_per_s=2.0, max_wait_s=0.1)
    fleet.weights_url = fleet.serve(weight_store, store)
    spares = [_agent(fleet, model="") for _ in range(3)]
    fleet.contract(PLACE.format(3))
    _wait(lambda: all(_holds(fleet, spare) for spare in spares))
    assert len(store.granted) == 3


def test_work_in_flight_ends_before_an_engine_is_loaded_anew(fleet, admit):
    fleet.contract("model name=other layers=9 # studio: more")
    target = _agent(fleet, model="other", models={"inlay": 9, "other": 9})
    fleet.wait_usable(target)
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None, model="other"))
    fleet.entry.wait(messages.Admitted)
    _wait(lambda: _seat(target).holder is not None)
    gevent.sleep(0.5)
    assert not _holds(fleet, target)
    fleet.entry.send(target, admit("r2", stage=0, next_hop=None, model="other"))
    fleet.entry.wait(messages.Refused)
    fleet.entry.send(target, messages.Release(request_id="r1", attempt=1))
    _wait(lambda: _holds(fleet, target))


def test_a_load_that_fails_gives_the_seat_to_another(fleet):
    broken = _agent(fleet, model="", models={"other": 9})
    _wait(
        lambda: any(
            entry.decision == "load_failed" for entry in broken.journal.latest()
        )
    )
    working = _agent(fleet, model="")
    _wait(lambda: _holds(fleet, working))


def test_a_new_version_is_loaded_by_one_replica_after_the_other(fleet):
    fleet.contract(PLACE.format(3))
    agents = [_agent(fleet, model="inlay") for _ in range(3)]
    for target in agents:
        _wait(
            lambda target=target: target.placement.placement.held_by(
                (target.settings.process.host, 17400, "engine")
            )
        )
    fleet.contract("model name=inlay layers=9 version=2 # studio: drafts")
    engines = [fleet.engines[target] for target in agents]

    def loading():
        return sum(engine.status()["loading"] for engine in engines)

    def is_done():
        assert loading() <= 1
        return all(engine.status()["version"] == "2" for engine in engines)

    _wait(is_done)


def test_an_engine_that_can_not_load_does_not_try_again_at_once(fleet):
    broken = _agent(fleet, model="", models={"other": 9})

    def failures():
        entries = broken.journal.latest()
        return sum(entry.decision == "load_failed" for entry in entries)

    _wait(failures)
    gevent.sleep(2.0)
    assert failures() == 1
