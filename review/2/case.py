"""Requests with long bodies, while one of twenty app servers hangs."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import AppServer, Discovery, Node, config, listening_socket, timed_request

SERVERS, REQUESTS = 20, 60
BODY = b"x" * 400_000
REMAINING_MS = 1000
# "Up to half a second after its time", and 50 ms on sockets.
BOUND_S = round(REMAINING_MS / 1000 + 0.5 + 0.05, 3)
WATCHED_S = 14.0


async def case(record, trouble):
    discovery = Discovery(record)
    address = await discovery.start()
    servers = [AppServer(f"s{n}", record) for n in range(SERVERS)]
    for server in servers:
        discovery.set(server.name, await server.start())
    # A process that hangs: its machine still takes connections and bytes, and nobody reads them.
    hanging = listening_socket()
    if trouble:
        discovery.set("s0", f"{standins.HOST}:{hanging.getsockname()[1]}")
        record("app server s0 hangs")
    node = Node(record, config(address))
    late = []
    try:
        if not await node.ready():
            return 2

        async def client(number):
            await asyncio.sleep(0.1 * number)
            status, took = await timed_request(node.address, f"c{number}", REMAINING_MS, BODY, WATCHED_S, record)
            if took is not None and (status is None or took > BOUND_S):
                late.append((f"c{number}", status, round(took, 3)))

        await asyncio.gather(*[client(n) for n in range(REQUESTS)])
    finally:
        node.end()
    broken = bool(late)
    record.verdict(f"of {REQUESTS} requests, {len(late)} with no answer {BOUND_S} s after their last byte: {late}: "
                   + ("BROKEN" if broken else "held"))
    return int(broken)


standins.main(case)
