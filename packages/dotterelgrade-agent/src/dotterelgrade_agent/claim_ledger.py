"""The fold of the stream `claims`: who may run the call of which key."""

import collections
import dataclasses
import enum
import heapq
import math

from dotterelgrade import log_client
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import claim_items

MAX_KEYS = 50_000
MAX_OUTCOME_BYTES = 16 * 1024 * 1024


class ChangeKind(enum.StrEnum):
    """What an item did to its key."""

    WON = "won"
    BEATEN = "beaten"
    DONE = "done"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """One change of the ledger.

    Attributes:
        kind: What happened.
        subject: The key within its workspace.
        claim: The claim that it happened to.
    """

    kind: ChangeKind
    subject: claim_items.Key
    claim: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Standing:
    """The claim that holds a key.

    Attributes:
        claim: Identifier of the claim.
        digest: Digest of the request it was made for.
        outcome: What came of the call, or None while nobody has said.
    """

    claim: str
    digest: str
    outcome: claim_items.Outcome | None = None


@dataclasses.dataclass(eq=False, slots=True)
class _Entry:
    standing: Standing | None = None
    released: frozenset[str] = frozenset()


class ClaimLedger:
    """The aggregate that gives each key to the first claim in the log.

    A claim that comes while another holds the key never becomes valid, also
    when the holder is released: its claimer has been told that it lost. Every
    process that reads the stream folds it to the same ledger.
    """

    def __init__(
        self,
        settings: agent_settings.ClaimSettings,
        *,
        max_keys: int = MAX_KEYS,
        max_outcome_bytes: int = MAX_OUTCOME_BYTES,
    ) -> None:
        """Initializes an empty ledger.

        Args:
            settings: The claim window and the bound on clock skew.
            max_keys: The most keys kept.
            max_outcome_bytes: The most bytes of recorded bodies kept.
        """
        self._settings = settings
        self._max_keys = max_keys
        self._max_outcome_bytes = max_outcome_bytes
        self._entries: dict[claim_items.Key, _Entry] = {}
        self._by_age: list[tuple[float, claim_items.Key]] = []
        self._with_body: collections.deque[claim_items.Key] = (
            collections.deque()
        )
        self._body_bytes = 0
        self._offset = 0
        self._missing_before = 1
        self._complete_from_s = math.inf
        self._forgotten_until_s = -math.inf

    def __repr__(self) -> str:
        """Shows the offset and the number of keys."""
        return f"<ClaimLedger at {self._offset}, {len(self._entries)} keys>"

    def __len__(self) -> int:
        """The number of keys kept."""
        return len(self._entries)

    @property
    def offset(self) -> int:
        """Offset of the last record folded."""
        return self._offset

    @property
    def body_bytes(self) -> int:
        """Bytes of recorded bodies kept."""
        return self._body_bytes

    def has_forgotten(self, key_time_s: float) -> bool:
        """Whether keys of that age were dropped to bound the ledger."""
        return key_time_s <= self._forgotten_until_s

    def proves(self, key_time_s: float) -> bool:
        """Whether a key without standing certainly has no claim.

        Args:
            key_time_s: When the key was made, s since the epoch.

        Returns:
            False when a claim may be among records that this ledger has not
            seen or no longer keeps.
        """
        if self.has_forgotten(key_time_s):
            return False
        if self._missing_before <= 1:
            return True
        skew_s = 2 * self._settings.clock_skew_s
        return key_time_s > self._complete_from_s + skew_s

    def standing(self, subject: claim_items.Key) -> Standing | None:
        """Returns the claim that holds a key, or None."""
        entry = self._entries.get(subject)
        return None if entry is None else entry.standing

    def note_seen(self, *, through: int, at_s: float) -> None:
        """Notes that all records up to an offset existed at a time.

        A claim for a key made later than that can't be among them, which is
        what makes a ledger complete that began after dropped records.

        Args:
            through: The offset.
            at_s: Wall-clock time, s since the epoch.
        """
        if through >= self._missing_before - 1:
            self._complete_from_s = min(self._complete_from_s, at_s)

    def note_missing(self, before: int) -> None:
        """Notes that records before an offset were dropped unseen.

        Args:
            before: Offset of the first record that is still kept.
        """
        if before > self._offset + 1:
            self._offset = before - 1
            self._missing_before = before
            self._complete_from_s = math.inf

    def apply(
        self, record: log_client.Record, *, now_s: float
    ) -> tuple[Change, ...]:
        """Folds one record.

        Args:
            record: The next record of the stream.
            now_s: Wall-clock time, s since the epoch.

        Returns:
            What changed, in order.

        Raises:
            errors.DotterelgradeError: RECORD_INVALID; the record counts as
                folded and changes nothing.
        """
        if record.offset <= self._offset:
            return ()
        self.note_missing(record.offset)
        self._offset = record.offset
        changes = []
        for item in claim_items.decode(record):
            change = self._fold(item)
            if change is not None:
                changes.append(change)
        self.prune(now_s=now_s)
        return tuple(changes)

    def _fold(self, item: claim_items.Item) -> Change | None:
        if isinstance(item, claim_items.Claim):
            self.note_seen(through=item.seen, at_s=item.at_s)
            return _change(self._fold_claim(item), item)
        entry = self._entries.get(item.subject)
        if entry is None or entry.standing is None:
            return None
        if entry.standing.claim != item.claim:
            return None
        if isinstance(item, claim_items.Outcome):
            return self._fold_outcome(entry, item)
        return self._fold_release(entry, item)

    def _fold_claim(self, claim: claim_items.Claim) -> ChangeKind | None:
        entry = self._entries.get(claim.subject)
        if entry is None:
            entry = _Entry()
            self._entries[claim.subject] = entry
            heapq.heappush(self._by_age, (claim.key_time_s, claim.subject))
        if claim.claim in entry.released:
            return ChangeKind.BEATEN
        if entry.standing is None:
            entry.standing = Standing(claim=claim.claim, digest=claim.digest)
            return ChangeKind.WON
        if entry.standing.claim == claim.claim:
            return None
        return ChangeKind.BEATEN

    def _fold_outcome(
        self, entry: _Entry, outcome: claim_items.Outcome
    ) -> Change | None:
        if entry.standing.outcome is not None:
            return None
        entry.standing = dataclasses.replace(entry.standing, outcome=outcome)
        if outcome.body:
            self._with_body.append(outcome.subject)
            self._body_bytes += len(outcome.body)
            self._drop_bodies()
        return _change(ChangeKind.DONE, outcome)

    def _fold_release(
        self, entry: _Entry, release: claim_items.Release
    ) -> Change | None:
        if entry.standing.outcome is not None:
            return None
        entry.released |= {release.claim}
        entry.standing = None
        return _change(ChangeKind.RELEASED, release)

    def _drop_bodies(self) -> None:
        while self._body_bytes > self._max_outcome_bytes:
            entry = self._entries.get(self._with_body.popleft())
            if entry is None or entry.standing is None:
                continue
            outcome = entry.standing.outcome
            if outcome is None or not outcome.body:
                continue
            self._body_bytes -= len(outcome.body)
            entry.standing = dataclasses.replace(
                entry.standing,
                outcome=claim_items.Outcome(
                    workspace=outcome.workspace,
                    key=outcome.key,
                    claim=outcome.claim,
                    status=outcome.status,
                    headers={},
                    body=b"",
                    is_whole=False,
                ),
            )

    def prune(self, *, now_s: float) -> None:
        """Drops keys that no process accepts any more.

        Args:
            now_s: Wall-clock time, s since the epoch.
        """
        settings = self._settings
        oldest_s = now_s - settings.window_s - 2 * settings.clock_skew_s
        while self._by_age and (
            self._by_age[0][0] < oldest_s or len(self._entries) > self._max_keys
        ):
            key_time_s, subject = heapq.heappop(self._by_age)
            self._forgotten_until_s = max(self._forgotten_until_s, key_time_s)
            self._forget(subject)

    def _forget(self, subject: claim_items.Key) -> None:
        entry = self._entries.pop(subject)
        if entry.standing is not None and entry.standing.outcome is not None:
            self._body_bytes -= len(entry.standing.outcome.body)


def _change(kind: ChangeKind | None, item: claim_items.Item) -> Change | None:
    if kind is None:
        return None
    return Change(kind=kind, subject=item.subject, claim=item.claim)
