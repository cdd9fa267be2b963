"""Check of a configuration document: its form by JSON schema, then its references.

Only a new document is checked. One that is in force is taken as it is, since a newer
release may have accepted what this one does not know yet.
"""

import json
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from jsonschema import Draft202012Validator, validators
from jsonschema.exceptions import ValidationError

__all__ = ["MAX_DOCUMENT_BYTES", "Problem", "document_problems", "pointer"]

MAX_DOCUMENT_BYTES = 400_000
"""The stored object also holds the history and must stay under a megabyte."""

MAX_NUMBER = 1e12
"""Far from what a message codec or a float cannot carry."""

# Python's `$` also matches before a last line break, `\Z` does not.
NAME = {"type": "string", "pattern": r"^[a-z0-9][a-z0-9_-]{0,62}\Z"}
COUNT = {"type": "integer", "minimum": 0, "maximum": MAX_NUMBER}
POSITIVE = {"type": "number", "exclusiveMinimum": 0, "maximum": MAX_NUMBER}
SHARE = {"type": "number", "minimum": 0, "maximum": 1}
FLAG = {"type": "boolean"}
HEX = {"type": "string", "pattern": r"^([0-9a-f]{2}){8,64}\Z"}
DIGEST = {"type": "string", "pattern": r"^[0-9a-f]{64}\Z"}
PATH = {"type": "string", "pattern": r"^/[!-~]*\Z", "not": {"pattern": "[?#%]"}}


def record(required: Sequence[str] = (), **properties: Any) -> dict[str, Any]:
    """Return the schema of an object with just these keys."""
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }


def table(of: dict[str, Any]) -> dict[str, Any]:
    """Return the schema of an object that maps names to values of one schema."""
    return {"type": "object", "propertyNames": NAME, "additionalProperties": of}


MODEL = record(
    ["kind"],
    kind={"const": "model"},
    step_time_ms=POSITIVE,
    max_tokens={**COUNT, "minimum": 1},
    standby_min_tokens=COUNT,
    timeout_s=POSITIVE,
    latency=record(first_token_ms=POSITIVE, between_tokens_ms=POSITIVE),
    checks_fencing=FLAG,
    moves_kv=FLAG,
    route_policy=NAME,
)
PLAIN = record(
    ["kind"],
    kind={"const": "plain"},
    timeout_s=POSITIVE,
    checks_fencing=FLAG,
    route_policy=NAME,
    idempotent={
        "type": "array",
        "items": record(
            ["method", "path"],
            method={
                "enum": ["GET", "HEAD", "OPTIONS", "PUT", "POST", "DELETE", "PATCH"]
            },
            path=PATH,
        ),
    },
    at_most_once=record(
        form={"enum": ["shards", "objects"]}, answer_horizon_s=POSITIVE
    ),
)
SERVICE = {
    "type": "object",
    "required": ["kind"],
    "properties": {"kind": {"enum": ["model", "plain"]}},
    "allOf": [
        {"if": {"properties": {"kind": {"const": "model"}}}, "then": MODEL},
        {"if": {"properties": {"kind": {"const": "plain"}}}, "then": PLAIN},
    ],
}
PLACEMENT = record(
    ["count"],
    count=COUNT,
    classes={"type": "array", "items": NAME, "uniqueItems": True},
    reclaimable_share=SHARE,
    price_ceiling_per_hour=POSITIVE,
)
LIMIT = record(
    tokens_per_minute={"type": "number", "minimum": 0, "maximum": MAX_NUMBER},
    concurrent_requests=COUNT,
)
KEY = record(
    ["salt", "sha256"],
    salt=HEX,
    sha256=DIGEST,
    customer=NAME,
    operator=NAME,
    role={"enum": ["viewer", "editor"]},
)
SCHEMA = record(
    services=table(SERVICE),
    placements=table(table(PLACEMENT)),
    customers=table(record(limits=table(LIMIT))),
    keys=table(KEY),
    rules=record(max_capacity_change_share=SHARE),
)


def is_finite_number(checker: Any, value: Any) -> bool:
    """Tell whether a value is a number; JSON as Python reads it also has NaN."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and (isinstance(value, int) or math.isfinite(value))


TYPES = Draft202012Validator.TYPE_CHECKER.redefine("number", is_finite_number)
VALIDATOR = validators.extend(Draft202012Validator, type_checker=TYPES)(SCHEMA)


@dataclass(slots=True, frozen=True)
class Problem:
    """One thing that is wrong with a document or a patch.

    Attributes
    ----------
    path : str
        JSON Pointer of the place.
    text : str
        What is wrong there, for people.
    """

    path: str
    text: str


def pointer(parts: Sequence[str | int]) -> str:
    """Return the JSON Pointer of a path.

    Examples
    --------
    >>> pointer(["services", "a/b", 0])
    '/services/a~1b/0'
    """
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return "".join(f"/{part}" for part in escaped)


def problem_of(error: ValidationError) -> Problem:
    """Return the problem that a schema error tells."""
    place = pointer(list(error.absolute_path))
    if error.validator == "additionalProperties":
        known = error.schema.get("properties", {})
        unknown = sorted(set(error.instance) - set(known))
        return Problem(place, f"unknown key {', '.join(unknown)}")
    return Problem(place, error.message)


def form_problems(document: Any) -> list[Problem]:
    """Return what the schema finds, in order of the place."""
    found = {problem_of(error) for error in VALIDATOR.iter_errors(document)}
    return sorted(found, key=lambda problem: (problem.path, problem.text))


def reference_problems(document: dict) -> Iterator[Problem]:
    """Yield names that nothing stands behind."""
    services = document.get("services", {})
    customers = document.get("customers", {})
    for name in document.get("placements", {}):
        if name not in services:
            yield Problem(pointer(["placements", name]), "no such service")
    for customer, raw in customers.items():
        for name in raw.get("limits", {}):
            if name not in services:
                place = pointer(["customers", customer, "limits", name])
                yield Problem(place, "no such service")
    for key_id, raw in document.get("keys", {}).items():
        place = pointer(["keys", key_id])
        if ("customer" in raw) == ("operator" in raw):
            yield Problem(place, "needs a customer or an operator, and not both")
        elif "customer" in raw and raw["customer"] not in customers:
            yield Problem(place + "/customer", "no such customer")
        elif "role" in raw and "operator" not in raw:
            yield Problem(place + "/role", "a customer's key has no role")


def document_problems(document: Any) -> list[Problem]:
    """Check a document whole.

    Parameters
    ----------
    document : object
        JSON value.

    Returns
    -------
    problems : list of Problem
        Everything that is wrong; empty for a good document.
    """
    problems = form_problems(document)
    if problems:
        return problems
    problems = list(reference_problems(document))
    size = len(json.dumps(document))
    if size > MAX_DOCUMENT_BYTES:
        text = f"{size} bytes, at most {MAX_DOCUMENT_BYTES} fit"
        problems.append(Problem("", text))
    return problems
