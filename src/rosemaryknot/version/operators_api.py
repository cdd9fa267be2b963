"""Operators' API of the configuration, and the web application that serves it."""

import hmac
import json
import re
from dataclasses import asdict
from typing import Any

from quart import Blueprint, Response, g, request
from quart_trio import QuartTrio

from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.version.effect import effect_of, has_editor
from rosemaryknot.version.patch import Patch, operations_between
from rosemaryknot.version.store import ConfigurationStore
from rosemaryknot.version.stored import StoredConfiguration
from rosemaryknot.version.submission import (
    Accepted,
    DamagedObject,
    DryRun,
    InvalidPatch,
    NeedsConfirm,
    NotAccepted,
    PatchUnknown,
    ReusedPatchId,
    StalePatch,
    StoreConflict,
    StoreUnavailable,
    SubmitResult,
)
from rosemaryknot.version.tables import Operator
from rosemaryknot.version.undo import Overlap, UndoPatch, undo_patch
from rosemaryknot.version.view import ConfigurationView

__all__ = ["operators_app"]

MAX_BODY_BYTES = 512 * 1024
RETRY_AFTER_S = 2
PATCH_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{8,64}")
BOOTSTRAP_OPERATOR = Operator("bootstrap", "editor")

OUTCOME_STATUS: dict[type, tuple[str, int]] = {
    Accepted: ("accepted", 200),
    DryRun: ("dry_run", 200),
    StalePatch: ("stale", 412),
    InvalidPatch: ("invalid", 422),
    NeedsConfirm: ("needs_confirm", 409),
    StoreConflict: ("store_conflict", 409),
    ReusedPatchId: ("reused_patch_id", 409),
    NotAccepted: ("not_accepted", 200),
    StoreUnavailable: ("store_unavailable", 503),
    DamagedObject: ("damaged_object", 503),
    PatchUnknown: ("unknown", 504),
}


def json_response(status: int, **body: Any) -> Response:
    """Return a JSON response."""
    response = Response(json.dumps(body), status, content_type="application/json")
    if status == 503:
        response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return response


def error_response(status: int, outcome: str, detail: str) -> Response:
    """Return a JSON response that describes an error of the request."""
    return json_response(status, outcome=outcome, detail=detail)


def outcome_response(result: SubmitResult | NotAccepted) -> Response:
    """Return the response for the result of a patch."""
    outcome, status = OUTCOME_STATUS[type(result)]
    body = asdict(result)
    for change in body.get("changes", ()):
        del change["undo"]
    return json_response(status, outcome=outcome, **body)


def authenticated_operator(
    authorization: str, view: ConfigurationView | None, bootstrap_key: str
) -> Operator | None:
    """Authenticate the operator of a request.

    Parameters
    ----------
    authorization : str
        Value of the ``Authorization`` header.
    view : ConfigurationView or None
        Current configuration; None before the first version.
    bootstrap_key : str
        Key that allows an operator to create the first version; empty for none. It
        is valid only while no key of the configuration may change anything.

    Returns
    -------
    operator : Operator or None
        None for an invalid key.
    """
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    key = key.strip()
    operator = None if view is None else view.operator_for_key(key)
    if operator is not None:
        return operator
    is_bootstrap_allowed = bool(bootstrap_key) and (
        view is None or not has_editor(view)
    )
    if is_bootstrap_allowed and hmac.compare_digest(
        key.encode(), bootstrap_key.encode()
    ):
        return BOOTSTRAP_OPERATOR
    return None


