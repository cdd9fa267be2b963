"""Orders to the stand-in engine, with or without a check of the fencing number."""

from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import trio
from quart import request

from rosemaryknot.standin.batch import EngineSettings

__all__ = ["Order", "Orders"]


@dataclass(slots=True)
class Order:
    """An order that was carried out.

    Attributes
    ----------
    fencing : int
        Fencing number that it carried.
    order : str
        What to do, for example ``load_model``.
    arguments : dict
        The other fields.
    time_unix_s : float
        When it took effect.
    """

    fencing: int
    order: str
    arguments: dict[str, Any] = field(default_factory=dict)
    time_unix_s: float = 0.0


class Orders:
    """Carries orders out one after another and remembers them.

    Parameters
    ----------
    settings : EngineSettings
        Gives the models loaded at start and whether fencing numbers are checked.
    clock : callable
        Seconds of the epoch.

    Attributes
    ----------
    carried_out : list of Order
        In the order in which they took effect.
    highest : int
        Highest fencing number seen.
    models : set of str
        Loaded models; empty where any model is accepted.
    state : dict
        Last value given to each other order, by its name.
    """

    def __init__(self, settings: EngineSettings, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.clock = clock
        self.carried_out: list[Order] = []
        self.highest = 0
        self.models = set(settings.models)
        self.state: dict[str, dict[str, Any]] = {}

    def has_model(self, model: str | None) -> bool:
        """Tell whether requests for a model are accepted."""
        return not self.models or model in self.models

    def is_old(self, fencing: int) -> bool:
        """Tell whether an order is refused for its fencing number."""
        return self.settings.checks_fencing and fencing < self.highest

    async def carry_out(self, order: Order) -> bool:
        """Carry an order out; tells whether it was, or was refused as old."""
        if self.is_old(order.fencing):
            return False
        self.highest = max(self.highest, order.fencing)
        if order.order == "load_model":
            await trio.sleep(self.settings.load_model_s)
            # A newer holder may have given orders while the model was loading.
            if self.is_old(order.fencing):
                return False
            self.models.add(str(order.arguments.get("model")))
        elif order.order == "unload_model":
            self.models.discard(str(order.arguments.get("model")))
        self.state[order.order] = order.arguments
        order.time_unix_s = self.clock()
        self.carried_out.append(order)
        return True

    async def post_order(self) -> tuple | dict[str, Any]:
        """Handle ``POST /orders``."""
        body = await request.get_json(force=True, silent=True)
        if not isinstance(body, dict) or not isinstance(body.get("fencing"), int):
            return {"error": "no fencing number"}, 400
        fencing, name = body.pop("fencing"), body.pop("order", None)
        if not isinstance(name, str):
            return {"error": "no order"}, 400
        if await self.carry_out(Order(fencing, name, body)):
            return {"fencing": fencing, "order": name}
        return {"error": "old fencing number", "fencing": self.highest}, 409

    async def get_orders(self) -> dict[str, Any]:
        """Handle ``GET /orders``: what is in force, for a read-back."""
        return {
            "fencing": self.highest,
            "models": sorted(self.models),
            "state": self.state,
            "orders": [asdict(order) for order in self.carried_out],
        }
