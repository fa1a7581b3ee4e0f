"""Tests that callers and peers outside of any limit neither end a daemon nor
keep ordinary callers from it. Each test starts one real turmericlaned on
loopback with stand-ins for its outside systems, and lets a crowd send one form
of hostile input. It checks no times and no shares: the process lives, its
memory and descriptors stay under their limits, and an ordinary search is
answered while the crowd is still connected."""

import argparse
import asyncio
import gzip
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import unittest

BUILD = None
ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
HOST = "127.0.0.1"
SERVICE = "allocation_desk"

# The crowd, and the limits of the process. docs/design.md (1.7) gives a node
# 128 MB; the machine of the test has half of that.
CROWD = 200
MEMORY_MB = 64
MAX_DESCRIPTORS = 512
# Of the descriptors, so many are for files and for what the instance itself
# connects to, not for callers and peers.
OWN_DESCRIPTORS = 200
HTTP_THREADS = 32
# What one connection of the crowd sends at most.
MAX_SENT_BYTES = 8 << 20
BODY_BYTES = 65536
# Time after which an ordinary request counts as not answered; nothing else
# depends on it.
HANG_S = 30
TRY_PAUSE_S = 0.2

# A frame header: payload size, version, type (hello), reserved, sequence.
LARGEST_FRAME = (4 << 20).to_bytes(4, "little") + b"\1\1" + bytes(10)
LARGEST_HELLO = (1024).to_bytes(4, "little") + b"\1\1" + bytes(10)


def head(method="GET", path="/v1/status", fields=""):
    return f"{method} {path} HTTP/1.1\r\nHost: a\r\n{fields}".encode()


def search_head(fields):
    return head("POST", "/v1/search", fields)


def repeat(first, block):
    """Yields a first part and then a block without end."""
    yield first
    while True:
        yield block


async def pause():
    await asyncio.sleep(0.5)


def drip(first, rest):
    """Yields a first part and then single bytes with pauses between them."""
    yield first
    for it in rest:
        yield pause
        yield bytes([it])


def nothing():
    return iter(())


CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
WITH_LENGTH = f"Content-Length: {BODY_BYTES}\r\n\r\n"
# 64 MB of spaces in less than 64 KB.
PACKED_BODY = gzip.compress(b" " * (60 << 20))
assert len(PACKED_BODY) < BODY_BYTES

CALLER_FORMS = {
    "heads that never end": lambda: iter((head("GET", "/v1/status", "x: y"),)),
    "fields without end": lambda: repeat(head(), b"a:\r\n" * 2048),
    "one field without end": lambda: repeat(head(fields="x: "), b"y" * 8192),
    "empty lines": lambda: repeat(b"", b"\r\n" * 4096),
    "a target without end": lambda: repeat(b"GET /", b"t" * 8192),
    "bodies that never end": lambda: iter(
        (search_head(WITH_LENGTH), b" " * (BODY_BYTES - 1))
    ),
    "bodies over the limit": lambda: repeat(
        search_head("Content-Length: 1000000000000\r\n\r\n"), b" " * 8192
    ),
    "chunked bodies without end": lambda: repeat(
        search_head(CHUNKED), b"2000\r\n" + b" " * 8192 + b"\r\n"
    ),
    "chunks of one byte": lambda: repeat(
        search_head(CHUNKED), b"1\r\n \r\n" * 1365
    ),
    "a chunk head without end": lambda: repeat(
        search_head(CHUNKED) + b"1;", b"e" * 8192
    ),
    "trailers": lambda: repeat(
        search_head(CHUNKED) + b"0\r\n", b"t: 1\r\n" * 1365
    ),
    "packed bodies": lambda: iter(
        (
            search_head(
                "Content-Encoding: gzip\r\n"
                f"Content-Length: {len(PACKED_BODY)}\r\n\r\n"
            ),
            PACKED_BODY,
        )
    ),
    "pipelined requests": lambda: repeat(b"", (head() + b"\r\n") * 64),
    "heads that drip": lambda: drip(head(), b"slow: value\r\n" * 150),
    "bodies that drip": lambda: drip(search_head(WITH_LENGTH), b" " * 2000),
}

