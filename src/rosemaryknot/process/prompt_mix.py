"""Share of long prompts in the prefill work of a service."""

from dataclasses import dataclass

__all__ = ["PromptMix"]

# Prompts after which the weight of a prompt has decayed to about a third.
DECAY_PROMPTS = 500
# Share of long prompts that is assumed before any measurement, and its weight in
# tokens.
INITIAL_LONG_SHARE = 1 / 3
INITIAL_TOKENS = 100_000.0


@dataclass(slots=True)
class PromptMix:
    """Recent prefill tokens of one service.

    Attributes
    ----------
    long_tokens, tokens : float
        Tokens of long prompts and of all prompts, decayed with each prompt.

    Examples
    --------
    >>> mix = PromptMix()
    >>> for _ in range(5000):
    ...     mix.record(3000, is_long=True)
    ...     mix.record(1000, is_long=False)
    >>> round(mix.long_share, 2)
    0.75
    """

    long_tokens: float = INITIAL_LONG_SHARE * INITIAL_TOKENS
    tokens: float = INITIAL_TOKENS

    def record(self, tokens: int, is_long: bool) -> None:
        """Record a prompt with the number of tokens that need prefill."""
        self.long_tokens *= 1 - 1 / DECAY_PROMPTS
        self.tokens *= 1 - 1 / DECAY_PROMPTS
        self.tokens += tokens
        self.long_tokens += tokens if is_long else 0

    @property
    def long_share(self) -> float:
        """Share of the prefill tokens that belong to long prompts."""
        return self.long_tokens / self.tokens
