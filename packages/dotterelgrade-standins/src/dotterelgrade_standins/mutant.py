"""A place that holds a promise, and what breaks it."""

import dataclasses

# Runs the real fronts under the faults that are named behind it.
SOAK = "soak:"

LAYERS_ONCE = "each layer once, in order"
OWN_ANSWER = "the whole answer to its own caller"
LEAVING = "a leaving backend server gets no new work"
STOP = "a planned stop cuts nothing"
ONCE = "a non-idempotent call runs at most once"
NOT_RUN = "`not_run` means not run"
IN_FORCE = "accepted lines stay in force"
ENOUGH_ROOM = "who is let in finds room"
NOT_HELD = "no request is held while the front decides"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutant:
    """A text replaced in one module.

    Attributes:
        name: Name on the command line.
        promise: The promise that the place holds.
        module: Dotted name of the module.
        old: The text, which stands there once.
        new: What replaces it.
        check: The fuzzing target, the test file, or the soak, that must fail.
        also: Further replaced texts, where two checks hold the promise.
    """

    name: str
    promise: str
    module: str
    old: str
    new: str
    check: str
    also: tuple[tuple[str, str], ...] = ()
