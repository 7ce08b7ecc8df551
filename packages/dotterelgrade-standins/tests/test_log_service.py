import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import log_client
from dotterelgrade import settings as settings_lib
from dotterelgrade_standins import log_service

HOST = "127.40.250.1"
PORT = 7301


def make_client():
    return log_client.LogClient(
        settings_lib.PlatformSettings(
            log_url=f"http://{HOST}:{PORT}",
            hosts_url=f"http://{HOST}:{PORT}/hosts",
            timeout_s=2.0,
        )
    )


def kind_of(outcome):
    return outcome.failure().kind


def test_append_and_read_over_http():
    service = log_service.LogService()
    with log_service.serving(service, host=HOST, port=PORT):
        client = make_client()
        assert client.append("contract", b"one") == result.Success(1)
        assert client.append("contract", b"two") == result.Success(2)
        page = client.read("contract", start=2).unwrap()
    assert [record.body for record in page.records] == [b"two"]
    assert (page.first_kept, page.end) == (1, 3)


def test_read_waits_for_a_record():
    service = log_service.LogService()
    with log_service.serving(service, host=HOST, port=PORT):
        client = make_client()
        reader = gevent.spawn(client.read, "s", start=1, wait_ms=5_000)
        gevent.sleep(0.05)
        service.append("s", b"late")
        page = reader.get(timeout=5).unwrap()
    assert [record.body for record in page.records] == [b"late"]


def test_answer_lost_after_the_append():
    service = log_service.LogService()
    service.set_faults(lose_answers_after=1)
    with log_service.serving(service, host=HOST, port=PORT):
        outcome = make_client().append("s", b"kept")
    assert kind_of(outcome) is errors.ErrorKind.LOG_UNAVAILABLE
    assert [record.body for record in service.records("s")] == [b"kept"]


def test_answer_lost_before_the_append():
    service = log_service.LogService()
    service.set_faults(lose_answers_before=1)
    with log_service.serving(service, host=HOST, port=PORT):
        outcome = make_client().append("s", b"gone")
    assert kind_of(outcome) is errors.ErrorKind.LOG_UNAVAILABLE
    assert service.records("s") == []


def test_short_retention_answers_expired():
    service = log_service.LogService()
    service.set_faults(keep_records=2)
    for number in range(5):
        service.append("s", b"%d" % number)
    with log_service.serving(service, host=HOST, port=PORT):
        outcome = make_client().read("s", start=3)
        page = make_client().read("s", start=4).unwrap()
    assert kind_of(outcome) is errors.ErrorKind.RECORD_EXPIRED
    assert page.first_kept == 4


def test_down_loses_waiting_reads_and_comes_back():
    service = log_service.LogService()
    log = log_service.LocalLog(service)
    service.set_faults(down=True)
    assert kind_of(log.append("s", b"x")) is errors.ErrorKind.LOG_UNAVAILABLE
    service.set_faults(down=False)
    assert log.append("s", b"x") == result.Success(1)
