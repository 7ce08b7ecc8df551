import json

import geventhttpclient
import pytest

from dotterelgrade import admin
from dotterelgrade import journal
from dotterelgrade import metrics
from dotterelgrade import wsgi


class _FakeProcess:
    def __init__(self):
        self.metrics = metrics.Metrics()
        self.journal = journal.Journal(capacity=2)
        self.is_ready = False

    def dump(self):
        return {"requests": 3}


@pytest.fixture
def process():
    return _FakeProcess()


@pytest.fixture
def get(process):
    with wsgi.serving(admin.AdminApp(process), host="127.0.9.9", port=17401):
        client = geventhttpclient.HTTPClient("127.0.9.9", 17401)

        def get_path(path):
            response = client.get(path)
            return response.status_code, response.read()

        yield get_path
        client.close()


def test_state_and_health_endpoints(get, process):
    assert get("/state") == (200, b'{"requests": 3}')
    assert get("/healthz")[0] == 200
    assert get("/readyz")[0] == 503
    process.is_ready = True
    assert get("/readyz")[0] == 200


def test_explain_returns_the_decisions_of_a_request(get, process):
    process.journal.record("refused", reason="full", request_id="r1", load=3)
    status, body = get("/explain/r1")
    assert status == 200
    assert json.loads(body)[0]["details"] == {"load": 3}
    assert get("/explain/r2")[0] == 404


def test_invalid_requests_get_client_errors(get):
    assert get("/journal?count=-1")[0] == 400
    assert get("/nothing")[0] == 404


def test_journal_keeps_only_the_latest_entries(process):
    for number in range(5):
        process.journal.record("decision", reason=str(number))
    assert [e.reason for e in process.journal.latest()] == ["3", "4"]


def test_metrics_include_counters_and_latencies(get, process):
    process.metrics.counter("refusals", "Refusals.", ("kind",)).labels(
        "over_bound"
    ).inc()
    process.metrics.latency("first_token_seconds", "First token.").record(0.25)
    text = get("/metrics")[1].decode()
    assert 'refusals_total{kind="over_bound"} 1.0' in text
    assert "first_token_seconds_count 1.0" in text
