"""Compare the callers' notes of a run with the ledgers of the backend servers."""

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from rosemaryknot.replay.notes import BookingNote, ModelNote
from rosemaryknot.standin.answers import answer_length, prompt_text, wrong_token
from rosemaryknot.standin.plain import Run

__all__ = ["Violation", "audit_booking", "audit_leaving", "audit_model"]

CROSSED, MIXED, SHORT = "crossed", "mixed", "short"
OK = "200"
LEAVING_BOUND_S = 2.0


@dataclass(slots=True)
class Violation:
    """A promise that a run broke.

    Attributes
    ----------
    kind : str
        ``ran_twice``, ``false_not_run``, ``answer_without_run``, ``crossed``,
        ``mixed``, ``short``, ``lost`` or ``work_for_leaving``.
    subject : str
        Key or request id.
    detail : str
        What was seen.
    """

    kind: str
    subject: str
    detail: str


def is_false_not_run(note: BookingNote, send: int, run: Run) -> bool:
    """Tell whether a run makes the "not run" that a send was told untrue.

    A refusal of one attempt says that no attempt up to it ran or will run; a higher
    one may. Where no numbers are declared it speaks of the whole key.
    """
    return not note.declares or int(run.send) <= send


def audit_booking(note: BookingNote, runs: Iterable[Run]) -> list[Violation]:
    """Return what is wrong with one booking.

    Parameters
    ----------
    note : BookingNote
        What its caller was told.
    runs : iterable of Run
        Runs with its key on all servers of the service.

    Returns
    -------
    violations : list of Violation
        Empty where all is well.
    """
    runs = list(runs)
    found = []
    if len(runs) > 1:
        sends = [run.send for run in runs]
        found.append(Violation("ran_twice", note.key, f"sends {sends}"))
    for reply in note.replies:
        if reply.outcome == "not_run":
            untrue = [r for r in runs if is_false_not_run(note, reply.send, r)]
            if untrue:
                detail = f"send {reply.send} {reply.reason}; ran {untrue[0].send}"
                found.append(Violation("false_not_run", note.key, detail))
        if reply.outcome != "answered" or reply.reason != OK:
            continue
        if json.loads(reply.body)["key"] != note.key:
            found.append(Violation(CROSSED, note.key, reply.body[:80]))
        if not runs:
            found.append(Violation("answer_without_run", note.key, ""))
    return found


def audit_model(
    note: ModelNote, is_excused: Callable[[ModelNote], bool]
) -> list[Violation]:
    """Return what is wrong with one model request.

    Parameters
    ----------
    note : ModelNote
        What its caller got.
    is_excused : callable
        Whether losing it breaks no promise, such as after a death without notice.

    Returns
    -------
    violations : list of Violation
        Empty where all is well.
    """
    prompt = prompt_text([{"role": "user", "content": note.prompt}])
    found = []
    if note.tokens and wrong_token(prompt, note.lineage, note.tokens) is not None:
        found.append(Violation(MIXED, note.id, f"of {len(note.tokens)} tokens"))
    if note.outcome == "answered":
        length = answer_length(prompt, note.max_tokens)
        if len(note.tokens) != length or note.stated_tokens != length:
            detail = f"{len(note.tokens)} of {length}, stated {note.stated_tokens}"
            found.append(Violation(SHORT, note.id, detail))
    elif note.id and not is_excused(note):
        detail = f"{note.outcome} {note.reason} after {len(note.tokens)} tokens"
        found.append(Violation("lost", note.id, detail))
    return found


def audit_leaving(
    instance: str, notice_unix_s: float, started: Mapping[str, float]
) -> list[Violation]:
    """Return the requests that a leaving server was newly given.

    Parameters
    ----------
    instance : str
        The server.
    notice_unix_s : float
        When its notice was sent, seconds of the epoch.
    started : mapping of str to float
        When its work for each request began, seconds of the epoch.

    Returns
    -------
    violations : list of Violation
        One for each request that began later than `LEAVING_BOUND_S` after the notice.
    """
    return [
        Violation("work_for_leaving", request, f"{instance} {late_s:.1f} s after")
        for request, unix_s in started.items()
        if (late_s := unix_s - notice_unix_s) > LEAVING_BOUND_S
    ]
