"""Accelerator kinds of the stand-in engine, with their speeds."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accelerator:
    """How long one layer takes on an accelerator kind.

    Attributes:
        base_ms: Fixed time of a batch, ms.
        sequence_ms: Time for each sequence that generates a token, ms.
        prompt_token_ms: Time for each prompt token that isn't cached, ms.
        max_sequences: Sequences that fit into its memory.
    """

    base_ms: float
    sequence_ms: float
    prompt_token_ms: float
    max_sequences: int

    def step_ms(
        self, *, layers: int, sequences: int, prompt_tokens: int
    ) -> float:
        """Returns the duration of one batch, ms.

        Args:
            layers: Layers that the engine holds.
            sequences: Sequences of the batch with one input each.
            prompt_tokens: Further inputs that aren't cached.
        """
        layer_ms = (
            self.base_ms
            + self.sequence_ms * sequences
            + self.prompt_token_ms * prompt_tokens
        )
        return layers * layer_ms


ACCELERATORS = {
    "h100": Accelerator(
        base_ms=0.25, sequence_ms=0.03, prompt_token_ms=0.006, max_sequences=64
    ),
    "a100": Accelerator(
        base_ms=0.35, sequence_ms=0.045, prompt_token_ms=0.01, max_sequences=64
    ),
    "l40": Accelerator(
        base_ms=0.5, sequence_ms=0.075, prompt_token_ms=0.018, max_sequences=32
    ),
    "a10": Accelerator(
        base_ms=0.65, sequence_ms=0.12, prompt_token_ms=0.035, max_sequences=24
    ),
    "t4": Accelerator(
        base_ms=0.8, sequence_ms=0.2, prompt_token_ms=0.075, max_sequences=16
    ),
}
