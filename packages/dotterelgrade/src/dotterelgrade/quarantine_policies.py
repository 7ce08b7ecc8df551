"""When the crashes under one fingerprint mean that it is at fault.

Load patterns: each server that begins to answer a certain prompt crashes; or a
rack, a failure domain or a release fails, and takes along whatever runs there.
In the first the fingerprint is there each time, in the second it is not. A
server that resets connections looks like one that crashes, to each attempt of a
request that meets it, so that different requests must have met the same.
"""

import dataclasses
from typing import Protocol

from dotterelgrade import registry

# With as many crashes it is quarantined whatever else crashed meanwhile.
CERTAIN_CRASHES = 5
# With as many, under different requests, if it was there in most crashes since
# its first one.
LIKELY_CRASHES = 3
_LIKELY_SHARE = 0.5
_DIFFERENT_REQUESTS = 2
# With as many further crashes of servers that stay listed as the same process,
# each under another request, if it was there in nearly all crashes.
REPEATED_CRASHES = 5
_REPEATED_SHARE = 0.9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """Crashes since a fingerprint was last served.

    All but `certain_rounds` leave out the crashes soon after that.

    Attributes:
        certain_rounds: Servers that crashed under the fingerprint one after
            another, also soon after it was served.
        rounds: Servers that crashed under the fingerprint one after another.
        repeats: Crashes under it of servers that had crashed before, and are
            listed as the same process.
        quick_repeats: Those of them that came sooner than a process restarts.
        crashes: All crashes under it.
        total: All crashes since the first of them.
        requests: Different requests that waited at one under it; the attempts
            and repetitions of one count once.
        settled: Whether others had the time to report crashes of theirs.
    """

    certain_rounds: int
    rounds: int
    repeats: int
    quick_repeats: int
    crashes: int
    total: int
    requests: int
    settled: bool

    @property
    def credible_repeats(self) -> int:
        """Repeats that a few connections that are reset don't explain.

        A link resets those to the servers behind it again and again; a prompt
        crashes whatever server it reaches.
        """
        if self.rounds >= LIKELY_CRASHES:
            return self.repeats
        return self.repeats - self.quick_repeats


class QuarantinePolicy(Protocol):
    """Decides from the evidence on one fingerprint."""

    def is_at_fault(self, evidence: Evidence) -> bool:
        """Returns whether requests with it are to be refused."""


POLICIES = registry.Registry[QuarantinePolicy]("quarantine policy")


@POLICIES.register("count")
class CountPolicy:
    """Counts the crashes under the fingerprint alone."""

    def is_at_fault(self, evidence: Evidence) -> bool:
        """See `QuarantinePolicy`."""
        return evidence.crashes >= LIKELY_CRASHES


@POLICIES.register("share")
class SharePolicy:
    """Asks for more crashes while others happen without the fingerprint."""

    def is_at_fault(self, evidence: Evidence) -> bool:
        """See `QuarantinePolicy`."""
        if evidence.certain_rounds >= CERTAIN_CRASHES:
            return True
        if (
            min(evidence.credible_repeats, evidence.requests)
            >= REPEATED_CRASHES
        ):
            return evidence.crashes >= _REPEATED_SHARE * evidence.total
        if evidence.rounds < LIKELY_CRASHES or not evidence.settled:
            return False
        if evidence.requests < _DIFFERENT_REQUESTS:
            return False
        return evidence.crashes >= _LIKELY_SHARE * evidence.total


@POLICIES.register("off")
class NoPolicy:
    """Never refuses a request for what others like it have done."""

    def is_at_fault(self, evidence: Evidence) -> bool:
        """See `QuarantinePolicy`."""
        del evidence
        return False
