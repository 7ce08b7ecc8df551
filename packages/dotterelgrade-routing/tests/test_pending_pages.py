from dotterelgrade_routing import feed_position
from dotterelgrade_routing import pending_pages
from dotterelgrade_routing import relay_encoding


def _page(start, *, end=None, value=b"v", era=0):
    end = start + 1 if end is None else end
    record = relay_encoding.EncodedRecord(key="k", offset=start, value=value)
    return pending_pages.PendingPage(
        start=start,
        page=relay_encoding.EncodedPage(records=(record,), end=end, era=era),
    )


def _position(end):
    position = feed_position.FeedPosition()
    position.advance(end)
    return position


def _take(pages, position):
    """Returns the offsets of the pages that follow, as a front applies them."""
    taken = []
    for pending in pages.take_following(position):
        taken.append(pending.start)
        position.advance(pending.page.end, era=pending.page.era)
    return taken


def test_pages_that_follow_a_read_are_taken_in_order():
    pages = pending_pages.PendingPages()
    for start in (4, 5, 6):
        pages.add(_page(start))
    assert _take(pages, _position(4)) == [4, 5, 6]
    assert _take(pages, _position(4)) == []


def test_pages_after_another_gap_are_dropped():
    pages = pending_pages.PendingPages()
    for start in (4, 6):
        pages.add(_page(start))
    assert _take(pages, _position(4)) == [4]


def test_pages_of_another_era_are_dropped():
    """The store was restored from a backup and reuses offsets."""
    pages = pending_pages.PendingPages()
    pages.add(_page(4, era=1))
    assert _take(pages, _position(4)) == []


def test_the_memory_held_is_bounded():
    pages = pending_pages.PendingPages()
    for start in range(pending_pages.MAX_PAGES + 5):
        pages.add(_page(start))
    assert len(_take(pages, _position(5))) == pending_pages.MAX_PAGES
    large = b"x" * (pending_pages.MAX_BYTES // 2)
    for start in range(4):
        pages.add(_page(start, value=large))
    assert _take(pages, _position(2)) == [2, 3]


def test_a_relayed_gap_ends_the_planners_cover():
    """A read may end just at the position that the planner stated before."""
    position = _position(3)
    position.note_planner_position(end=4, current_at=10.0)
    position.note_gap(5)
    position.advance(4)
    assert position.relay_valid_for_s(now=10.0) == 0.0
    assert position.is_behind_planner
