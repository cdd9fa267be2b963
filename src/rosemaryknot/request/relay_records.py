"""Log lines, metrics and timeline entries of model requests."""

from rosemaryknot.connection.engine_frames import Finished
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge, histogram
from rosemaryknot.request.attempts import Attempt, AttemptEnd
from rosemaryknot.request.generations import Generation

__all__ = ["record_start", "record_attempt_end", "record_outcome"]

log = logger("relay")
running_gauge = gauge("generations_running", "Accepted model requests without outcome.")
outcomes = counter("generations_total", "Ended model requests, by outcome.")
emitted = counter("answer_tokens_total", "Tokens emitted to callers.")
attempt_ends = counter("attempts_total", "Attempts on backend servers, by their end.")
recomputed = counter("recomputed_tokens_total", "Tokens computed again, by estimate.")
first_token = histogram("first_token_seconds", "Arrival to first token, in seconds.")


def record_start(generation: Generation) -> None:
    """Record an accepted request; log it if it was taken over."""
    running_gauge.add(1)
    if generation.tokens:
        log.info(
            "took over",
            request=generation.request_id,
            lineage=generation.lineage,
            emitted=len(generation.tokens),
        )
    lineage, emitted = generation.lineage, len(generation.tokens)
    generation.record_event(f"relay: started lineage {lineage} at token {emitted}")


def record_attempt_end(attempt: Attempt, end: AttemptEnd) -> None:
    """Log and count the end of an attempt."""
    generation, name = attempt.generation, type(end).__name__.lower()
    attempt_ends.add(service=generation.service, end=name)
    if attempt.first_offset == 0 and attempt.has_token:
        request = generation.request
        started_s = attempt.started_s + attempt.first_token_s
        first_token.observe(started_s - request.arrived_s, service=request.service)
    if isinstance(end, Finished):
        return
    detail = getattr(end, "detail", "")
    log.info(
        f"attempt at {attempt.server.instance} ended: {name}",
        request=generation.request_id,
        attempt=generation.attempts,
        emitted=len(generation.tokens),
        detail=detail,
    )
    generation.record_event(
        f"relay: {attempt.server.instance}: {name} {detail}".rstrip()
    )


def record_outcome(generation: Generation) -> None:
    """Log and count the outcome of a request."""
    name = type(generation.outcome).__name__.lower()
    running_gauge.add(-1)
    outcomes.add(service=generation.service, outcome=name)
    emitted.add(len(generation.tokens), service=generation.service)
    recomputed.add(generation.recomputed_tokens, service=generation.service)
    log.info(
        f"ended: {name}",
        request=generation.request_id,
        tokens=len(generation.tokens),
        attempts=generation.attempts,
        recomputed=generation.recomputed_tokens,
    )
    generation.record_event(f"relay: ended: {name}")
