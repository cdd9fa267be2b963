"""Cost and latency figures of a run, from callers' records and servers' ledgers."""

from collections.abc import Iterable
from dataclasses import dataclass

import numpy
import trio

from rosemaryknot.replay.scenario import KINDS
from rosemaryknot.replay.scenario_requests import Record, Requests
from rosemaryknot.standin.ledger import recomputed_tokens

__all__ = [
    "BETWEEN_TOKENS_TARGET_S",
    "FIRST_TOKEN_TARGET_S",
    "Figures",
    "compute_figures",
]

FIRST_TOKEN_TARGET_S = 1.9
BETWEEN_TOKENS_TARGET_S = 0.037
PERCENT = 95
HOUR_S = 3600.0


@dataclass(slots=True)
class Figures:
    """Cost and latency figures of one run.

    Attributes
    ----------
    requests : int
        Number of requests of all kinds.
    model_requests : int
        Number of model requests.
    first_token_p95_s, between_tokens_p95_s : float
        95th percentiles in seconds, over the model requests that received a token;
        0 if there are none.
    in_target_share : float
        Share of the model requests that were answered with a first token within
        `FIRST_TOKEN_TARGET_S` and a 95th percentile of the times between tokens of
        at most `BETWEEN_TOKENS_TARGET_S`.
    prefill_tokens, recomputed_tokens : int
        Tokens that engines prefilled, and computed again, from their ledgers.
    cost : float
        Sum over all backend servers of price multiplied by running time, from the
        start of the callers.
    lost : int
        Number of accepted model requests without a complete response.
    not_run_share, unknown_share : float
        Shares of all requests that were refused, and whose result is not known.
    """

    requests: int = 0
    model_requests: int = 0
    first_token_p95_s: float = 0.0
    between_tokens_p95_s: float = 0.0
    in_target_share: float = 0.0
    prefill_tokens: int = 0
    recomputed_tokens: int = 0
    cost: float = 0.0
    lost: int = 0
    not_run_share: float = 0.0
    unknown_share: float = 0.0


def percentile(values: list[float]) -> float:
    """Return the 95th percentile, or 0 if there are no values."""
    return round(float(numpy.percentile(values, PERCENT)), 4) if values else 0.0


def share(records: Iterable[Record], *outcomes: str) -> float:
    """Return the share of records with one of the outcomes."""
    found = [record.outcome in outcomes for record in records]
    return round(sum(found) / len(found), 4) if found else 0.0


def is_in_target(record: Record) -> bool:
    """Return whether a model request was answered within the latency target."""
    if record.outcome != "answered" or record.first_token_s > FIRST_TOKEN_TARGET_S:
        return False
    return percentile(record.gaps_s) <= BETWEEN_TOKENS_TARGET_S


def compute_cost(requests: Requests, start_s: float) -> float:
    """Return the cost of all backend servers since ``start_s``."""
    end_s = trio.current_time()
    cost = 0.0
    for server in requests.system.servers.values():
        running_s = min(server.ended_s, end_s) - max(server.started_s, start_s)
        cost += server.listed.price_per_hour * max(0.0, running_s) / HOUR_S
    return round(cost, 6)


def compute_figures(requests: Requests, start_s: float) -> Figures:
    """Return the figures of a run up to now.

    Parameters
    ----------
    requests : Requests
        Requests of the run.
    start_s : float
        Time at which the callers started, in virtual seconds.

    Returns
    -------
    figures : Figures
        Cost and latency figures.
    """
    records = list(requests.records.values())
    models = [r for r in records if KINDS[r.request.kind].is_model]
    first_tokens_s = [r.first_token_s for r in models if r.note.first_token_s]
    generations = list(requests.generations())
    in_target = sum(is_in_target(record) for record in models)
    return Figures(
        requests=len(records),
        model_requests=len(models),
        first_token_p95_s=percentile(first_tokens_s),
        between_tokens_p95_s=percentile([g for r in models for g in r.gaps_s]),
        in_target_share=round(in_target / len(models), 4) if models else 0.0,
        prefill_tokens=sum(
            g.prompt_prefilled + g.prefix_prefilled for g in generations
        ),
        recomputed_tokens=recomputed_tokens(generations),
        cost=compute_cost(requests, start_s),
        lost=sum(bool(r.note.id) and r.outcome != "answered" for r in models),
        not_run_share=share(records, "refused"),
        unknown_share=share(records, "unknown", "open", "running"),
    )
