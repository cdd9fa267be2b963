"""Read chat/completions requests and write whole answers to them."""

import json
from typing import Any

from rosemaryknot.request.generations import Generation
from rosemaryknot.values.outcomes import NotRun, Reason
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.version.view import ConfigurationView, Service

__all__ = [
    "completion_document",
    "model_request_of",
    "model_service",
    "parse_model_body",
]

SHORT_ANSWER_TOKENS = 512
PRIORITY_SHORT = 0
PRIORITY_LONG = 1


def bad(detail: str) -> NotRun:
    """Return the refusal of bad input."""
    return NotRun(Reason.BAD_REQUEST, detail=detail)


def parse_model_body(body: bytes) -> dict[str, Any] | NotRun:
    """Parse the body of a model request and check what holds for all services.

    Parameters
    ----------
    body : bytes
        The body as it came.

    Returns
    -------
    document : dict or NotRun
        The JSON object, or what is wrong with it.

    Examples
    --------
    >>> parse_model_body(b'{"model": 1}').detail
    'model must be text'
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return bad("the body is not JSON")
    if not isinstance(document, dict):
        return bad("the body must be a JSON object")
    if not isinstance(document.get("model"), str):
        return bad("model must be text")
    if not are_messages(document.get("messages")):
        return bad("messages must be a list of objects with role and content")
    if not isinstance(document.get("stream", False), bool):
        return bad("stream must be true or false")
    if document.get("n", 1) != 1:
        return bad("n must be 1")
    return document


def are_messages(value: Any) -> bool:
    """Tell whether a value is a conversation."""
    return (
        isinstance(value, list)
        and bool(value)
        and all(
            isinstance(part, dict)
            and isinstance(part.get("role"), str)
            and isinstance(part.get("content"), str | list)
            for part in value
        )
    )


def model_service(
    document: dict[str, Any], view: ConfigurationView
) -> Service | NotRun:
    """Return the service that a parsed body names."""
    service = view.services.get(document["model"])
    if service is None or not service.is_model:
        return NotRun(Reason.UNKNOWN_SERVICE, detail="there is no such model")
    return service


def read_max_tokens(document: dict[str, Any], service: Service) -> int | NotRun:
    """Return the bound on the answer's tokens."""
    value = document.get("max_tokens")
    if value is None:
        return service.max_tokens
    if type(value) is not int or not 1 <= value <= service.max_tokens:
        return bad(f"max_tokens must be a whole number from 1 to {service.max_tokens}")
    return value


def model_request_of(
    document: dict[str, Any],
    service: Service,
    request_id: str,
    customer: str,
    arrived_s: float,
    deadline_s: float,
) -> ModelRequest | NotRun:
    """Return the typed request of a parsed body.

    Parameters
    ----------
    document : dict
        From `parse_model_body`.
    service : Service
        From `model_service`.
    request_id, customer, arrived_s, deadline_s
        See `ModelRequest`.

    Returns
    -------
    request : ModelRequest or NotRun
        The request, or what is wrong with the body.
    """
    max_tokens = read_max_tokens(document, service)
    if isinstance(max_tokens, NotRun):
        return max_tokens
    is_short = max_tokens <= SHORT_ANSWER_TOKENS
    return ModelRequest(
        request_id=request_id,
        customer=customer,
        service=service.name,
        messages=document["messages"],
        max_tokens=max_tokens,
        stream=document.get("stream", False),
        priority=PRIORITY_SHORT if is_short else PRIORITY_LONG,
        arrived_s=arrived_s,
        deadline_s=deadline_s,
        body={**document, "max_tokens": max_tokens},
    )


def completion_document(
    generation: Generation, created_unix_s: float
) -> dict[str, Any]:
    """Return the whole answer of a finished generation in chat/completions form.

    Parameters
    ----------
    generation : Generation
        An answered one.
    created_unix_s : float
        Time of the answer, in seconds of the epoch.

    Returns
    -------
    document : dict
        JSON value.
    """
    tokens = len(generation.tokens)
    return {
        "id": generation.request_id,
        "object": "chat.completion",
        "created": int(created_unix_s),
        "model": generation.service,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": generation.text()},
                "finish_reason": "stop",
            }
        ],
        "usage": {
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": generation.prompt_tokens + tokens,
        },
        "outcome": "answered",
        "tokens": tokens,
    }
