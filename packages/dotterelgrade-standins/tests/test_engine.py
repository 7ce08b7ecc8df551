import http.client
import json

import gevent
import geventhttpclient

from dotterelgrade_standins import engine
from dotterelgrade_standins import layers

HOST = "127.40.250.2"
PORT = 9301


def make_engine(**changes):
    settings = {
        "name": "e",
        "model": "inlay",
        "first_layer": 0,
        "last_layer": 5,
        "models": {"inlay": 6},
        "time_scale": 0.01,
        **changes,
    }
    return engine.Engine(engine.EngineSettings(**settings))


class Client:
    def __init__(self):
        self._http = geventhttpclient.HTTPClient(HOST, PORT)

    def call(self, method, path, value=None):
        body = json.dumps(value).encode() if value is not None else b""
        response = self._http.request(method, path, body=body)
        data = response.read()
        return response.status_code, json.loads(data or b"null")

    def step(self, sequence, position, inputs):
        item = {
            "sequence": sequence,
            "position": position,
            "inputs": list(inputs),
            "priority": 0,
        }
        status, value = self.call("POST", "/steps", {"batch": [item]})
        assert status == 200
        return value["results"][0]


def test_steps_give_the_expected_tokens():
    prompt = layers.tokenize("a b c")
    with engine.serving(make_engine(), host=HOST, port=PORT):
        client = Client()
        tokens = [client.step("s", 0, prompt)["outputs"][0]]
        for position in (3, 4):
            answer = client.step("s", position, [tokens[-1]])
            tokens.append(answer["outputs"][0])
    assert tuple(tokens) == layers.expected_tokens(
        prompt, layers=6, max_tokens=3
    )


def test_a_position_runs_once_and_in_order():
    with engine.serving(make_engine(), host=HOST, port=PORT):
        client = Client()
        assert client.step("s", 0, [1, 2])["error"] is None
        assert client.step("s", 0, [1, 2])["error"] == "out_of_order"
        assert client.step("s", 3, [1])["error"] == "out_of_order"
        assert client.step("other", 1, [1])["error"] == "unknown_sequence"


def test_a_stalled_engine_answers_its_status_and_goes_on():
    made = make_engine()
    with engine.serving(made, host=HOST, port=PORT):
        made.set_faults(stalled=True)
        step = gevent.spawn(Client().step, "s", 0, [1, 2])
        gevent.sleep(0.2)
        assert not step.ready()
        assert Client().call("GET", "/status")[0] == 200
        made.set_faults(stalled=False)
        assert step.get(timeout=5.0)["error"] is None
        assert len(made.runs) == 1


def test_full_and_cancelled():
    with engine.serving(make_engine(max_sequences=1), host=HOST, port=PORT):
        client = Client()
        client.step("one", 0, [1])
        assert client.step("two", 0, [1])["error"] == "full"
        assert client.call("DELETE", "/sequences/one")[0] == 200
        assert client.step("two", 0, [1])["error"] is None
        assert client.call("GET", "/sequences")[1] == {"sequences": ["two"]}


def test_old_fencing_number_is_refused_only_when_checked():
    order = {
        "order": "load",
        "model": "inlay",
        "version": "2",
        "first_layer": 0,
        "last_layer": 2,
    }
    for checks, expected in ((True, 409), (False, 200)):
        with engine.serving(
            make_engine(checks_fence=checks), host=HOST, port=PORT
        ):
            client = Client()
            assert client.call("POST", "/orders", {**order, "fence": 9})[0] == (
                200
            )
            status, _ = client.call("POST", "/orders", {**order, "fence": 8})
        assert status == expected


def test_exported_cache_goes_on_elsewhere():
    prompt = [5, 6, 7]
    one, other = make_engine(), make_engine()
    with engine.serving(one, host=HOST, port=PORT):
        first = Client().step("s", 0, prompt)["outputs"][0]
        exported = Client().call("GET", "/sequences/s/kv")[1]
    with engine.serving(other, host=HOST, port=PORT):
        client = Client()
        assert client.call("PUT", "/sequences/s/kv", exported)[0] == 200
        second = client.step("s", 3, [first])["outputs"][0]
    assert (first, second) == layers.expected_tokens(
        prompt, layers=6, max_tokens=2
    )


def test_dead_engine_loses_its_sequences():
    target = make_engine()
    with engine.serving(target, host=HOST, port=PORT):
        client = Client()
        client.step("s", 0, [1])
        target.set_faults(dead=True)
        try:
            client.call("GET", "/status")
        except http.client.HTTPException:
            dropped = True
        else:
            dropped = False
        target.set_faults(dead=False)
        assert dropped
        assert Client().call("GET", "/sequences")[1] == {"sequences": []}


def test_invalid_bodies_are_refused():
    with engine.serving(make_engine(), host=HOST, port=PORT):
        client = Client()
        for body in ({}, {"batch": [{}]}, {"batch": 3}, []):
            assert client.call("POST", "/steps", body)[0] == 400
            assert client.call("POST", "/orders", body)[0] == 400
