"""Leader election of the planner.

The planner decides which engine holds which layers, and adds up the load
reports of all fronts.

Failures: the planner is killed, paused or cut off from the store while others
still reach it; the store is unavailable to all; the planner's link is too slow
for the reports of fronts and engines, so that all engines seem silent; or all
processes start at once and none of them leads.

A front claims a term by compare-and-set in the store and stays planner until it
stops answering; a planner that restarts finds its own term and resumes. During
an outage of the store, the first reachable front in a ranking that all fronts
share is the acting planner. Engines accept orders by compare-and-set, so two
planners at a time do no harm.

A store that is restored from a backup reuses term numbers, so a term belongs to
an era of the store. A planner whose claim was lost in the restore claims the
next term at once, and keeps planning meanwhile.
"""

from collections.abc import Iterable
import dataclasses

from dotterelgrade import rendezvous
from dotterelgrade_routing import platform_port

# A planner steps down when another front has reached the store this long after
# the store last confirmed the planner's term.
TERM_CONFIRMATION_TIMEOUT_S = 3.5
# It steps down sooner if it can't reach the store at all, since its data is
# then older than that of the other fronts.
STORE_CONTACT_TIMEOUT_S = 1.25
# The store counts as unavailable after this silence. Each later front in the
# common order waits one step longer, so that an earlier one acts first.
STORE_OUTAGE_AFTER_S = 3.0
ACTING_STAGGER_S = 1.0
# Interval at which the planner checks in the store that its term is the newest.
TERM_CONFIRMATION_INTERVAL_S = 1.0
# A front that won a term but missed the store's answer starts to lead within
# this time.
CLAIM_SETTLE_S = 1.5
# Fronts claim a term one after another, since each claim is a billed write.
CLAIM_STAGGER_S = 0.4
MAX_CLAIM_STEPS = 6
# Minimum resources of a planner, which exchanges messages with all fronts and
# engines several times a second.
MIN_PLANNER_CORES = 0.4
MIN_PLANNER_LINK_BITS_PER_S = 40e6
# Fronts on weaker hosts claim or act only if no other front does.
WEAK_HOST_DELAY_S = 3.0
# With more silent engines than this, the planner's own link is suspected.
MAX_SILENT_SHARE = 0.5
# A new planner does not hand over before this time.
MIN_LEAD_TIME_S = 5.0


class Leadership:
    """State of the election at one front.

    A planner keeps leading while neither it nor any front that is connected to
    it reaches the store.
    """

    def __init__(self, own: str) -> None:
        """Initializes the state before any term is known.

        Args:
            own: `IP:PORT` of this front.
        """
        self._own = own
        self._term: platform_port.Term | None = None
        self._confirmed_at = float("-inf")
        self._elected = False
        self._acting = False
        self._ended_term: platform_port.Term | None = None
        self._lost_store = False
        self._resigned_rank: tuple[int, int] | None = None
        self._missing_rank: tuple[int, int] | None = None
        self._last_answered = ""
        self._missing_since: float | None = None

    def __repr__(self) -> str:
        """Shows the term, and why this front leads."""
        reason = "acting" if self._acting else "elected"
        return f"<Leadership {self._term} {reason if self.leads else ''}>"

    @property
    def leads(self) -> bool:
        """Whether this front is the planner, elected or acting."""
        return self._acting or self._elected

    @property
    def term(self) -> platform_port.Term | None:
        """The newest term that this front has read."""
        return self._term

    @property
    def lost_store(self) -> bool:
        """Whether it stepped down only because it can't reach the store."""
        return self._lost_store and not self.leads

    def note_term(self, term: platform_port.Term, *, at: float) -> None:
        """Records the newest term.

        An acting planner continues until another front has claimed a term after
        the one that ended. A planner whose own term is missing in a new era of
        the store acts until it has claimed the next one, unless another front
        has done so.

        Args:
            term: As the store has it.
            at: Monotonic time at which the store was asked, s.
        """
        if self._term is not None and term.rank < self._term.rank:
            # Terms only grow, so this answer was delayed.
            return
        own = term.planner == self._own
        self._acting = self._keeps_acting(term, own=own)
        self._lost_store = self._lost_store and own
        self._term = term
        self._elected = own and term.rank != self._resigned_rank
        if self._elected:
            self._confirmed_at = at
            self._acting = self._lost_store = False
            self._missing_since = None

    def _keeps_acting(self, term: platform_port.Term, *, own: bool) -> bool:
        """Returns whether this front keeps acting after a term was read."""
        known = self._term
        if self._ended_term is not None and term.rank <= self._ended_term.rank:
            # Also in an era that this front had not seen before the handover.
            return self._acting
        if known is not None and term.era > known.era:
            # A smaller number comes from the backup: the own claim was lost.
            return self.leads and not own and term.number < known.number
        return self._acting and known is not None and term.rank == known.rank

    def note_planner_missing(self, *, now: float) -> None:
        """Records that the planner of the newest term could not be reached."""
        rank = None if self._term is None else self._term.rank
        if self._missing_since is None or rank != self._missing_rank:
            self._missing_since = now
        self._missing_rank = rank

    def note_planner_answered(self, planner: str) -> None:
        """Records that a planner has sent a snapshot.

        Args:
            planner: `IP:PORT` of the planner, whose term this front may not
                have read yet.
        """
        self._missing_since = None
        self._last_answered = planner

    def should_claim(self, *, delay_s: float, now: float) -> bool:
        """Returns whether this front claims the next term.

        A front replaces only the planner that it could not reach. If the term
        has changed since, it contacts the new planner first.

        Args:
            delay_s: How long the planner must have been unreachable, s.
            now: Monotonic time, s.
        """
        if self._term is None or self._elected:
            return False
        if self._acting:
            return True
        if self._missing_since is None or self._missing_rank != self._term.rank:
            return False
        if self._term.planner not in ("", self._last_answered):
            # The planner may not know yet that its claim was accepted.
            delay_s += CLAIM_SETTLE_S
        return now - self._missing_since >= delay_s

    def try_acting(
        self, *, store_silent_s: float, unanswered: int, strong: bool = True
    ) -> bool:
        """Becomes the acting planner, if it is this front's turn.

        Args:
            store_silent_s: Time since the store last answered, s.
            unanswered: Number of fronts before it that did not answer.
            strong: Whether its host has the resources for a planner.

        Returns:
            Whether the front is acting from now on, until another one claims a
            term.
        """
        delay_s = STORE_OUTAGE_AFTER_S + ACTING_STAGGER_S * unanswered
        if store_silent_s < delay_s + (0.0 if strong else WEAK_HOST_DELAY_S):
            return False
        self.take_over()
        return True

    def take_over(self, ended: platform_port.Term | None = None) -> None:
        """Becomes the acting planner, as the leaving planner's successor.

        Args:
            ended: The term that ends, or None if it is not known. This front
                may not have read it yet; only a later term ends its acting.
        """
        self._ended_term = ended
        self._acting = True
        self._lost_store = False

    def note_peer_contact(
        self, *, heard_store_at: float, own_heard_at: float = float("inf")
    ) -> None:
        """Records when any connected front last reached the store.

        A planner steps down if its own last contact is much older, or if the
        store answers but does not confirm the planner's term. It does not lead
        again until its term is confirmed.

        Args:
            heard_store_at: Monotonic time, s; the latest of all others.
            own_heard_at: Monotonic time at which this front reached it, s.
        """
        lags = heard_store_at - own_heard_at > STORE_CONTACT_TIMEOUT_S
        unconfirmed = (
            heard_store_at - self._confirmed_at > TERM_CONFIRMATION_TIMEOUT_S
        )
        if (lags and self.leads) or (unconfirmed and self._elected):
            self._lost_store = True
            self._elected = False
            self._acting = self._acting and not lags

    def resign(self) -> None:
        """Stops leading until this front claims another term."""
        self._acting = False
        self._elected = False
        self._lost_store = False
        if self._term is not None:
            self._resigned_rank = self._term.rank


