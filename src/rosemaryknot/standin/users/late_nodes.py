"""Nodes that handle what they receive later than it arrives."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from rosemaryknot.process.node import GatewayNode

__all__ = ["delay_node"]


def delay_node(node: GatewayNode, lag_s: Callable[[], float]) -> None:
    """Let a node handle messages and responses of the store late.

    As in a process that waits for its processor, what arrives at one moment is handled
    at one moment, in any order.

    Parameters
    ----------
    node : GatewayNode
        The node.
    lag_s : callable
        Returns the lag, in seconds.
    """
    handlers = node.peers.dialler.handlers.by_type
    for message_type, handler in list(handlers.items()):
        handlers[message_type] = after_lag(handler, lag_s)
    store = node.adapter.store
    store.changes = before_lag(store.changes, lag_s)
    store.list_page = before_lag(store.list_page, lag_s)


def after_lag(
    function: Callable[..., Awaitable[Any]], lag_s: Callable[[], float]
) -> Callable[..., Awaitable[Any]]:
    """Return a function that waits before another one runs."""

    async def run(*args: Any) -> Any:
        await trio.sleep(lag_s())
        return await function(*args)

    return run


def before_lag(
    function: Callable[..., Awaitable[Any]], lag_s: Callable[[], float]
) -> Callable[..., Awaitable[Any]]:
    """Return a function that waits before it returns the result of another one."""

    async def run(*args: Any) -> Any:
        result = await function(*args)
        await trio.sleep(lag_s())
        return result

    return run
