from dotterelgrade import connection_frames
from dotterelgrade import host_list
from dotterelgrade import settings as settings_lib
from dotterelgrade_standins import hosts_service

HOST = "127.40.250.5"
PORT = 7303


def make_entry(host):
    return host_list.HostEntry(
        host=host,
        role=connection_frames.Role.AGENT,
        peer_port=7400,
        admin_port=7401,
        failure_domain="x",
    )


def make_client():
    return host_list.HostListClient(
        settings_lib.PlatformSettings(
            log_url=f"http://{HOST}:{PORT}",
            hosts_url=f"http://{HOST}:{PORT}/hosts",
        )
    )


def test_hosts_are_read_and_marked_as_leaving():
    service = hosts_service.HostsService([make_entry("127.0.0.9")])
    with hosts_service.serving(service, host=HOST, port=PORT):
        assert make_client().read().unwrap() == (make_entry("127.0.0.9"),)
        service.mark_leaving("127.0.0.9")
        (entry,) = make_client().read().unwrap()
    assert entry.is_leaving


def test_a_change_shows_only_after_the_lag():
    service = hosts_service.HostsService()
    service.set_faults(lag_s=3600.0)
    service.put(make_entry("127.0.0.9"))
    assert service.entries() == ()
    service.set_faults(lag_s=0.0)
    service.put(make_entry("127.0.0.8"))
    assert [entry.host for entry in service.entries()] == ["127.0.0.8"]


def test_down_is_an_error_and_not_an_empty_list():
    service = hosts_service.HostsService([make_entry("127.0.0.9")])
    service.set_faults(down=True)
    with hosts_service.serving(service, host=HOST, port=PORT):
        assert make_client().read().failure()
