"""Generator of seeded traces, with one mix of requests for each user."""

from collections.abc import Callable

import numpy

from rosemaryknot.replay.scenario import KINDS
from rosemaryknot.replay.traces import TracedRequest

__all__ = ["MIXES", "generate_trace", "mix"]

Mix = Callable[[numpy.random.Generator, float], list[TracedRequest]]

MIXES: dict[str, Mix] = {}

RATE_AMPLITUDE = 0.6
REPEAT_SHARE = 0.15
REPEAT_DELAY_RANGE_S = (0.2, 2.0)
LARGE_BUILDER_SHARE = 0.5
ESTIMATORS = 4
OWNERS = 5
UNSHARED_WORDS = 20


def mix(name: str) -> Callable[[Mix], Mix]:
    """Register a mix under a name."""

    def register(function: Mix) -> Mix:
        if name in MIXES:
            raise ValueError(f"mix {name!r} is already registered")
        MIXES[name] = function
        return function

    return register


def arrival_times(
    rng: numpy.random.Generator, per_s: float, duration_s: float
) -> list[float]:
    """Return the times of a Poisson process whose rate rises and falls once.

    The rate varies as over a day. The process is thinned from one with the constant
    peak rate, which is ``1 + RATE_AMPLITUDE`` times the mean rate.
    """
    peak_rate = per_s * (1 + RATE_AMPLITUDE)
    count = rng.poisson(peak_rate * duration_s)
    times_s = numpy.sort(rng.uniform(0, duration_s, count))
    phase = 2 * numpy.pi * times_s / duration_s
    selected = rng.random(count) * (
        1 + RATE_AMPLITUDE
    ) <= 1 - RATE_AMPLITUDE * numpy.cos(phase)
    return [round(float(time_s), 3) for time_s in times_s[selected]]


def draw_token_count(
    rng: numpy.random.Generator, median: float, sigma: float, upper_bound: int
) -> int:
    """Draw a length from a log-normal distribution, clipped to bounds."""
    return int(numpy.clip(rng.lognormal(numpy.log(median), sigma), 8, upper_bound))


def idempotent_read(time_s: float, customer: str, kind: str, key: str) -> TracedRequest:
    """Return an idempotent read of a plain service."""
    return TracedRequest(time_s, customer, KINDS[kind].service, kind, key)


def booking_sends(
    rng: numpy.random.Generator, time_s: float, customer: str, kind: str, key: str
) -> list[TracedRequest]:
    """Return a booking or alert, sometimes with a second attempt."""
    service = KINDS[kind].service
    sends = [TracedRequest(time_s, customer, service, kind, key, attempt=1)]
    if rng.random() < REPEAT_SHARE:
        retry_s = round(time_s + float(rng.uniform(*REPEAT_DELAY_RANGE_S)), 3)
        sends.append(TracedRequest(retry_s, customer, service, kind, key, attempt=2))
    return sends


@mix("bluebonnet")
def bluebonnet(rng: numpy.random.Generator, duration_s: float) -> list[TracedRequest]:
    """Return plan sets, questions, stock checks and bookings.

    The prompts of a builder's plan sets share a prefix: that builder's drawings and
    rules. One large builder sends half of the plan sets.
    """
    found = []
    drawings = {
        f"estimator-{n}": draw_token_count(rng, 600, 0.3, 1200) for n in range(1, 5)
    }
    drawings["builder-large"] = 1400
    for number, time_s in enumerate(arrival_times(rng, 0.45, duration_s)):
        customer = f"estimator-{rng.integers(1, ESTIMATORS + 1)}"
        if rng.random() < LARGE_BUILDER_SHARE:
            customer = "builder-large"
        shared = drawings[customer]
        found.append(
            TracedRequest(
                time_s,
                customer,
                "kit-assistant",
                "plan-set",
                f"plans-{number}",
                shared + draw_token_count(rng, 300, 0.5, 1200),
                draw_token_count(rng, 350, 0.4, 900),
                customer,
                shared,
            )
        )
    for number, time_s in enumerate(arrival_times(rng, 1.2, duration_s)):
        customer = f"estimator-{rng.integers(1, ESTIMATORS + 1)}"
        found.append(
            TracedRequest(
                time_s,
                customer,
                "kit-assistant",
                "question",
                f"question-{number}",
                draw_token_count(rng, 40, 0.4, 120),
                draw_token_count(rng, 40, 0.4, 120),
            )
        )
    for number, time_s in enumerate(arrival_times(rng, 1.5, duration_s)):
        found.append(
            idempotent_read(time_s, "dispatcher", "stock-check", f"stock-{number}")
        )
    for number, time_s in enumerate(arrival_times(rng, 0.7, duration_s)):
        key = f"booking-{number}"
        found += booking_sends(rng, time_s, "dispatcher", "booking", key)
    return found


@mix("pawbridge")
def pawbridge(rng: numpy.random.Generator, duration_s: float) -> list[TracedRequest]:
    """Return care briefs, chat drafts of several turns, alerts and pings.

    The prompt of each turn of a chat starts with the preceding turns.
    """
    found = []
    for number, time_s in enumerate(arrival_times(rng, 0.25, duration_s)):
        customer = "sitter-match" if rng.random() < 0.5 else "owner-app"
        found.append(
            TracedRequest(
                time_s,
                customer,
                "brief-writer",
                "care-brief",
                f"brief-{number}",
                draw_token_count(rng, 700, 0.5, 2000),
                draw_token_count(rng, 450, 0.4, 900),
                customer,
                200,
            )
        )
    for number, time_s in enumerate(arrival_times(rng, 0.3, duration_s)):
        found += chat(rng, time_s, f"chat-{number}")
    for number, time_s in enumerate(arrival_times(rng, 0.8, duration_s)):
        customer = f"sitter-{rng.integers(1, OWNERS + 1)}"
        found += booking_sends(rng, time_s, customer, "alert", f"alert-{number}")
    for number, time_s in enumerate(arrival_times(rng, 2.0, duration_s)):
        found.append(idempotent_read(time_s, "owner-app", "ping", f"ping-{number}"))
    return found


def chat(rng: numpy.random.Generator, time_s: float, name: str) -> list[TracedRequest]:
    """Return the turns of one conversation."""
    turns = []
    prompt_tokens = draw_token_count(rng, 200, 0.4, 600)
    customer = f"sitter-{rng.integers(1, OWNERS + 1)}"
    for turn in range(int(rng.integers(2, 5))):
        answer_tokens = draw_token_count(rng, 70, 0.4, 200)
        turns.append(
            TracedRequest(
                round(time_s, 3),
                customer,
                "brief-writer",
                "chat",
                f"{name}-{turn + 1}",
                prompt_tokens,
                answer_tokens,
                name,
                max(0, prompt_tokens - UNSHARED_WORDS),
            )
        )
        time_s += float(rng.uniform(4, 9))
        prompt_tokens += answer_tokens + draw_token_count(rng, 40, 0.4, 100)
    return turns


def generate_trace(name: str, seed: int, duration_s: float) -> list[TracedRequest]:
    """Generate the trace of a mix.

    Parameters
    ----------
    name : str
        Name of the mix; a key of `MIXES`.
    seed : int
        Seed of the trace; equal seeds give equal traces.
    duration_s : float
        Period in which requests start, in seconds; turns of a chat may follow later.

    Returns
    -------
    requests : list of TracedRequest
        Requests ordered by time.
    """
    rng = numpy.random.default_rng([seed, len(name)])
    return sorted(MIXES[name](rng, duration_s), key=lambda r: (r.time_s, r.key))
