from dotterelgrade_routing import store_era

_ERA_STATUS = store_era.EraStatus


def test_an_older_era_is_outdated():
    era = store_era.StoreEra()
    assert era.note(3) is _ERA_STATUS.NEWER
    assert era.note(3) is _ERA_STATUS.CURRENT
    assert era.note(2) is _ERA_STATUS.OUTDATED
    assert era.newest == 3


def test_a_store_without_eras_stays_in_one_era():
    era = store_era.StoreEra()
    assert era.note(store_era.UNCOUNTED) is _ERA_STATUS.CURRENT
