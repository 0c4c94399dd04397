"""The process of a small node is replaced under load; the memory of the node's processes is watched."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins
from standins import AppServer, Discovery, Node, call, config, free_port, listening_socket, now, pss_kib

MEMORY_MB, SOCKETS = 32, 256
# A third of 256 descriptors is 85.
CLIENTS = 84
BODY, ANSWER = b"x" * 64_000, b"y" * 60_000
LOAD_S, UPGRADE_AT_S = 14.0, 5.0


async def case(record, trouble):
    discovery = Discovery(record)
    address = await discovery.start()
    servers = [AppServer(f"s{n}", record, work_ms=50.0, answer=ANSWER) for n in range(6)]
    for server in servers:
        discovery.set(server.name, await server.start())
    listener = listening_socket()
    listen = f"{standins.HOST}:{listener.getsockname()[1]}"

    def start(name):
        settings = config(address, memory_mb=MEMORY_MB, sockets=SOCKETS)
        settings.update(listen=listen, admin_addr=f"{standins.HOST}:{free_port()}")
        env = {"BALANCER_INHERITED_FD": str(listener.fileno())}
        node = Node(record, settings, env, name, (listener.fileno(),))
        node.admin = settings["admin_addr"]
        return node

    async def until_yes(node):
        end = now() + 20
        while now() < end:
            answer = await call(node.admin, "/ready")
            if answer and answer.status == 200:
                record(f"{node.name} says yes")
                return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{node.name} never says yes")

    nodes = [start("old process")]
    counts, peak = {}, [0, []]
    try:
        await until_yes(nodes[0])
        end = now() + LOAD_S

        async def client(number):
            host, port = listen.split(":")
            sent = 0
            while now() < end:
                try:
                    reader, writer = await asyncio.open_connection(host, int(port))
                    keep = True
                    while keep and now() < end:
                        sent += 1
                        writer.write(standins.request("cert-request", f"c{number}-{sent}", 1000, BODY))
                        await writer.drain()
                        answer = await standins.read_message(reader)
                        counts[answer.status] = counts.get(answer.status, 0) + 1
                        record(f"c{number}-{sent}: {answer.status}, {len(answer.body)} bytes")
                        keep = answer.headers.get("connection") != "close"
                        await asyncio.sleep(0.6)
                    writer.close()
                except (OSError, asyncio.IncompleteReadError):
                    counts["closed unread"] = counts.get("closed unread", 0) + 1

        async def watch():
            last = 0.0
            while now() < end:
                each = [pss_kib(node.process.pid) for node in nodes if node.process.poll() is None]
                if sum(each) > peak[0]:
                    peak[:] = [sum(each), each]
                if now() - last >= 0.5:
                    last = now()
                    record(f"memory of the node's processes: {sum(each)} KiB {each}")
                await asyncio.sleep(0.05)

        async def upgrade():
            if not trouble:
                return
            await asyncio.sleep(UPGRADE_AT_S)
            nodes.append(start("new process"))
            await until_yes(nodes[1])
            nodes[0].signal(signal.SIGTERM)

        await asyncio.gather(watch(), upgrade(), *[client(n) for n in range(CLIENTS)])
        ended = nodes[-1].process.poll()
    finally:
        for node in nodes:
            node.end()
    ran = sum(len(server.ran) for server in servers)
    record(f"answers by status: {counts}; requests begun by app servers: {ran}")
    if ended is not None:
        record.verdict(f"the {nodes[-1].name} has ended with {ended}: BROKEN")
        return 1
    if counts.get(200, 0) < 500:
        record.verdict("could not run: too little was served")
        return 2
    limit = MEMORY_MB * 1024
    broken = peak[0] > limit
    record.verdict(f"peak {peak[0]} KiB {peak[1]} of {limit} KiB: " + ("BROKEN" if broken else "held"))
    return int(broken)


standins.main(case)
