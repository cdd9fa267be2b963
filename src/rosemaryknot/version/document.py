"""Validation of configuration documents: JSON schema first, then references.

Only new documents are validated. The current version is used as it is, since a newer
release may have accepted fields that this one does not know yet.
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
"""Limit on the document; the stored object with its history must fit in a megabyte."""

MAX_NUMBER = 1e12
"""Limit on numbers, well within what message codecs and floats represent exactly."""

# Python's `$` also matches before a trailing line break, `\Z` does not.
NAME = {"type": "string", "pattern": r"^[a-z0-9][a-z0-9_-]{0,62}\Z"}
COUNT = {"type": "integer", "minimum": 0, "maximum": MAX_NUMBER}
POSITIVE = {"type": "number", "exclusiveMinimum": 0, "maximum": MAX_NUMBER}
SHARE = {"type": "number", "minimum": 0, "maximum": 1}
FLAG = {"type": "boolean"}
HEX = {"type": "string", "pattern": r"^([0-9a-f]{2}){8,64}\Z"}
DIGEST = {"type": "string", "pattern": r"^[0-9a-f]{64}\Z"}
PATH = {"type": "string", "pattern": r"^/[!-~]*\Z", "not": {"pattern": "[?#%]"}}


def object_schema(required: Sequence[str] = (), **properties: Any) -> dict[str, Any]:
    """Return the schema of an object that has these keys and no others."""
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }


def mapping_schema(values: dict[str, Any]) -> dict[str, Any]:
    """Return the schema of an object that maps names to values with one schema."""
    return {"type": "object", "propertyNames": NAME, "additionalProperties": values}


MODEL_SCHEMA = object_schema(
    ["kind"],
    kind={"const": "model"},
    step_time_ms=POSITIVE,
    max_tokens={**COUNT, "minimum": 1},
    standby_min_tokens=COUNT,
    timeout_s=POSITIVE,
    latency=object_schema(first_token_ms=POSITIVE, between_tokens_ms=POSITIVE),
    checks_fencing=FLAG,
    moves_kv=FLAG,
    route_policy=NAME,
)
PLAIN_SCHEMA = object_schema(
    ["kind"],
    kind={"const": "plain"},
    timeout_s=POSITIVE,
    checks_fencing=FLAG,
    route_policy=NAME,
    idempotent={
        "type": "array",
        "items": object_schema(
            ["method", "path"],
            method={
                "enum": ["GET", "HEAD", "OPTIONS", "PUT", "POST", "DELETE", "PATCH"]
            },
            path=PATH,
        ),
    },
    at_most_once=object_schema(
        form={"enum": ["shards", "objects"]}, answer_horizon_s=POSITIVE
    ),
)
SERVICE_SCHEMA = {
    "type": "object",
    "required": ["kind"],
    "properties": {"kind": {"enum": ["model", "plain"]}},
    "allOf": [
        {"if": {"properties": {"kind": {"const": "model"}}}, "then": MODEL_SCHEMA},
        {"if": {"properties": {"kind": {"const": "plain"}}}, "then": PLAIN_SCHEMA},
    ],
}
PLACEMENT_SCHEMA = object_schema(
    ["count"],
    count=COUNT,
    classes={"type": "array", "items": NAME, "uniqueItems": True},
    reclaimable_share=SHARE,
    price_ceiling_per_hour=POSITIVE,
)
LIMIT_SCHEMA = object_schema(
    tokens_per_minute={"type": "number", "minimum": 0, "maximum": MAX_NUMBER},
    concurrent_requests=COUNT,
)
KEY_SCHEMA = object_schema(
    ["salt", "sha256"],
    salt=HEX,
    sha256=DIGEST,
    customer=NAME,
    operator=NAME,
    role={"enum": ["viewer", "editor"]},
)
SCHEMA = object_schema(
    services=mapping_schema(SERVICE_SCHEMA),
    placements=mapping_schema(mapping_schema(PLACEMENT_SCHEMA)),
    customers=mapping_schema(object_schema(limits=mapping_schema(LIMIT_SCHEMA))),
    keys=mapping_schema(KEY_SCHEMA),
    rules=object_schema(max_capacity_change_share=SHARE),
)


def is_finite_number(checker: Any, value: Any) -> bool:
    """Return whether a value is a finite number; Python's JSON parser accepts NaN."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and (isinstance(value, int) or math.isfinite(value))


TYPES = Draft202012Validator.TYPE_CHECKER.redefine("number", is_finite_number)
VALIDATOR = validators.extend(Draft202012Validator, type_checker=TYPES)(SCHEMA)


@dataclass(slots=True, frozen=True)
class Problem:
    """Error in a document or a patch.

    Attributes
    ----------
    path : str
        JSON Pointer to the invalid value.
    text : str
        Description of the error for operators.
    """

    path: str
    text: str


def pointer(segments: Sequence[str | int]) -> str:
    """Return the JSON Pointer of a path.

    Examples
    --------
    >>> pointer(["services", "a/b", 0])
    '/services/a~1b/0'
    """
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in segments)
    return "".join(f"/{part}" for part in escaped)


def problem_from_error(error: ValidationError) -> Problem:
    """Convert a schema validation error."""
    place = pointer(list(error.absolute_path))
    if error.validator == "additionalProperties":
        allowed = error.schema.get("properties", {})
        unknown = sorted(set(error.instance) - set(allowed))
        return Problem(place, f"unknown key {', '.join(unknown)}")
    return Problem(place, error.message)


def schema_problems(document: Any) -> list[Problem]:
    """Return the schema violations of a document, sorted by path."""
    found = {problem_from_error(error) for error in VALIDATOR.iter_errors(document)}
    return sorted(found, key=lambda problem: (problem.path, problem.text))


def reference_problems(document: dict) -> Iterator[Problem]:
    """Yield references to services and customers that are not defined."""
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
    """Validate a complete document.

    Parameters
    ----------
    document : object
        JSON value.

    Returns
    -------
    problems : list of Problem
        All errors; empty if the document is valid.
    """
    problems = schema_problems(document)
    if problems:
        return problems
    problems = list(reference_problems(document))
    size = len(json.dumps(document))
    if size > MAX_DOCUMENT_BYTES:
        text = f"{size} bytes, at most {MAX_DOCUMENT_BYTES} fit"
        problems.append(Problem("", text))
    return problems
