"""What naming the lives of servers costs in messages and in time.

Prints one line for each message: bytes with ids alone, as ids with births, and the
processor time of its encoding, its decoding and its taking over, with births. Best of
seven rounds, in one process.
"""

import json
import timeit
from collections.abc import Callable

import trio

from rosemaryknot.platform.documents import server_of
from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.server_state import PeerLoad
from rosemaryknot.standin.users.servers import server_entry
from rosemaryknot.values.gateway_peers import HubSum, LoadReport, StoreChanges
from rosemaryknot.values.messages import Message, decode_message, encode_message

ROUNDS = 7
CALLS = 300
FIRST_BORN_MS = 1_764_722_000_000
# Servers of a small and of a grown deployment, and places in a full report.
SIZES = ((12, 20), (60, 60))


def entries_of(count: int, has_birth: bool) -> dict[str, dict]:
    """Return what servers write of themselves, by id."""
    return {
        f"i-{number:010x}": server_entry(
            "mifi85a",
            f"10.3.{number % 250}.23:8248",
            "dub-c",
            FIRST_BORN_MS + number if has_birth else None,
        )
        for number in range(count)
    }


def table_of(entries: dict[str, dict]) -> ServerTable:
    """Return the table of servers that have written their entries."""
    table = ServerTable()
    for name, entry in entries.items():
        table.put(server_of(name, entry))
    return table


def messages_of(servers: int, places: int, has_birth: bool) -> dict[str, Message]:
    """Return one message of each kind, as large as it gets."""
    entries = entries_of(servers, has_birth)
    names = [state.incarnation_key for state in table_of(entries).by_id.values()]
    if not has_birth:
        names = list(entries)
    loads = {name: [7, 12_345] for name in names}
    kept = [[f"{n:08x}", names[n % servers]] for n in range(places)]
    first = next(iter(entries))
    change = [first, 123_456, entries[first], False]
    return {
        "loads": LoadReport("edge-dub-a-1", loads, kept),
        "sum of a hub": HubSum(
            "edge-dub-a-1", 1, True, 1.0, 65, 7, loads=loads, places=kept
        ),
        "change of an entry": StoreChanges("servers", 1, 2, [change]),
    }


def best_us(call: Callable[[], object]) -> float:
    """Return the time of one call in microseconds."""
    return min(timeit.repeat(call, number=CALLS, repeat=ROUNDS)) / CALLS * 1e6


def take(table: ServerTable, message: Message) -> None:
    """Take over loads and places as a gateway does."""
    for state in table.by_id.values():
        requests, tokens = message.loads.get(state.incarnation_key, (0, 0))
        state.peers["other"] = PeerLoad(requests, tokens, 0.0)
    for segment_id, incarnation_key in message.places:
        table.record_location(segment_id, incarnation_key)


async def main() -> None:
    """Measure and print."""
    for servers, places in SIZES:
        table = table_of(entries_of(servers, True))
        plain = messages_of(servers, places, False)
        for name, message in messages_of(servers, places, True).items():
            payload = encode_message(message)
            row = {
                "message": name,
                "servers": servers,
                "places": places,
                "bytes_ids": len(encode_message(plain[name])),
                "bytes": len(payload),
                "encode_us": round(best_us(lambda m=message: encode_message(m)), 1),
                "decode_us": round(best_us(lambda p=payload: decode_message(p)), 1),
            }
            if not isinstance(message, StoreChanges):
                us = best_us(lambda t=table, m=message: take(t, m))
                row["take_us"] = round(us, 1)
            print(json.dumps(row))


if __name__ == "__main__":
    trio.run(main)
