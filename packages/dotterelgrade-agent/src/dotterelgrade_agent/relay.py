"""Contract records from and to peers, for log outages."""

from dotterelgrade import contract_feed
from dotterelgrade import messages
from dotterelgrade import wire


class Relay:
    """Answers peers that lack records and asks those that have more."""

    def __init__(self, feed: contract_feed.ContractFeed) -> None:
        """Initializes the relay.

        Args:
            feed: The contract of this process.
        """
        self._feed = feed

    def answer(
        self, connection: wire.Connection, wanted: messages.RecordsWanted
    ) -> None:
        """Sends a peer the records after its offset."""
        connection.send(self._feed.records_after(wanted.after_offset))

    def offer(self, records: messages.Records) -> None:
        """Folds in records that a peer has sent."""
        self._feed.apply_relayed_records(records)

    def peer_reported(
        self, connection: wire.Connection, report: messages.Report
    ) -> None:
        """Asks a peer that is ahead while the log does not answer."""
        self._feed.register_peer_offset(report.contract_offset)
        is_ahead = report.contract_offset > self._feed.offset
        if not is_ahead or not self._feed.needs_peer_records:
            return
        connection.send(messages.RecordsWanted(after_offset=self._feed.offset))
