"""Stand-ins for clients, app servers and discovery, written from the protocol page, and the start of the node.

Everything runs in one asyncio loop on loopback addresses with free ports.
"""
import asyncio
import fcntl
import json
import os
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import termios
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:9.3f} s  {text}\n")

    def verdict(self, text):
        self(text)
        self.file.flush()
        print(text)


def free_port():
    import socket
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


def settings(node=0, nodes=1, **limits):
    """The settings of the site, as the wire page has them."""
    return {
        "Classes": [
            {"Deadline": 600.0, "DedupScope": "all", "Idempotency": "pure", "LateValue": 0.0, "MemorySpan": 5000.0,
             "Name": "lot-lookup", "Slo": 300.0, "Stream": False, "Value": 3.0},
            {"Deadline": 1000.0, "DedupScope": "all", "Idempotency": "token", "LateValue": 0.0, "MemorySpan": 5000.0,
             "Name": "cert-request", "Slo": 300.0, "Stream": False, "Value": 2.0}],
        "Clients": {"MarksRetry": True},
        "Contract": {"AnswerSlack": 20.0, "AskWithin": 10000.0, "ColdShare": 0.31, "DrainGrace": 300.0,
                     "Fall": 1500.0, "FallMultiple": 3.0, "WarmWithin": 8500.0},
        "CountedBy": "work", "Customers": [], "Discovery": "automatic", "Family": "proxy",
        "Fees": {"Connection": 0.0, "CrossZone": 0.0081, "Discovery": 0.0, "Handshake": 0.032, "LateFail": 0.03,
                 "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.0, "Waste": 0.036},
        "Goal": {"Whole": 0.55, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.15},
        "Limits": {"AttemptsCap": 5, "Cancel": True, "ConnectTimeout": 150.0, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 500000, "Keepalive": 15000.0, "MaxRetryAfter": 500.0, "MayDuplicate": True,
                   "Multiplex": 1, "OpenCap": 20000, "Peers": False, "Probes": False, "RetryAfter": True, **limits},
        "Me": node, "MyZone": "quilicura", "OverShareWorth": 0.1, "PeersTotal": nodes, "Shapes": ["std-2c"],
        "Specifics": {"WarmKeys": False}, "Stage": 0, "Stages": ["cert-web"],
        "Stats": {"Fields": [], "Via": "silent"}, "Tick": 5.0, "Weights": "silent",
        "Zones": ["maipu", "providencia", "quilicura"]}


class HttpMessage:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """One message, framed by Content-Length or chunks."""
    first, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return HttpMessage(first, headers, body)


class Discovery:
    """The agent: the whole list, and a watch with changes and an empty line each 2 s."""

    def __init__(self, record):
        self.record, self.seq, self.hosts, self.changes = record, 40, {}, []
        self.watchers, self.server, self.writers = set(), None, set()

    def set(self, host, dial, health="active", born_ms=0, zone="quilicura"):
        self.hosts[host] = {"host": host, "dial": dial, "site": zone, "class": "std-2c", "block": 1,
                            "health": health, "share": 1.0, "born_ms": born_ms}

    def whole(self):
        hosts = [h for h in self.hosts.values() if h["health"] != "left"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{HOST}:{self.port}"

    def change(self, host, **fields):
        """A change of one entry, told to all watches at once."""
        self.seq += 1
        self.hosts[host].update(fields)
        line = {"seq": self.seq, "whole": False, "hosts": [dict(self.hosts[host])]}
        self.changes.append(line)
        self.record(f"discovery tells {json.dumps(line)}")
        for queue in self.watchers:
            queue.put_nowait(line)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, _ = await read_head(reader)
                path = first.split(" ")[1]
                if "watch=1" not in path:
                    body = json.dumps(self.whole()).encode()
                    self.record(f"discovery answers {path} with seq {self.seq}, whole")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                 % len(body) + body)
                    await writer.drain()
                    continue
                known = int(path.split("from=")[1].split("&")[0])
                queue = asyncio.Queue()
                if any(c["seq"] == known + 1 for c in self.changes) and known < self.seq:
                    for change in [c for c in self.changes if c["seq"] > known]:
                        queue.put_nowait(change)
                elif known != self.seq:
                    queue.put_nowait(self.whole())
                self.watchers.add(queue)
                self.record(f"discovery answers {path}, at seq {self.seq}")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                try:
                    while True:
                        try:
                            line = json.dumps(await asyncio.wait_for(queue.get(), 2)).encode() + b"\n"
                        except asyncio.TimeoutError:
                            line = b"\n"
                        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                        await writer.drain()
                finally:
                    self.watchers.discard(queue)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends the service: its connections are closed and new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class AppServer:
    """Answers each request after some work; records what ran."""

    def __init__(self, name, record, work_ms=20.0, answer=b"ok"):
        self.name, self.record, self.work, self.answer = name, record, work_ms / 1000.0, answer
        self.ran, self.writers = [], set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{HOST}:{self.port}"

    def die(self):
        """The process dies: its connections are reset and new ones are refused."""
        self.record(f"app server {self.name} dies")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                await self.handle(message, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, writer):
        txn = message.headers.get("x-txn")
        if txn is None:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        self.ran.append((now(), txn))
        self.record(f"app server {self.name} begins {txn}, {len(message.body)} bytes of body")
        await asyncio.sleep(self.work)
        body = self.answer
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()


class Node:
    """The program that the deploy file's `run` starts."""

    def __init__(self, record, config, env=None, name="node", pass_fds=()):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.path = os.path.join(self.folder, "config.json")
        self.write(config)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        environment.update({"BALANCER_CONFIG": self.path, "TMPDIR": self.folder, **(env or {})})
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log, pass_fds=pass_fds)
        self.address = config["listen"]
        record(f"{name} is started, process {self.process.pid}")

    def write(self, config):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(self.path + ".new", self.path)

    def signal(self, sig):
        self.record(f"{sig.name} to {self.name}")
        self.process.send_signal(sig)

    async def ready(self, seconds=20):
        host, port = self.address.split(":")
        end = now() + seconds
        while now() < end:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                if answer.status == 200:
                    self.record(f"{self.name} is ready")
                    return True
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        return False

    def log_text(self):
        self.log.flush()
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(discovery, known=None, memory_mb=48, sockets=384, node=0, nodes=1, **limits):
    return {"name": f"n{node}", "listen": f"{HOST}:{free_port()}", "discovery": discovery,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known, "settings": settings(node, nodes, **limits)}