PEER_FORMS = {
    "frames of the largest length": lambda: repeat(LARGEST_FRAME, bytes(8192)),
    "hellos that never end": lambda: iter((LARGEST_HELLO, bytes(1000))),
    "hellos that drip": lambda: drip(LARGEST_HELLO[:1], LARGEST_HELLO[1:]),
}


class Crowd:
    """Connections that send one form of input, and stay open until closed."""

    def __init__(self, port, make_parts, size=CROWD):
        self.port = port
        self.make_parts = make_parts
        self.size = size
        self.writers = []
        self.tasks = []

    async def run(self):
        """Returns when each connection has sent its input or waits."""
        self.tasks = [asyncio.create_task(self.send()) for _ in range(self.size)]
        await asyncio.wait(self.tasks, timeout=8)

    async def send(self):
        try:
            # Reading stops at a few bytes, as nobody takes them.
            _, writer = await asyncio.open_connection(
                HOST, self.port, limit=1024
            )
        except OSError:
            return
        self.writers.append(writer)
        sent_bytes = 0
        try:
            for part in self.make_parts():
                if part is pause:
                    await pause()
                    continue
                writer.write(part)
                # An instance that reads no further blocks the connection, which
                # is one of the permitted outcomes.
                async with asyncio.timeout(15):
                    await writer.drain()
                sent_bytes += len(part)
                if sent_bytes >= MAX_SENT_BYTES:
                    return
                await asyncio.sleep(0)
        except (OSError, TimeoutError):
            pass

    async def close(self):
        for it in self.tasks:
            it.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for it in self.writers:
            it.transport.abort()


def find_free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((HOST, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


async def request(port, method, path, body=b""):
    """Sends one request. Returns its status and body, or None if the connection
    ended without an answer."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        answer = await reader.read()
        answer_head, _, answer_body = answer.partition(b"\r\n\r\n")
        return int(answer_head.split()[1]), answer_body
    except (OSError, EOFError, IndexError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


class Daemon:
    """A daemon process with stand-ins for its outside systems."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        (self.http_port, self.peer_port, self.config_port, self.list_port,
         self.control_port, *self.searcher_ports) = find_free_ports(8)

    def make_bundle(self):
        with open(f"{ROOT}/examples/jamaica.json") as file:
            bundle = json.load(file)
        service = next(it for it in bundle["services"] if it["name"] == SERVICE)
        service["groups"] = service["groups"][:1]
        for it, port in zip(service["groups"][0]["searchers"],
                            self.searcher_ports):
            it["port"] = port
        bundle.update(version=1, max_instances=1, owner_candidates=1,
                      services=[service])
        bundle["ordinal_data_centres"] = bundle["ordinal_data_centres"][:1]
        return bundle

    async def start_process(self, *arguments, **options):
        with open(f"{self.folder}/log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *arguments, stdout=log, stderr=log, **options
            )
        self.processes.append(process)
        return process

    def run_client(self, *arguments):
        subprocess.run(
            [f"{BUILD}/apps/turmericlane", *arguments], check=True,
            stdout=subprocess.DEVNULL, cwd=self.folder,
        )

    async def start(self):
        with open(f"{self.folder}/bundle.json", "w") as file:
            json.dump(self.make_bundle(), file)
        with open(f"{self.folder}/peer.key", "w") as file:
            os.fchmod(file.fileno(), 0o600)
            file.write(os.urandom(32).hex() + "\n")
        self.run_client("bundle", "keygen", "operator.key")
        self.run_client(
            "bundle", "sign", "--signing-key-file=operator.key",
            "--output=envelope.json", "bundle.json",
        )
        await self.start_standins()
        limit = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        self.process = await self.start_process(
            f"{BUILD}/apps/turmericlaned", "--address", HOST,
            "--http-port", str(self.http_port),
            "--peer-port", str(self.peer_port),
            "--data-centre", "kingston", "--ordinal", "0",
            "--config-service", f"{HOST}:{self.config_port}",
            "--instance-list", f"{HOST}:{self.list_port}",
            "--trusted-key", f"{self.folder}/operator.key.pub",
            "--peer-key-file", f"{self.folder}/peer.key",
            "--http-threads", str(HTTP_THREADS),
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, limit
            ),
        )
        await self.ask_until_answered()

    async def start_standins(self):
        program = f"{BUILD}/tests/standins/turmericlane_standins"
        await self.start_process(
            program, "backends", "--bundle", f"{self.folder}/bundle.json",
            "--control-port", str(self.control_port), "--seed", "1",
        )
        await self.start_process(
            program, "config", "--port", str(self.config_port)
        )
        await self.start_process(
            program, "list", "--port", str(self.list_port)
        )
        with open(f"{self.folder}/envelope.json", "rb") as file:
            envelope = file.read()
        instances = json.dumps([{
            "address": HOST, "peer_port": self.peer_port,
            "http_port": self.http_port, "data_centre": "kingston",
            "ordinal": 0, "state": "live",
        }]).encode()
        await self.put_until_done(
            self.config_port, "/control/bundle", envelope
        )
        await self.put_until_done(
            self.list_port, "/control/instances", instances
        )

    @staticmethod
    async def put_until_done(port, path, body):
        async with asyncio.timeout(HANG_S):
            while not await request(port, "PUT", path, body):
                await asyncio.sleep(TRY_PAUSE_S)

    async def ask_until_answered(self):
        """Tries again after a refusal or a closed connection, as callers do."""
        body = json.dumps({
            "request_id": "ordinary", "services": [SERVICE], "query": "hut",
        }).encode()
        answers = []
        try:
            async with asyncio.timeout(HANG_S):
                while True:
                    answers.append(
                        await request(
                            self.http_port, "POST", "/v1/search", body
                        )
                    )
                    if answers[-1] and answers[-1][0] == 200:
                        return
                    await asyncio.sleep(TRY_PAUSE_S)
        except TimeoutError:
            pass
        with open(f"{self.folder}/log", errors="replace") as log:
            lines = log.readlines()[-10:]
        raise AssertionError(
            f"no answer to an ordinary search in {HANG_S} s: {answers[-3:]}, "
            f"process {self.process.returncode}, log: {lines}"
        )

    def peak_memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024 / 1e6
        raise AssertionError("the process has ended")

    def socket_count(self):
        folder = f"/proc/{self.process.pid}/fd"
        links = []
        for it in os.listdir(folder):
            try:
                links.append(os.readlink(f"{folder}/{it}"))
            except FileNotFoundError:
                pass
        return sum(it.startswith("socket:") for it in links)

    async def stop(self):
        for it in self.processes:
            if it.returncode is None:
                it.kill()
            await it.wait()


class HostileDaemonTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.daemon = Daemon(folder.name)
        self.addAsyncCleanup(self.daemon.stop)
        await self.daemon.start()

    async def check(self, crowd):
        self.addAsyncCleanup(crowd.close)
        await crowd.run()
        self.assertIsNone(self.daemon.process.returncode)
        sockets = self.daemon.socket_count()
        peak_mb = self.daemon.peak_memory_mb()
        print(f"{self.id().split('.')[-1]}: peak {peak_mb:.1f} MB, "
              f"{sockets} sockets", flush=True)
        await self.daemon.ask_until_answered()
        self.assertIsNone(self.daemon.process.returncode)
        peak_mb = self.daemon.peak_memory_mb()
        self.assertLessEqual(peak_mb, MEMORY_MB)
        self.assertLessEqual(sockets, MAX_DESCRIPTORS - OWN_DESCRIPTORS)

    async def test_callers_without_a_byte(self):
        await self.check(
            Crowd(self.daemon.http_port, nothing, MAX_DESCRIPTORS + 100)
        )

    async def test_peers_without_a_byte(self):
        await self.check(
            Crowd(self.daemon.peer_port, nothing, MAX_DESCRIPTORS + 100)
        )


def add_form_test(port_name, name, make_parts):
    async def test(self):
        await self.check(Crowd(getattr(self.daemon, port_name), make_parts))

    prefix = "callers" if port_name == "http_port" else "peers"
    test.__name__ = f"test_{prefix}_{name.replace(' ', '_')}"
    setattr(HostileDaemonTest, test.__name__, test)


for form_name, form_parts in CALLER_FORMS.items():
    add_form_test("http_port", form_name, form_parts)
for form_name, form_parts in PEER_FORMS.items():
    add_form_test("peer_port", form_name, form_parts)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True, help="the build folder")
    options, other_arguments = parser.parse_known_args()
    BUILD = os.path.abspath(options.build)
    unittest.main(argv=[sys.argv[0], *other_arguments])
