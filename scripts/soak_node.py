"""A gateway node for the soak, whose links to the servers can be cut from outside.

A loopback proxy cannot refuse the connections of one node and accept those of another.
So the cut is made below the program, in the class that opens its sockets. A file beside
the settings, with the suffix ``.cut``, holds how the node is cut off and from which
ports.
"""

import json
import socket
import sys
from pathlib import Path
from weakref import WeakKeyDictionary

import trio

from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.process import command_line
from rosemaryknot.process.node_main import main
from rosemaryknot.values.nodes import Address

__all__ = ["CutNetwork"]

CUT_FILE = Path(sys.argv[1]).with_suffix(".cut")
CHECK_INTERVAL_S = 0.1


class CutNetwork(SocketNetwork):
    """TCP network whose new connections hang or are refused, and old ones are closed.

    Attributes
    ----------
    ports : weakref.WeakKeyDictionary of trio.SocketStream to int
        Ports that the open connections lead to.
    """

    def __init__(self) -> None:
        self.ports: WeakKeyDictionary[trio.SocketStream, int] = WeakKeyDictionary()
        trio.lowlevel.spawn_system_task(self.run)

    def cut(self) -> tuple[str, list[int]]:
        """Return how the node is cut off, empty if it is not, and from which ports."""
        try:
            how, ports = json.loads(CUT_FILE.read_text())
        except (OSError, ValueError):
            return "", []
        return how, ports

    async def dial(self, address: Address) -> trio.SocketStream:
        """Connect by TCP, unless the port is cut off."""
        how, ports = self.cut()
        if how and address.port in ports:
            if how == "hang":
                await trio.sleep_forever()
            raise ConnectionRefusedError(f"cut off from {address}")
        stream = await super().dial(address)
        self.ports[stream] = address.port
        return stream

    async def run(self) -> None:
        """Close open connections while they are to be reset, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.close_connections()

    def close_connections(self) -> None:
        """Close the open connections to the ports, if they are to be reset."""
        how, ports = self.cut()
        if how != "reset":
            return
        for stream, port in list(self.ports.items()):
            if port in ports and stream.socket.fileno() >= 0:
                try:
                    stream.socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue


if __name__ == "__main__":
    command_line.SocketNetwork = CutNetwork
    main()
