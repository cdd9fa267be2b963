"""How much of what servers read belongs to long prompts."""

from dataclasses import dataclass

__all__ = ["PromptMix"]

# Prompts after which one counts a third of what it counted at first.
REMEMBERED = 500
# Before anything was measured, the share of long prompts, and the tokens it stands on.
FIRST_SHARE = 1 / 3
FIRST_TOKENS = 100_000.0


@dataclass(slots=True)
class PromptMix:
    """Tokens of late that servers had to read, of one service.

    Attributes
    ----------
    long_tokens, tokens : float
        Of long prompts and of all, fading with each prompt.

    Examples
    --------
    >>> mix = PromptMix()
    >>> for _ in range(5000):
    ...     mix.note(3000, is_long=True)
    ...     mix.note(1000, is_long=False)
    >>> round(mix.long_share, 2)
    0.75
    """

    long_tokens: float = FIRST_SHARE * FIRST_TOKENS
    tokens: float = FIRST_TOKENS

    def note(self, tokens: int, is_long: bool) -> None:
        """Count a prompt by the tokens that have to be read."""
        self.long_tokens *= 1 - 1 / REMEMBERED
        self.tokens *= 1 - 1 / REMEMBERED
        self.tokens += tokens
        self.long_tokens += tokens if is_long else 0

    @property
    def long_share(self) -> float:
        """Part of the reading that long prompts bring."""
        return self.long_tokens / self.tokens
