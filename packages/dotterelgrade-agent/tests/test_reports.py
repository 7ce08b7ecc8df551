import gevent
import pytest

from dotterelgrade import frame_codec
from dotterelgrade import messages
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import entry_links
from dotterelgrade_agent import reports


class Links(list):
    """Stands for the entries and counts what they get."""

    sent = 0

    def broadcast(self, message):
        self.sent += len(self)
        return len(frame_codec.encode(message))


@pytest.fixture
def make(fleet):
    backend = agent_settings.BackendSettings(
        name="e", kind="engine", url="http://127.0.0.1:1"
    )

    def make(entries, *, sequences, **options):
        links = Links(entry_links.EntryLink(str(n)) for n in range(entries))
        report = messages.Report(
            state=messages.ProcessState.READY,
            contract_offset=1,
            backends=(
                messages.BackendReport(
                    backend="e", kind="engine", sequences=sequences
                ),
            ),
        )
        reporter = reports.Reporter(
            fleet.settings([backend], **options),
            links=links,
            make_report=lambda: report,
        )
        fleet.stack.callback(gevent.spawn(reporter.run).kill)
        return reporter, links

    return make


@pytest.mark.parametrize(
    ("entries", "sequences", "interval_s"),
    [(1, 1, 0.2), (1, 0, 2.0), (1_000, 1, 2.0)],
)
def test_the_interval_is_stretched(make, entries, sequences, interval_s):
    reporter, links = make(entries, sequences=sequences)
    expected = f"every {interval_s:.2f} s"
    with gevent.Timeout(20):
        while links.sent < entries or expected not in repr(reporter):
            gevent.sleep(0.01)


def test_a_change_is_reported_without_waiting_for_the_interval(make):
    hour = {"report_idle_s": 3_600.0, "report_busy_s": 3_600.0}
    reporter, links = make(1, sequences=0, **hour)
    for count in range(1, 4):
        with gevent.Timeout(20):
            while links.sent < count:
                gevent.sleep(0.01)
        reporter.changed()
