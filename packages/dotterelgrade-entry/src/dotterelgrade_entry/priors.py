"""What engines of an accelerator kind cost before one was measured itself."""

import dataclasses

from dotterelgrade import messages

_SMOOTHING = 0.1
_MAX_KINDS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prior:
    """Durations per layer.

    Attributes:
        step_ms: Duration of a decode step, ms.
        token_ms: Additional duration per prompt token, ms.
    """

    step_ms: float
    token_ms: float


class Priors:
    """Smoothed durations per layer by accelerator kind."""

    def __init__(self) -> None:
        """Initializes without any experience."""
        self._priors: dict[str, Prior] = {}

    def __repr__(self) -> str:
        """Shows the known kinds."""
        return f"<Priors of {sorted(self._priors)}>"

    def note(self, report: messages.BackendReport) -> None:
        """Learns from a report with measured durations."""
        layers = report.last_layer - report.first_layer + 1
        if layers <= 0 or not report.step_ms or not report.token_ms:
            return
        new = Prior(
            step_ms=report.step_ms / layers, token_ms=report.token_ms / layers
        )
        old = self._priors.get(report.accelerator)
        if old is None and len(self._priors) >= _MAX_KINDS:
            return
        self._priors[report.accelerator] = (
            new if old is None else _mix(old, new)
        )

    def find(self, report: messages.BackendReport) -> Prior | None:
        """Returns the durations of a whole backend server of that kind."""
        prior = self._priors.get(report.accelerator)
        layers = report.last_layer - report.first_layer + 1
        if prior is None or layers <= 0:
            return None
        return Prior(
            step_ms=prior.step_ms * layers, token_ms=prior.token_ms * layers
        )


def _mix(old: Prior, new: Prior) -> Prior:
    return Prior(
        step_ms=old.step_ms + _SMOOTHING * (new.step_ms - old.step_ms),
        token_ms=old.token_ms + _SMOOTHING * (new.token_ms - old.token_ms),
    )
