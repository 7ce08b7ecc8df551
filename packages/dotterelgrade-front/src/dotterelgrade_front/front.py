"""Assembles a front from its components and runs it until a stop."""

from collections.abc import Iterator
import contextlib
import functools
import hashlib
import logging
import os
import time
from typing import Any
import uuid

import gevent
from gevent import server as gevent_server

from dotterelgrade import admin
from dotterelgrade import client_refusals
from dotterelgrade import connection_frames
from dotterelgrade import handshake
from dotterelgrade import supervision
from dotterelgrade import wire
from dotterelgrade import wsgi
from dotterelgrade_front import copied_feed
from dotterelgrade_front import copy_publisher
from dotterelgrade_front import feed_follower
from dotterelgrade_front import feed_sinks
from dotterelgrade_front import front_settings
from dotterelgrade_front import front_state
from dotterelgrade_front import loop_monitor
from dotterelgrade_front import peer_frames
from dotterelgrade_front import planner as planner_lib
from dotterelgrade_front import planner_hub
from dotterelgrade_front import planner_link
from dotterelgrade_front import request_handler
from dotterelgrade_front import suspect_sync
from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import graceful_stop
from dotterelgrade_routing import leadership as leadership_lib
from dotterelgrade_routing import platform_port

_LOG = logging.getLogger(__name__)

_LISTEN_BACKLOG = 512
# Fewer than the descriptors that are reserved: a connection above the limit is
# decided on before many more are accepted.
_ACCEPTED_AT_ONCE = 16
# The load balancer notices a leaving front within two checks a second apart.
_DEREGISTRATION_WAIT_S = 2.6
# Requests still in flight this long before SIGKILL are aborted.
_ABORT_MARGIN_S = 0.5
_DRAIN_POLL_INTERVAL_S = 0.05
# The part of that margin that is left for the exit after the last answers.
_EXIT_MARGIN_S = 0.1
_ANSWER_POLL_INTERVAL_S = 0.01
# Batches updates, since each store read has a cost; a leaving backend server
# must be known within 2 s.
_SERVER_BATCH_S = 0.4
# On a connection idle for less than this, a request may be in transit.
_MIN_IDLE_S = 0.3
# The store answers in milliseconds; after this time the front starts without it
# and answers 503.
_FIRST_READ_TIMEOUT_S = 0.3
_FIRST_READ_POLL_INTERVAL_S = 0.01
_CLAIM_CHECK_INTERVAL_S = 0.1


