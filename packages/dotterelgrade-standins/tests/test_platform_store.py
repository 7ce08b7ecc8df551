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
    assert [r.value for r in feed.read(start=0, wait_s=0).records] == [b"1"]
    waiting = gevent.spawn(feed.read, start=1, wait_s=2.0)
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
        feed.read(start=0, wait_s=0)


@pytest.mark.parametrize("outage", platform_store.Outage)
def test_an_outage_answers_nothing(store, feed, outage):
    store.outage = outage
    assert not store.write(_TOPIC, "a", b"1")
    with pytest.raises(platform_port.StoreError):
        feed.read(start=0, wait_s=0)


def test_one_member_is_elected_until_it_leaves_or_lapses(client):
    def election():
        return store_client.PartitionElection(
            client, group="g", topic="t", lease_s=0.3
        )

    one, other = election(), election()
    assert one.join("one")
    assert not other.join("other")
    assert other.elected() == "one"
    one.leave("one")
    assert other.join("other")
    gevent.sleep(0.4)
    assert one.join("one")
    assert other.elected() == "one"
