"""HTTP responses for the outcomes of requests."""

import json
import math

from quart import Response

from rosemaryknot.values.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Running,
    Unknown,
)

__all__ = [
    "REQUEST_HEADER",
    "response_for",
    "json_response",
    "outcome_document",
    "outcome_name",
    "status_of",
]

REQUEST_HEADER = "Rosemaryknot-Request"
RUNNING_STATUS = 409
UNKNOWN_STATUS = 504
UNAVAILABLE_STATUS = 503

STATUS_OF_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.BODY_TOO_SLOW: 408,
    Reason.ATTEMPT_CLOSED: 409,
    Reason.ALREADY_RUNNING: 409,
    Reason.BODY_DIFFERS: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.LIMIT_REACHED: 429,
}


def status_of(outcome: Outcome) -> int:
    """Return the HTTP status of an outcome.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the request.

    Returns
    -------
    status : int
        HTTP status code.

    Examples
    --------
    >>> status_of(NotRun(Reason.OVERLOADED, retry_after_s=1.0))
    503
    >>> status_of(Unknown(Reason.ANSWER_LOST))
    504
    """
    if isinstance(outcome, Answered):
        return outcome.status
    if isinstance(outcome, NotRun):
        return STATUS_OF_REASON.get(outcome.reason, UNAVAILABLE_STATUS)
    if isinstance(outcome, Running):
        return RUNNING_STATUS
    return STATUS_OF_REASON.get(outcome.reason, UNKNOWN_STATUS)


def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome in responses, logs and metrics."""
    if isinstance(outcome, Answered):
        return "answered"
    if isinstance(outcome, NotRun):
        return "not_run"
    return "running" if isinstance(outcome, Running) else "unknown"


def outcome_document(outcome: NotRun | Unknown | Running) -> dict:
    """Return the JSON document for an outcome other than `Answered`."""
    document: dict = {"outcome": outcome_name(outcome)}
    if isinstance(outcome, Running):
        document["reason"] = str(Reason.ALREADY_RUNNING)
        document["retry_after"] = retry_after_seconds(outcome)
        return document
    document["reason"] = str(outcome.reason)
    if isinstance(outcome, NotRun):
        document["retry_after"] = retry_after_seconds(outcome)
    document["detail"] = outcome.detail
    return document


def retry_after_seconds(outcome: NotRun | Running) -> int:
    """Return the delay before a retry in whole seconds; 0 if a retry is useless."""
    return math.ceil(outcome.retry_after_s)


def json_response(document: dict, status: int, request_id: str) -> Response:
    """Return a JSON response that carries the request id.

    Parameters
    ----------
    document : dict
        Body of the response.
    status : int
        HTTP status code.
    request_id : str
        Request id that this system assigned.

    Returns
    -------
    response : quart.Response
        The response.
    """
    body = json.dumps(document).encode()
    response = Response(body, status, content_type="application/json")
    response.headers[REQUEST_HEADER] = request_id
    return response


def response_for(outcome: Outcome, request_id: str) -> Response:
    """Return the HTTP response for an outcome.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the request.
    request_id : str
        Request id that this system assigned.

    Returns
    -------
    response : quart.Response
        The response, with ``Retry-After`` in whole seconds if a retry is useful.
    """
    if isinstance(outcome, Answered):
        response = Response(outcome.body, outcome.status)
        for name in {name for name, _ in outcome.headers} | {"content-type"}:
            response.headers.pop(name, None)
        for name, value in outcome.headers:
            response.headers.add(name, value)
        response.headers[REQUEST_HEADER] = request_id
        return response
    document = outcome_document(outcome)
    response = json_response(document, status_of(outcome), request_id)
    if document.get("retry_after"):
        response.headers["Retry-After"] = str(document["retry_after"])
    return response