class Front:
    """One front process."""

    def __init__(
        self,
        settings: front_settings.FrontSettings,
        *,
        platform: platform_port.Platform,
    ) -> None:
        """Initializes a front; `running` starts it.

        Args:
            settings: Addresses and limits of the front.
            platform: Clients of the platform's services.
        """
        self._settings = settings
        self._state = front_state.FrontState(settings, platform=platform)
        self._handler = request_handler.RequestHandler(self._state)
        self._planner = planner_lib.Planner(self._state)
        self._hub = planner_hub.PlannerHub(self._state, planner=self._planner)
        self._identity = handshake.ProcessIdentity(
            process=str(uuid.uuid4()),
            role=connection_frames.Role.ENTRY,
            host=settings.host,
            port=settings.peer_port,
            failure_domain=settings.failure_domain,
            # Distinguishes deployments; hosts share no secret.
            shared_key=hashlib.sha256(settings.store_address.encode()).digest(),
        )
        self._leadership = leadership_lib.Leadership(settings.peer_address)
        self._followers = self._make_followers()
        self._hub.set_followers(self._followers)
        self._link = planner_link.PlannerLink(
            self._state,
            identity=self._identity,
            leadership=self._leadership,
            followers=self._followers,
        )
        self._suspects = suspect_sync.SuspectSync(
            self._state,
            leads=lambda: self._is_planner,
            planner_silent_s=lambda: self._link.snapshot_age_s,
        )
        self._refusals = client_refusals.ClientRefusals(
            self._state.metrics.shared
        )
        self._is_planner = False
        self._planner_since = float("-inf")
        self._term_read_at = float("-inf")
        self._claim_jitter = self._state.rng.random()
        listener = wsgi.listener(*_host_port(settings.callers_address))
        self._caller_server = gevent_server.StreamServer(
            listener,
            self._handler.serve_connection,
            backlog=_LISTEN_BACKLOG if isinstance(listener, tuple) else None,
        )
        self._caller_server.max_accept = _ACCEPTED_AT_ONCE

    def __repr__(self) -> str:
        """Shows the host."""
        return f"<Front {self._settings.node}>"

    @property
    def metrics(self) -> Any:
        """The metrics, for the admin address."""
        return self._state.metrics

    @property
    def journal(self) -> Any:
        """The latest decisions, for the admin address."""
        return self._state.decisions.journal

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests here."""
        return self._state.ready

    def dump(self) -> dict[str, Any]:
        """Returns the whole state as JSON values."""
        state = self._state
        now = time.monotonic()
        return {
            "node": self._settings.node,
            "ready": state.ready,
            "leads": self._is_planner,
            "configuration": {
                "version": state.known_configuration.version,
                "age_s": round(
                    now - state.known_configuration.store_contact_at, 2
                ),
            },
            "backend_servers": [
                {
                    "id": server.id,
                    "service": server.service,
                    "address": server.address,
                    "availability": server.availability.value,
                    "layers": repr(state.fleet.layers_of(server)),
                    "slowness": state.fleet.slowness_of(server),
                    "excluded": state.exclusions.excluded(server.id, now=now),
                    "reserved": round(state.load.used(server.id)),
                }
                for server in state.fleet.servers
            ],
        }

    def reload(self, settings: front_settings.FrontSettings) -> None:
        """Applies changed settings, except addresses, which need a restart.

        Args:
            settings: The new contents of the settings file.
        """
        self._settings = settings.with_identity_of(self._settings)
        self._state.reload(self._settings)

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Serves requests for the body of the context.

        Raises:
            OSError: An address is already in use.
        """
        callers = self._caller_server
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._serving_admin())
            stack.enter_context(
                wire.listening(
                    self._hub.serve,
                    identity=self._identity,
                    limits=self._settings.peer_limits,
                    refusals=self._refusals,
                )
            )
            greenlets = [
                gevent.spawn(
                    supervision.keep_running, task, journal=self.journal
                )
                for task in self._tasks()
            ]
            stack.callback(gevent.killall, greenlets, timeout=0.2)
            self._wait_for_first_read()
            callers.start()
            stack.callback(callers.stop, timeout=0)
            _LOG.info("started", extra={"pid": os.getpid()})
            yield

    def _wait_for_first_read(self) -> None:
        """Waits for the configuration, the backend servers and the suspects.

        Until then connections queue in the listen backlog; without a
        configuration the front could only answer 503.
        """
        deadline = time.monotonic() + _FIRST_READ_TIMEOUT_S
        while time.monotonic() < deadline:
            known = self._state.configuration and self._state.fleet.servers
            if known and self._suspects.has_read:
                return
            gevent.sleep(_FIRST_READ_POLL_INTERVAL_S)

    def drain(self) -> None:
        """Finishes the requests in flight, within the grace period."""
        stopped_at = time.monotonic()
        deadline = stopped_at + self._settings.grace_s - _ABORT_MARGIN_S
        self._state.mark_leaving(
            graceful_stop.GracefulStop(
                deregistered_at=stopped_at + _DEREGISTRATION_WAIT_S,
                aborts_at=deadline,
            )
        )
        self._state.decisions.record(
            "leaving",
            reason="stop requested",
            requests=self._handler.requests_in_flight,
        )
        gevent.sleep(_DEREGISTRATION_WAIT_S)
        self._stop_listening()
        while self._handler.connections and time.monotonic() < deadline:
            self._handler.close_idle(for_s=_MIN_IDLE_S)
            gevent.sleep(_DRAIN_POLL_INTERVAL_S)
        unfinished = self._handler.requests_in_flight
        self._answer_unfinished()
        _LOG.info("stopped", extra={"unfinished": unfinished})

    def _answer_unfinished(self) -> None:
        """Waits until each request in flight has some byte of an answer."""
        deadline = time.monotonic() + _ABORT_MARGIN_S - _EXIT_MARGIN_S
        while self._handler.answer_unfinished():
            gevent.sleep(_ANSWER_POLL_INTERVAL_S)
            if time.monotonic() >= deadline:
                return

    def _stop_listening(self) -> None:
        """Serves the connections that are in the queue, and refuses others.

        An unread connection would hold its caller until the process exits.
        """
        # One round of the event loop accepts them, another registers them.
        gevent.sleep(0)
        self._caller_server.close()
        gevent.sleep(0)

    @contextlib.contextmanager
    def _serving_admin(self) -> Iterator[None]:
        app = admin.AdminApp(self)
        app.route("GET", "ready", app.ready)
        ready_host, ready_port = _host_port(self._settings.ready_address)
        ports = {"ready": ready_port, "metrics": self._settings.metrics_port}
        with contextlib.ExitStack() as stack:
            for name, port in ports.items():
                stack.enter_context(
                    wsgi.serving(
                        app,
                        host=ready_host,
                        port=port,
                        name=name,
                        limits=self._settings.listen,
                        refusals=self._refusals,
                    )
                )
            yield

    def _make_followers(self) -> feed_follower.Followers:
        platform, state = self._state.platform, self._state
        names = peer_frames.FeedName
        return {
            names.CONFIGURATIONS: self._make_follower(
                names.CONFIGURATIONS,
                copied_feed.CopiedFeed(
                    platform.configurations, copies=platform.copies
                ),
                feed_sinks.ConfigurationSink(state),
            ),
            names.BACKEND_SERVERS: self._make_follower(
                names.BACKEND_SERVERS,
                platform.backend_servers,
                feed_sinks.ServerSink(state),
                batch_delay_s=_SERVER_BATCH_S,
            ),
        }

    def _make_follower(
        self,
        name: peer_frames.FeedName,
        feed: platform_port.Feed,
        sink: feed_follower.Sink,
        *,
        batch_delay_s: float = 0.0,
    ) -> feed_follower.FeedFollower:
        return feed_follower.FeedFollower(
            feed,
            sink=sink,
            rng=self._state.rng,
            count=self._state.metrics.count_store_read,
            batch_delay_s=batch_delay_s,
            on_page=functools.partial(self._hub.relay_page, name),
        )

    def _tasks(self) -> list[Any]:
        return [
            *(follower.run for follower in self._followers.values()),
            self._maintain_term,
            self._run_planner,
            self._exchange_loads,
            self._drop_missing_servers,
            self._suspects.run,
            loop_monitor.LoopMonitor(self._state).run,
            copy_publisher.CopyPublisher(
                self._state,
                follower=self._followers[peer_frames.FeedName.CONFIGURATIONS],
                leads=lambda: self._is_planner,
            ).run,
        ]

    def _maintain_term(self) -> None:
        """Claims a term if no planner answers, and confirms the own one."""
        while True:
            gevent.sleep(
                feed_timing.spread_pause_s(
                    _CLAIM_CHECK_INTERVAL_S, jitter=self._state.rng.random()
                )
            )
            now = time.monotonic()
            if self._state.leaving:
                continue
            since_read_s = now - self._term_read_at
            if (
                self._is_planner
                and since_read_s < leadership_lib.TERM_CONFIRMATION_INTERVAL_S
            ):
                continue
            if self._is_planner or self._should_claim(now):
                self._read_term(now)

    def _should_claim(self, now: float) -> bool:
        if self._state.configuration is None:
            # It could order nothing, and has no records to relay.
            return False
        delay_s = leadership_lib.claim_delay_s(
            self._state.fronts,
            own=self._settings.peer_address,
            jitter=self._claim_jitter,
            strong=self._settings.strong,
        )
        return self._leadership.should_claim(delay_s=delay_s, now=now)

    def _read_term(self, now: float) -> None:
        """Reads the newest term, and claims the next one if it should."""
        election = self._state.platform.election
        self._term_read_at = now
        try:
            term = election.current()
            self._leadership.note_term(term, at=now)
            if not self._should_claim(now):
                return
            claimed = election.claim(self._settings.peer_address, after=term)
        except platform_port.StoreError:
            # The feed follower logs outages of the store.
            return
        if claimed is not None:
            self._leadership.note_term(claimed, at=now)

    def _run_planner(self) -> None:
        """Runs the planner and sends snapshots while this front leads."""
        while True:
            self._leadership.note_peer_contact(
                heard_store_at=self._hub.store_contact_at,
                own_heard_at=self._state.known_configuration.store_contact_at,
            )
            hands_over = self._is_planner and leadership_lib.should_hand_over(
                led_s=time.monotonic() - self._planner_since,
                silent=self._planner.silent_share,
                strong=self._settings.strong,
                stronger_available=self._hub.has_strong_front,
            )
            if hands_over and self._hub.has_fronts:
                self._leadership.resign()
            leads = self._leadership.leads and not self._state.leaving
            hands_over = hands_over or self._leadership.lost_store
            self._set_leading(leads, hands_over=hands_over)
            if leads:
                self._planner.tick(refusing=self._hub.refusing)
                self._hub.send_snapshots()
            gevent.sleep(planner_lib.TICK_S)

    def _set_leading(self, leads: bool, *, hands_over: bool) -> None:
        if leads == self._is_planner:
            return
        self._is_planner = leads
        self._planner_since = time.monotonic()
        self._state.decisions.record(
            "planner_elected" if leads else "planner_stepped_down",
            reason=repr(self._leadership),
        )
        successor = self._hub.set_leading(
            leads, hands_over=hands_over, ended_term=self._leadership.term
        )
        if successor:
            self._link.set_successor(successor)
        if not leads:
            self._state.load.assume_others(fronts=len(self._state.fronts))

    def _exchange_loads(self) -> None:
        """Keeps a link to the planner while another front leads."""
        while True:
            if self._is_planner:
                gevent.sleep(planner_link.EXCHANGE_INTERVAL_S)
            else:
                self._link.run_once()

    def _drop_missing_servers(self) -> None:
        """Drops backend servers still missing after an outage of the list."""
        while True:
            gevent.sleep(planner_link.EXCHANGE_INTERVAL_S)
            for server_id in self._state.fleet.drop_missing(
                now=time.monotonic()
            ):
                self._state.decisions.record(
                    "backend_server_gone",
                    reason="still missing after the store's return",
                    server=server_id,
                )


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
