import gevent
import pytest

from dotterelgrade_platform import store as store_client
from dotterelgrade_routing import platform_port
from dotterelgrade_standins import platform_store

_TOPIC = store_client.SERVERS_TOPIC


@pytest.fixture
def store():
    return platform_store.PlatformStore()


@pytest.fixture
def client(store):
    with store.serving("127.0.0.1") as (host, port):
        yield store_client.StoreClient(f"{host}:{port}")


@pytest.fixture
def feed(client):
    return store_client.KeyedFeed(client, topic=_TOPIC)


def test_records_are_read_and_waited_for(store, feed):
    store.write(_TOPIC, "a", b"1")
    assert [
        r.value
        for r in feed.read(start=0, wait_s=0, answer_timeout_s=1).records
    ] == [b"1"]
    waiting = gevent.spawn(feed.read, start=1, wait_s=2.0, answer_timeout_s=3.0)
    gevent.sleep(0.05)
    store.write(_TOPIC, "a", b"2")
    assert [r.value for r in waiting.get(timeout=1).records] == [b"2"]


def test_only_the_newest_record_of_a_key_is_kept(store, feed):
    for value in (b"1", b"2"):
        store.write(_TOPIC, "a", value)
    store.write(_TOPIC, "b", b"")
    page = feed.newest()
    assert [(r.key, r.value) for r in page.records] == [("a", b"2")]
    assert page.end == 3


def test_deleted_records_are_said_to_be_gone(store, feed):
    store.write(_TOPIC, "a", b"1")
    store.forget_history()
    with pytest.raises(platform_port.RecordsExpiredError):
        feed.read(start=0, wait_s=0, answer_timeout_s=1)


@pytest.mark.parametrize("outage", platform_store.Outage)
def test_an_outage_answers_nothing(store, feed, outage):
    store.outage = outage
    assert not store.write(_TOPIC, "a", b"1")
    with pytest.raises(platform_port.StoreError):
        feed.read(start=0, wait_s=0, answer_timeout_s=1)


def test_one_of_two_claims_of_a_term_wins(client):
    def election():
        return store_client.AppendElection(client, topic="keyed.t")

    one, other = election(), election()
    before = one.current()
    assert before == platform_port.Term(number=0, planner="", era=1)
    claimed = one.claim("one", after=before)
    assert claimed == other.current()
    assert other.claim("other", after=before) is None
    assert other.claim("other", after=claimed).planner == "other"
    assert one.current().planner == "other"


def test_a_claim_whose_answer_is_lost_holds(store, client):
    """Load pattern: the store carries a call out and its answer is lost."""
    election = store_client.AppendElection(client, topic="keyed.t")
    store.loses_answers = True
    with pytest.raises(platform_port.StoreError):
        election.claim("one", after=platform_port.Term(number=0, planner=""))
    store.loses_answers = False
    assert election.current().planner == "one"


def test_a_store_that_comes_back_from_a_copy_counts_it(store, feed):
    """Load pattern: a drill; what was written since the copy is gone."""
    store.write(_TOPIC, "a", b"1")
    copy = store.copy()
    store.write(_TOPIC, "a", b"2")
    before = feed.newest()
    store.restore(copy)
    after = feed.newest()
    assert [r.value for r in after.records] == [b"1"]
    assert after.era == before.era + 1
    with pytest.raises(platform_port.RecordsExpiredError):
        feed.read(start=before.end, wait_s=0, answer_timeout_s=1)


def test_a_term_that_a_copy_lacks_is_given_out_again(store, client):
    election = store_client.AppendElection(client, topic="keyed.t")
    copy = store.copy()
    first = election.claim("one", after=election.current())
    store.restore(copy)
    second = election.claim("other", after=election.current())
    assert second.number == first.number
    assert second.rank > first.rank


@pytest.fixture
def values(client):
    return store_client.ValueTopic(client, topic="keyed.values")


def _write(values, changes):
    assert values.write_if_unchanged(changes, since=values.read())


def test_values_are_replaced_and_removed_together(values):
    assert values.read() == platform_port.Page(records=(), end=0, era=1)
    _write(values, {"a": b"1", "b": b"2"})
    _write(values, {"a": b"", "b": b"3"})
    page = values.read()
    assert page.records == (
        platform_port.Record(key="b", value=b"3", offset=3),
    )


def test_values_that_were_written_meanwhile_are_not_replaced(values):
    """Of two fronts that claim the same, one gets it."""
    since = values.read()
    assert values.write_if_unchanged({"a": b"2"}, since=since)
    assert not values.write_if_unchanged({"a": b"3"}, since=since)
    assert [r.value for r in values.read().records] == [b"2"]


@pytest.mark.parametrize("outage", platform_store.Outage)
def test_values_that_are_not_acknowledged_are_an_error(store, values, outage):
    since = values.read()
    store.outage = outage
    with pytest.raises(platform_port.StoreError):
        values.write_if_unchanged({"a": b"2"}, since=since)
