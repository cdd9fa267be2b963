"""Registry of what a process does with the messages of its links."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

from rosemaryknot.values.messages import Message

if TYPE_CHECKING:
    from rosemaryknot.connection.links import MessageLink

__all__ = ["Handlers"]

MessageType = TypeVar("MessageType", bound=Message)


class Handlers:
    """Registry of what a process does with each kind of message.

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
        """Register an async function of message and link that returns the reply.

        Parameters
        ----------
        message_type : type
            Kind of message that the function handles.

        Returns
        -------
        decorator : callable
            Returns the function unchanged.
        """

        def register(function: Callable) -> Callable:
            self.by_type[message_type] = function
            return function

        return register
