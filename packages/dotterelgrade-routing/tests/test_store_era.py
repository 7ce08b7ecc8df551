from dotterelgrade_routing import store_era

_STANDING = store_era.Standing


def test_an_older_era_is_outdated():
    era = store_era.StoreEra()
    assert era.note(3) is _STANDING.RISEN
    assert era.note(3) is _STANDING.CURRENT
    assert era.note(2) is _STANDING.OUTDATED
    assert era.newest == 3


def test_a_store_without_eras_stays_in_one_era():
    era = store_era.StoreEra()
    assert era.note(store_era.UNCOUNTED) is _STANDING.CURRENT
