from dotterelgrade import contract_feed
from dotterelgrade import contract_metrics
from dotterelgrade import log_client
from dotterelgrade import metrics as metrics_lib
from dotterelgrade_standins import log_service


def test_contract_state_is_exported_as_metrics():
    service = log_service.LogService()
    feed = contract_feed.ContractFeed(log_service.LocalLog(service), wait_ms=0)
    metrics = metrics_lib.Metrics()
    contract_metrics.register(feed, metrics)
    assert b"dotterelgrade_contract_caught_up 0.0" in metrics.as_text()
    service.append(log_client.CONTRACT_STREAM, b"broken")
    feed.poll()
    text = metrics.as_text().decode()
    for line in (
        "dotterelgrade_contract_offset 1.0",
        "dotterelgrade_contract_caught_up 1.0",
        "dotterelgrade_contract_log_up 1.0",
        'dotterelgrade_contract_records_total{outcome="invalid"} 1.0',
    ):
        assert line in text