def preceding_fronts(
    fronts: Iterable[str], *, own: str, planner: str
) -> tuple[str, ...]:
    """Returns the fronts to ask for a snapshot while the store is unavailable.

    Args:
        fronts: All fronts that were known last.
        own: The front that asks.
        planner: The last known planner, or empty.

    Returns:
        The last planner, then the fronts that precede this one in an order
        that is the same at every front.
    """
    ranked = rendezvous.rank("planner", {*fronts, own})
    before = ranked[: ranked.index(own)]
    if planner and planner != own:
        before = [planner, *(front for front in before if front != planner)]
    return tuple(before)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuccessorCandidate:
    """A front that could become planner.

    Attributes:
        address: `IP:PORT`.
        strong: Whether its host has the resources for a planner.
        store_silent_s: Time since the store last answered it, s.
    """

    address: str
    strong: bool
    store_silent_s: float


def choose_successor(candidates: Iterable[SuccessorCandidate]) -> str:
    """Returns the front that succeeds a leaving planner, or empty.

    Fronts that reach the store come first, then fronts on strong hosts; a front
    without recent contact may have lost the store as well.

    Args:
        candidates: The reachable fronts that stay.
    """
    by_address = {c.address: c for c in candidates}
    ranked = rendezvous.rank("planner", by_address)
    return min(
        ranked,
        key=lambda address: (
            by_address[address].store_silent_s > STORE_CONTACT_TIMEOUT_S,
            not by_address[address].strong,
        ),
        default="",
    )


def claim_delay_s(
    fronts: Iterable[str], *, own: str, jitter: float, strong: bool = True
) -> float:
    """Returns how long a planner must be unreachable before a front claims.

    Args:
        fronts: All fronts that were known last; empty after a start.
        own: The front that asks.
        jitter: Random from 0 to 1; spreads the fronts that know no others.
        strong: Whether its host has the resources for a planner.
    """
    known = set(fronts)
    weak_host_delay_s = 0.0 if strong else WEAK_HOST_DELAY_S
    if not known:
        return (
            weak_host_delay_s + jitter * CLAIM_STAGGER_S * MAX_CLAIM_STEPS / 2
        )
    position = rendezvous.rank("planner", {*known, own}).index(own)
    return weak_host_delay_s + min(position, MAX_CLAIM_STEPS) * CLAIM_STAGGER_S


def is_strong(*, cores: float, link_bits_per_s: float) -> bool:
    """Returns whether a host has the resources for a planner.

    Args:
        cores: CPU cores that a front may use; may be a fraction.
        link_bits_per_s: Bandwidth of its link, bit/s.
    """
    return (
        cores >= MIN_PLANNER_CORES
        and link_bits_per_s >= MIN_PLANNER_LINK_BITS_PER_S
    )


def should_hand_over(
    *, led_s: float, silent: float, strong: bool, stronger_available: bool
) -> bool:
    """Returns whether a planner hands over to another front.

    Args:
        led_s: How long it has been planner, s.
        silent: Share of the engines that send it no reports.
        strong: Whether its host has the resources for a planner.
        stronger_available: Whether a front on a strong host is connected.
    """
    if led_s < MIN_LEAD_TIME_S:
        return False
    return silent > MAX_SILENT_SHARE or (stronger_available and not strong)