def request(kind, txn, remaining_ms, body=None, key=None):
    head = (f"{'GET' if body is None else 'POST'} /{kind}/7 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\n"
            f"X-Remaining-Ms: {remaining_ms}\r\n")
    if body is not None:
        head += f"Idempotency-Key: {key or txn}\r\nContent-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + (body or b"")


def listening_socket():
    """A socket that the platform holds and every process of the node inherits."""
    import socket
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(1024)
    return listener


async def call(address, path, method="GET", seconds=1.0):
    """One call to an address; returns the answer, or None."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), seconds)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        answer = await asyncio.wait_for(read_message(reader), seconds)
        writer.close()
        return answer
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


async def timed_request(address, txn, remaining_ms, body, watched_s, record):
    """Sends one request on a new connection. Returns its status, or None, and for how long its answer took from when the
    node's machine had acknowledged its last byte; None if that never was."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    # drain() returns once the kernel has the last byte.
    writer.transport.set_write_buffer_limits(high=0)
    writer.write(request("cert-request", txn, remaining_ms, body))
    await writer.drain()
    written, taken = now(), None
    record(f"{txn}: sent, {len(body)} bytes of body, {remaining_ms} ms")
    fd = writer.get_extra_info("socket").fileno()
    answer = asyncio.ensure_future(read_message(reader))
    while not answer.done() and now() < written + watched_s:
        if taken is None and struct.unpack("i", fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4)))[0] == 0:
            taken = now()
            record(f"{txn}: the node's machine has its last byte, {1000 * (taken - written):.0f} ms after it was written")
        await asyncio.wait([answer], timeout=0.005 if taken is None else 0.1)
    ended, status = now(), None
    if answer.done():
        try:
            status = answer.result().status
        except (OSError, asyncio.IncompleteReadError) as error:
            record(f"{txn}: {error!r}")
    else:
        answer.cancel()
    # An answer may be there before the client looks: then it was in time.
    took = ended - (taken if taken is not None else written) if taken is not None or status else None
    record(f"{txn}: " + ("no answer" if status is None else f"status {status}")
           + ("" if took is None else f", {took:.3f} s after its last byte was there"))
    writer.close()
    return status, took


def pss_kib(pid):
    """What a process holds of memory, with pages that it shares counted in part; 0 once it has ended."""
    try:
        with open(f"/proc/{pid}/smaps_rollup", encoding="ascii") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("Pss:"))
    except (OSError, StopIteration):
        return 0


def main(case):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    # The finally blocks of a case end what it has started, also if the script is told to end.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        record = Record(os.path.dirname(os.path.abspath(sys.argv[0])))
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record(f"the disruption is {'on' if trouble else 'off'}")
        code = asyncio.run(asyncio.wait_for(case(record, trouble), 105))
    except (Exception, KeyboardInterrupt) as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
