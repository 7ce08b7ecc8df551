"""Keeps a compressed copy of the configuration in the store."""

from collections.abc import Callable

import gevent

from dotterelgrade_front import feed_follower
from dotterelgrade_front import front_state
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_copy

_CHECK_INTERVAL_S = 0.25
# Pause after a write that the store did not accept.
_FAILURE_PAUSE_S = 1.5


class CopyPublisher:
    """Writes a copy of each new version while this front is the planner."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        follower: feed_follower.FeedFollower,
        leads: Callable[[], bool],
    ) -> None:
        """Initializes a publisher; `run` starts it.

        Args:
            state: Shared by the front's greenlets.
            follower: Follows the configurations.
            leads: Returns whether this front is the planner.
        """
        self._state = state
        self._follower = follower
        self._leads = leads
        self._published: tuple[int, int | None] | None = None

    def __repr__(self) -> str:
        """Shows what was published last."""
        return f"<CopyPublisher {self._published}>"

    def run(self) -> None:
        """Publishes until the greenlet is killed."""
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            if not self._leads():
                self._published = None
            elif not self.publish_once():
                gevent.sleep(_FAILURE_PAUSE_S)

    def publish_once(self) -> bool:
        """Writes a copy unless the store has one of this version.

        Returns:
            Whether the store answered, or nothing had to be written.
        """
        follower, platform = self._follower, self._state.platform
        position = (follower.era, follower.end)
        record = follower.latest(platform.configuration_key)
        if record is None or position == self._published:
            return True
        if len(record.value) < record_copy.MIN_RECORD_BYTES:
            return True
        body = record_copy.encode(record, end=follower.end, era=follower.era)
        try:
            platform.copies.write(body)
        except platform_port.StoreError as error:
            self._state.decisions.record(
                "record_copy_failed", reason=str(error), end=position[1]
            )
            return False
        self._published = position
        self._state.decisions.record(
            "record_copy_written",
            reason="newer version read",
            end=position[1],
            bytes=len(body),
        )
        return True