class ConfigurationApi:
    """HTTP endpoints of the configuration.

    Parameters
    ----------
    holder : ConfigurationHolder
        Current configuration of this node.
    store : ConfigurationStore
        Store to which patches are submitted.
    """

    def __init__(self, holder: ConfigurationHolder, store: ConfigurationStore) -> None:
        self.holder = holder
        self.store = store

    def blueprint(self) -> Blueprint:
        """Return the routes."""
        routes = Blueprint("configuration", __name__, url_prefix="/v1")
        routes.get("/configuration")(self.show)
        routes.patch("/configuration")(self.patch)
        routes.get("/configuration/history")(self.history)
        routes.get("/configuration/diff")(self.diff)
        routes.get("/configuration/undo")(self.undo)
        routes.post("/configuration/restore")(self.restore)
        routes.get("/patches/<patch_id>")(self.patch_status)
        return routes

    async def show(self) -> Response:
        """Return the current version, or an earlier one."""
        at = request.args.get("at", type=int)
        if "at" in request.args and at is None:
            return error_response(400, "bad_request", "at must be a number")
        if at is not None and at != self.holder.number:
            return await self.show_earlier(at)
        view, conflict = self.holder.view, self.holder.conflict
        if view is None:
            return json_response(200, number=0, digest="", document={}, conflict=None)
        return json_response(
            200,
            number=view.number,
            digest=view.digest,
            document=dict(view.document),
            conflict=None if conflict is None else asdict(conflict),
        )

    async def show_earlier(self, number: int) -> Response:
        """Return a version from the history."""
        stored = await self.store.read()
        if not isinstance(stored, StoredConfiguration):
            return outcome_response(stored)
        document = stored.document_at(number)
        if document is None:
            return error_response(404, "forgotten", f"{number} is not in the history")
        return json_response(200, number=number, document=document)

    async def patch(self) -> Response:
        """Submit a patch."""
        base = request.headers.get("If-Match", "").strip('"')
        patch_id = request.headers.get("Rosemaryknot-Patch", "")
        if not base.isdecimal():
            return error_response(428, "bad_request", "send If-Match: the base number")
        if not PATCH_ID_PATTERN.fullmatch(patch_id):
            detail = "send Rosemaryknot-Patch: an id of 8 to 64 letters and digits"
            return error_response(400, "bad_request", detail)
        if (
            g.operator is BOOTSTRAP_OPERATOR
            and int(base) != 0
            and self.holder.view is None
        ):
            # A node without a version does not know whether there are editors, so
            # its bootstrap key may create the first version only.
            return error_response(403, "forbidden", "the bootstrap key starts from 0")
        try:
            operations = json.loads(await request.get_data())
        except (ValueError, RecursionError):
            return error_response(400, "bad_request", "the body is not JSON")
        patch = Patch(patch_id, int(base), operations, g.operator.name)
        confirmed = frozenset(request.args.getlist("confirm"))
        dry_run = request.args.get("dry_run", "") not in ("", "0")
        return outcome_response(await self.store.submit(patch, confirmed, dry_run))

    async def restore(self) -> Response:
        """Store the current version of this node again after the store has lost it."""
        patch_id = request.headers.get("Rosemaryknot-Patch", "")
        if not PATCH_ID_PATTERN.fullmatch(patch_id):
            return error_response(400, "bad_request", "send Rosemaryknot-Patch: an id")
        if request.headers.get("If-Match", "").strip('"') != str(self.holder.number):
            detail = f"send If-Match: {self.holder.number}, the number in force here"
            return error_response(412, "stale", detail)
        return outcome_response(await self.store.restore(patch_id, g.operator.name))

    async def patch_status(self, patch_id: str) -> Response:
        """Return the result of a patch by its id."""
        base = request.args.get("base", type=int)
        return outcome_response(await self.store.patch_status(patch_id, base))

    async def history(self) -> Response:
        """Return the recent changes, newest first."""
        stored = await self.store.read()
        if not isinstance(stored, StoredConfiguration):
            return outcome_response(stored)
        changes = [asdict(change) for change in reversed(stored.history)]
        return json_response(200, number=stored.number, changes=changes)

    async def diff(self) -> Response:
        """Return the differences of two versions, as descriptions and operations."""
        numbers = [request.args.get(name, type=int) for name in ("from", "to")]
        if None in numbers:
            return error_response(400, "bad_request", "from and to must be numbers")
        stored = await self.store.read()
        if not isinstance(stored, StoredConfiguration):
            return outcome_response(stored)
        old, new = (stored.document_at(number) for number in numbers)
        if old is None or new is None:
            return error_response(404, "forgotten", "a version is not in the history")
        operations = operations_between(old, new)
        return json_response(200, effect=effect_of(old, new), operations=operations)

    async def undo(self) -> Response:
        """Return the patch that reverts a change."""
        number = request.args.get("number", type=int)
        if number is None:
            return error_response(400, "bad_request", "number must be a number")
        stored = await self.store.read()
        if not isinstance(stored, StoredConfiguration):
            return outcome_response(stored)
        undo = undo_patch(stored, number)
        if isinstance(undo, UndoPatch):
            return json_response(200, base=undo.base, operations=undo.operations)
        if isinstance(undo, Overlap):
            detail = f"change {undo.number} touches {undo.path} too: undo that first"
            return error_response(409, "overlap", detail)
        return error_response(
            404, "forgotten", f"change {number} is not in the history"
        )


def operators_app(
    holder: ConfigurationHolder, store: ConfigurationStore, bootstrap_key: str = ""
) -> QuartTrio:
    """Create the application of the operators' API.

    Every path under ``/v1/`` requires an operator's key, and every method except GET
    and HEAD requires an editor's. Other blueprints find the authenticated operator in
    ``quart.g.operator``.

    Parameters
    ----------
    holder : ConfigurationHolder
        Current configuration of this node.
    store : ConfigurationStore
        Store to which patches are submitted.
    bootstrap_key : str
        See `authenticated_operator`.

    Returns
    -------
    app : QuartTrio
        Application to which other blueprints can be added.
    """
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES

    @app.before_request
    async def check_operator() -> Response | None:
        if not request.path.startswith("/v1/"):
            return None
        header = request.headers.get("Authorization", "")
        operator = authenticated_operator(header, holder.view, bootstrap_key)
        if operator is None:
            return error_response(401, "unauthenticated", "send an operator's key")
        if request.method not in ("GET", "HEAD") and not operator.may_patch:
            detail = f"{operator.name} is a viewer and may change nothing"
            return error_response(403, "forbidden", detail)
        g.operator = operator
        return None

    app.register_blueprint(ConfigurationApi(holder, store).blueprint())
    return app
