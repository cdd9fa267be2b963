"""Parsing of chat/completions requests and encoding of complete responses."""

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

MAX_SHORT_ANSWER_TOKENS = 512
PRIORITY_SHORT = 0
PRIORITY_LONG = 1


def bad_request(detail: str) -> NotRun:
    """Return the refusal of invalid input."""
    return NotRun(Reason.BAD_REQUEST, detail=detail)


def parse_model_body(body: bytes) -> dict[str, Any] | NotRun:
    """Parse the body of a model request and check it independently of the service.

    Parameters
    ----------
    body : bytes
        Raw request body.

    Returns
    -------
    document : dict or NotRun
        The JSON object, or the validation error.

    Examples
    --------
    >>> parse_model_body(b'{"model": 1}').detail
    'model must be text'
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return bad_request("the body is not JSON")
    if not isinstance(document, dict):
        return bad_request("the body must be a JSON object")
    if not isinstance(document.get("model"), str):
        return bad_request("model must be text")
    if not is_message_list(document.get("messages")):
        return bad_request("messages must be a list of objects with role and content")
    if not isinstance(document.get("stream", False), bool):
        return bad_request("stream must be true or false")
    if document.get("n", 1) != 1:
        return bad_request("n must be 1")
    return document


def is_message_list(value: Any) -> bool:
    """Return whether a value is a non-empty list of chat messages."""
    return (
        isinstance(value, list)
        and bool(value)
        and all(
            isinstance(message, dict)
            and isinstance(message.get("role"), str)
            and isinstance(message.get("content"), str | list)
            for message in value
        )
    )


def model_service(
    document: dict[str, Any], view: ConfigurationView
) -> Service | NotRun:
    """Return the model service named in a parsed body."""
    service = view.services.get(document["model"])
    if service is None or not service.is_model:
        return NotRun(Reason.UNKNOWN_SERVICE, detail="there is no such model")
    return service


def read_max_tokens(document: dict[str, Any], service: Service) -> int | NotRun:
    """Return the maximum number of response tokens."""
    value = document.get("max_tokens")
    if value is None:
        return service.max_tokens
    if type(value) is not int or not 1 <= value <= service.max_tokens:
        return bad_request(
            f"max_tokens must be a whole number from 1 to {service.max_tokens}"
        )
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
        Parsed body; see `parse_model_body`.
    service : Service
        Requested service; see `model_service`.
    request_id, customer, arrived_s, deadline_s
        See `ModelRequest`.

    Returns
    -------
    request : ModelRequest or NotRun
        The request, or the validation error.
    """
    max_tokens = read_max_tokens(document, service)
    if isinstance(max_tokens, NotRun):
        return max_tokens
    is_short = max_tokens <= MAX_SHORT_ANSWER_TOKENS
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
    """Return the response of a finished generation in chat/completions form.

    Parameters
    ----------
    generation : Generation
        A generation with the outcome `Answered`.
    created_unix_s : float
        Time of the response, as Unix time in seconds.

    Returns
    -------
    document : dict
        JSON object of the response.
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
