"""Passes the events of one stream on to its caller."""

import time

from dotterelgrade import http_message
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import client_connection
from dotterelgrade_front import event_sequence
from dotterelgrade_front import event_stream
from dotterelgrade_front import front_metrics
from dotterelgrade_front import responses
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import stream_pace


class StreamOutput:
    """The response to the caller, which several attempts may produce."""

    def __init__(
        self,
        client: client_connection.ClientConnection,
        *,
        call: call_lib.Call,
        metrics: front_metrics.FrontMetrics,
        close: bool,
    ) -> None:
        """Initializes an output without events.

        Args:
            client: The connection to the caller.
            call: The call.
            metrics: Records the time to the first event.
            close: Whether the connection closes after the response.
        """
        self._client = client
        self._call = call
        self._metrics = metrics
        self._close = close
        self._pace = stream_pace.StreamPace(call.received_at)
        self._head_sent = False
        self._sequence = event_sequence.EventSequence(
            caller_has=call.facts.last_event_id if call.route.resumable else ""
        )

    def __repr__(self) -> str:
        """Shows the number of events passed on."""
        return f"<StreamOutput {self._pace.events} events>"

    @property
    def pace(self) -> stream_pace.StreamPace:
        """Timing of the events passed on."""
        return self._pace

    @property
    def begun(self) -> bool:
        """Whether the caller has received the head and an event."""
        return self._head_sent

    @property
    def sequence(self) -> event_sequence.EventSequence:
        """The events passed on; another attempt continues a copy of it."""
        return self._sequence

    @property
    def silent_s(self) -> float:
        """Time since the last event, or since the request if none, s."""
        return time.monotonic() - self._pace.last_at

    def forward(
        self,
        attempt: stream_attempt.StreamAttempt,
        events: event_stream.Events,
    ) -> bool:
        """Forwards what an attempt has received.

        Args:
            attempt: The attempt; the head of the first one is passed on.
            events: Complete events and comments.

        Returns:
            Whether there was any event; comments are no progress.
        """
        if not events.count:
            return False
        data = responses.encode_chunk(events.data)
        if not self._head_sent:
            data = self._encoded_head(attempt.head) + data
        if events.ids and not self._pace.events:
            self._metrics.first_event.record(self._call.age_s)
        self._client.write(data)
        self._head_sent = True
        self._sequence = attempt.sequence
        if not events.ids:
            return False
        self._pace.record_events(len(events.ids), at=time.monotonic())
        return True

    def finish(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Completes the response.

        Args:
            attempt: The attempt that has ended.
        """
        data = responses.LAST_CHUNK
        if not self._head_sent:
            data = self._encoded_head(attempt.head) + data
        self._client.write(data)

    def send_error_response(
        self, head: http_message.ResponseHead, body: bytes
    ) -> None:
        """Passes on a response that is no stream.

        Args:
            head: Its head.
            body: Its body.
        """
        responses.send_response(
            self._client, head=head.end_to_end(), body=body, close=self._close
        )

    def _encoded_head(self, head: http_message.ResponseHead) -> bytes:
        forwarded = head.end_to_end()
        return responses.encode_stream_head(forwarded, close=self._close)
