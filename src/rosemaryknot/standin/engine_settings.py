"""What a stand-in engine is like."""

from dataclasses import dataclass

__all__ = ["EngineSettings"]


@dataclass(slots=True)
class EngineSettings:
    """What a stand-in engine is like.

    Attributes
    ----------
    step_time_s : float
        Time of one step, which gives each running generation one token.
    slots : int
        Generations that run at once.
    max_waiting : int
        Length of the waiting queue; beyond it new work is refused.
    prefill_tokens_per_step : int
        Prompt tokens computed in one step, shared by all.
    kv_tokens : int
        Memory for running generations, in tokens.
    cache_blocks : int
        Memory for cached prompt prefixes, in blocks.
    load_lag_s, event_lag_s : float
        How late the load report and the cache events are.
    event_drop_share : float
        Share of the cache events that are lost.
    kv_bytes_per_token : int
        Size of the KV cache of one token, in bytes.
    kv_bytes_per_s : float
        Rate of exports and of imports, each shared by all transfers.
    load_model_s : float
        Time that the order ``load_model`` takes.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    models : tuple of str
        Models loaded at start; empty where any model is accepted.
    detached_keep_s : float
        How long a generation goes on after its connection ended.
    seed : int
        Seed of the gaps in the cache events.
    """

    step_time_s: float = 0.003
    slots: int = 32
    max_waiting: int = 256
    prefill_tokens_per_step: int = 64
    kv_tokens: int = 400_000
    cache_blocks: int = 2_000
    load_lag_s: float = 0.25
    event_lag_s: float = 0.5
    event_drop_share: float = 0.05
    kv_bytes_per_token: int = 131_072
    kv_bytes_per_s: float = 1e9
    load_model_s: float = 2.0
    checks_fencing: bool = True
    models: tuple[str, ...] = ()
    detached_keep_s: float = 5.0
    seed: int = 0
