"""Registry of the message handlers of a process."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

from rosemaryknot.values.messages import Message

if TYPE_CHECKING:
    from rosemaryknot.connection.links import MessageLink

__all__ = ["Handlers"]

MessageType = TypeVar("MessageType", bound=Message)


class Handlers:
    """Registry of message handlers by type of message.

    Examples
    --------
    >>> from rosemaryknot.connection.link_messages import Busy
    >>> handlers = Handlers()
    >>> @handlers.on(Busy)
    ... async def handle(message, link):
    ...     return None
    """

    def __init__(self) -> None:
        self.by_type: dict[type[Message], Callable] = {}

    def on(
        self, message_type: type[MessageType]
    ) -> Callable[
        [Callable[[MessageType, "MessageLink"], Awaitable[Message | None]]], Callable
    ]:
        """Return a decorator that registers a handler.

        A handler is an async function of a message and its link. It returns the reply,
        or None.

        Parameters
        ----------
        message_type : type
            Type of message that the handler accepts.

        Returns
        -------
        decorator : callable
            Decorator that returns the function unchanged.
        """

        def register(function: Callable) -> Callable:
            self.by_type[message_type] = function
            return function

        return register
