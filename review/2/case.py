"""Requests with long bodies, while one of twenty app servers hangs."""
import asyncio
import fcntl
import os
import struct
import sys
import termios

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import AppServer, Discovery, Node, config, listening_socket, now

SERVERS, REQUESTS = 20, 60
BODY = b"x" * 400_000
REMAINING_MS = 1000
# "Up to half a second after its time", and 50 ms on sockets.
BOUND_S = REMAINING_MS / 1000 + 0.5 + 0.05
WATCHED_S = 14.0


def unacknowledged(writer):
    """Bytes that the peer's machine has not acknowledged."""
    fd = writer.get_extra_info("socket").fileno()
    return struct.unpack("i", fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4)))[0]


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
    late, untaken = [], 0
    try:
        if not await node.ready():
            return 2

        async def client(number):
            nonlocal untaken
            await asyncio.sleep(0.1 * number)
            txn = f"c{number}"
            host, port = node.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            # drain() returns once the kernel has the last byte.
            writer.transport.set_write_buffer_limits(high=0)
            writer.write(standins.request("cert-request", txn, REMAINING_MS, BODY))
            await writer.drain()
            written = now()
            answer = asyncio.ensure_future(standins.read_message(reader))
            taken = None
            while not answer.done() and now() < written + WATCHED_S:
                if taken is None and unacknowledged(writer) == 0:
                    taken = now()
                    record(f"{txn}: the node's machine has its last byte, {1000 * (taken - written):.0f} ms "
                           "after it was written")
                await asyncio.wait([answer], timeout=0.005 if taken is None else 0.1)
            ended = now()
            if answer.done():
                try:
                    result = answer.result().status
                except (OSError, asyncio.IncompleteReadError) as error:
                    result = f"no answer, {error!r}"
            else:
                answer.cancel()
                result = "no answer"
            since = ended - (taken or ended)
            record(f"{txn}: {result}, {since:.3f} s after its last byte was there")
            if taken is None and not isinstance(result, int):
                untaken += 1
            if taken is not None and (since > BOUND_S or not isinstance(result, int)):
                late.append((txn, result, round(since, 3)))
            writer.close()

        await asyncio.gather(*[client(n) for n in range(REQUESTS)])
    finally:
        node.end()
    record(f"not counted, as the last byte never was at the node's machine: {untaken}")
    broken = bool(late)
    record.verdict(f"of {REQUESTS} requests, {len(late)} with no answer {BOUND_S} s after their last byte: {late}: "
                   + ("BROKEN" if broken else "held"))
    return int(broken)


standins.main(case)
