"""Passes contract records between an entry and its agents in a log outage."""

from typing import Any

import gevent

from dotterelgrade import contract_feed
from dotterelgrade import messages
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import fleet as fleet_lib

_PERIOD_S = 0.5


class RecordRelay:
    """Tells agents the contract's offset here and gives and takes records."""

    def __init__(self, feed: contract_feed.ContractFeed) -> None:
        """Initializes a relay without a fleet.

        Args:
            feed: The contract in force here.
        """
        self._feed = feed
        self._fleet: fleet_lib.Fleet | None = None
        self._told: dict[str, tuple[str, int]] = {}

    def attach(self, fleet: fleet_lib.Fleet) -> None:
        """Sets the fleet whose agents are told and asked."""
        self._fleet = fleet

    def run(self) -> None:
        """Tells and asks agents until the greenlet is killed."""
        while True:
            self.step()
            gevent.sleep(_PERIOD_S)

    def step(self) -> None:
        """Tells agents a new offset; asks one that is ahead in an outage."""
        assert self._fleet is not None, "the relay has no fleet"
        peers = [p for p in self._fleet.peers.values() if p.is_connected]
        for peer in peers:
            self._tell(peer)
        if not self._feed.needs_peer_records:
            return
        ahead = [p for p in peers if p.contract_offset > self._feed.offset]
        if ahead:
            peer = max(ahead, key=lambda p: p.contract_offset)
            peer.send(messages.RecordsWanted(after_offset=self._feed.offset))

    def _tell(self, peer: agent_peer.AgentPeer) -> None:
        known = (peer.process, self._feed.offset)
        if self._told.get(peer.address) == known:
            return
        report = messages.Report(
            state=messages.ProcessState.READY,
            contract_offset=self._feed.offset,
        )
        if peer.send(report):
            self._told[peer.address] = known

    def on_frame(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        """Takes a frame about the contract from an agent."""
        if isinstance(message, messages.Report):
            self._feed.register_peer_offset(message.contract_offset)
        elif isinstance(message, messages.RecordsWanted):
            peer.send(self._feed.records_after(message.after_offset))
        elif isinstance(message, messages.Records):
            self._feed.apply_relayed_records(message)
