from dotterelgrade_standins import caller
from dotterelgrade_standins import weight_store

HOST = "127.40.250.6"
PORT = 7304
LOAD = {
    "model": "inlay",
    "version": "1",
    "first_layer": 0,
    "last_layer": 7,
    "host": "127.0.0.9",
}


def test_loads_wait_for_each_other_until_too_many_wait():
    store = weight_store.WeightStore(loads_per_s=0.001, max_wait_s=1.0)
    with weight_store.serving(store, host=HOST, port=PORT):
        first = caller.post_json(HOST, PORT, "/loads", LOAD)
        second = caller.post_json(HOST, PORT, "/loads", LOAD)
        missing = caller.post_json(HOST, PORT, "/loads", {"model": "inlay"})
    assert first == {"wait_ms": 0.0}
    assert second["retry_after_ms"] > 0
    assert "missing" in missing["error"]
    assert len(store.granted) == 1
