from dotterelgrade_standins import caller
from dotterelgrade_standins import deposits

HOST = "127.40.250.4"
PORT = 9302


def test_each_call_is_a_run_whatever_its_key():
    service = deposits.DepositService()
    with deposits.serving(service, host=HOST, port=PORT):
        for _ in range(2):
            answer = caller.post_json(HOST, PORT, "/deposits", {"account": "a"})
        assert answer == {"deposit": "deposits-2", "run": 2, "account": "a"}
        assert caller.post_json(HOST, PORT, "/deposits", []) == {
            "error": "expected an object"
        }
    assert [run.run for run in service.ledger] == [1, 2]


def test_a_lost_answer_has_run_and_a_dropped_call_has_not():
    service = deposits.DepositService()
    with deposits.serving(service, host=HOST, port=PORT):
        service.set_faults(drop_before=1)
        assert caller.post_json(HOST, PORT, "/deposits", {}) is None
        assert service.ledger == []
        service.set_faults(drop_after=1)
        assert caller.post_json(HOST, PORT, "/deposits", {}) is None
    assert len(service.ledger) == 1
