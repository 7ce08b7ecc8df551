import pytest

from dotterelgrade_front import copied_feed
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_copy

_LARGE = b"x" * record_copy.MIN_RECORD_BYTES


@pytest.fixture
def feed(platform):
    """A feed with a large record, and how many bytes were read from it."""
    platform.configurations.add("config", _LARGE)
    return platform.configurations


@pytest.fixture
def copied(feed, platform):
    return copied_feed.CopiedFeed(feed, copies=platform.copies)


def _copy(feed, *, end=None, era=None):
    return record_copy.encode(
        feed.records[-1],
        end=len(feed.records) if end is None else end,
        era=feed.era if era is None else era,
    )


def _read_keys(feed, monkeypatch):
    """Returns a list that collects the keys of all records that are read."""
    read = []
    newest = feed.newest

    def spy(*, after=""):
        page = newest(after=after)
        read.extend(record.key for record in page.records)
        return page

    monkeypatch.setattr(feed, "newest", spy)
    return read


def test_a_current_copy_replaces_the_large_record(
    feed, copied, platform, monkeypatch
):
    """Load pattern: all fronts of a site start at once on weak links."""
    platform.copies.body = _copy(feed)
    expected = feed.newest()
    read = _read_keys(feed, monkeypatch)
    assert copied.newest() == expected
    assert not read
    assert len(platform.copies.body) < len(_LARGE) / 4


def test_a_copy_of_an_older_state_is_not_used(feed, copied, platform):
    platform.copies.body = _copy(feed)
    feed.add("config", _LARGE + b"newer")
    assert copied.newest().records[0].value == _LARGE + b"newer"


def test_an_old_record_copied_with_the_end_of_the_feed_is_not_used(
    feed, copied, platform
):
    """A planner of an earlier build applied a late answer of the store."""
    old = feed.records[0]
    feed.add("config", _LARGE + b"newer")
    feed.add("other", b"value")
    platform.copies.body = record_copy.encode(
        old, end=len(feed.records), era=feed.era
    )
    assert copied.newest().records[0].value == _LARGE + b"newer"


def test_a_copy_of_another_era_is_not_used(feed, copied, platform):
    platform.copies.body = _copy(feed, era=feed.era + 1)
    assert copied.newest() == feed.newest()


@pytest.mark.parametrize("body", [b"", b"no copy", b"\x80"])
def test_a_missing_or_broken_copy_is_not_used(feed, copied, platform, body):
    platform.copies.body = body
    assert copied.newest() == feed.newest()


def test_a_copy_that_can_not_be_read_is_an_outage(copied, platform):
    platform.copies.down = True
    with pytest.raises(platform_port.StoreError):
        copied.newest()


def test_keys_after_the_copied_one_are_read(feed, copied, platform):
    feed.add("other", b"value")
    platform.copies.body = record_copy.encode(
        feed.records[0], end=len(feed.records), era=feed.era
    )
    assert [r.key for r in copied.newest().records] == ["config", "other"]
