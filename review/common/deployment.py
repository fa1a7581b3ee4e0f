"""A small deployment on loopback: gateway processes, a store, searchers and
consumers. Each script of review/ plays one case on it."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "tests" / "soak"))
sys.dont_write_bytecode = True

import standins  # noqa: E402  the project's stand-in for the store
import wire  # noqa: E402

PROGRAM = ROOT / "target" / "platform" / "turmericlane-gateway"
LOOPBACK = "127.0.0.1"
HOST = "review.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "contactMs": 4000,
    "drainMs": 3000,
    "graceS": 6,
    "lostMs": 200,
    "configApplyMs": 3000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 54,
    "recoverS": 12,
    "ttl_max_s": 5,
}


class CaseError(Exception):
    """The case could not be played."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, event, **fields):
        at = round(time.monotonic() - self.start, 4)
        self.file.write(json.dumps({"at": at, "event": event, **fields}) + "\n")

    def close(self):
        self.file.close()


class Searcher:
    """A sound searcher: slots, a short queue, rejections that say that the
    request has not run, answers with the id of their request."""

    # One way, as between two zones.
    link_delay_s = 0.0009

    def __init__(self, number, service, record, work_s, slots=3, queue=2):
        self.id = f"i-{number}"
        self.service = service
        self.zone = f"zone-{number % 3}"
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.slot_free = asyncio.Condition()
        self.state = "ready"
        self.serial = 0
        self.born = int(time.time() * 1000)
        self.executions = {}
        self.answers = {}
        self.connections = set()

    async def start(self):
        self.server, self.port = await wire.serve(self.serve, LOOPBACK)

    def entry(self):
        self.serial += 1
        return json.dumps({
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self.serial,
            "born": self.born,
        }).encode()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await wire.read_message(reader)
                self.before_answer(writer)
                await asyncio.sleep(self.link_delay_s)
                response = await self.handle(request, reader)
                if response is None:
                    return
                await asyncio.sleep(self.link_delay_s)
                writer.write(response)
                await writer.drain()
                self.after_answer(response, writer)
        finally:
            self.connections.discard(writer)

    def before_answer(self, writer):
        """Called when a request was read; a faulty searcher may do more."""

    def after_answer(self, response, writer):
        """Called once an answer was sent; a faulty searcher may do more."""

    def rejection(self, status, request_id):
        fields = {"Turmericlane_Not_Executed": "1"}
        if request_id:
            fields["Turmericlane_Request_Id"] = request_id
            fields["Turmericlane_Server_Load"] = self.load()
        self.record.write(
            "rejected", request=request_id, searcher=self.id, status=status
        )
        return wire.make_response(status, Keep_Alive="timeout=8", **fields)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def handle(self, request, reader):
        request_id = request.fields.get(wire.REQUEST_ID, "")
        if not request_id:
            return self.rejection(400, request_id)
        if request.fields.get(wire.EXPECTED_INSTANCE) not in (None, self.id):
            return self.rejection(421, request_id)
        arrival = time.monotonic()
        time_left = int(request.fields.get(wire.DEADLINE, 8000)) / 1000
        if self.running + self.waiting >= self.slots + self.queue:
            return self.rejection(503, request_id)
        self.waiting += 1
        try:
            async with self.slot_free:
                while self.running >= self.slots:
                    await self.slot_free.wait()
        finally:
            self.waiting -= 1
        if reader.at_eof():
            return None
        if time.monotonic() - arrival >= time_left:
            return self.rejection(503, request_id)
        return await self.execute(request_id, reader)

    async def execute(self, request_id, reader):
        self.running += 1
        self.executions.setdefault(request_id, []).append(time.monotonic())
        self.record.write("run", request=request_id, searcher=self.id)
        try:
            end = time.monotonic() + self.draw_work_s()
            while (left := end - time.monotonic()) > 0:
                await asyncio.sleep(min(left, 0.02))
                if reader.at_eof():
                    self.record.write(
                        "dropped", request=request_id, searcher=self.id
                    )
                    return None
        finally:
            self.running -= 1
            async with self.slot_free:
                self.slot_free.notify(1)
        return self.answer(request_id)

    def draw_work_s(self):
        return self.work_s * random.uniform(0.8, 1.2)

    def answer(self, request_id, status=200):
        self.serial += 1
        stamp = f"{self.id}.{request_id}.{self.serial}"
        body = f"{self.service} {self.id} {request_id}".encode() * 4
        self.answers[stamp] = (request_id, status, body)
        return wire.make_response(
            status, body,
            Turmericlane_Request_Id=request_id,
            Turmericlane_Server_Stamp=stamp,
            Turmericlane_Server_Load=self.load(),
            Keep_Alive="timeout=8",
        )


class Gateway:
    """One process of the system with its settings file."""

    def __init__(self, number, deployment):
        self.number = number
        self.deployment = deployment
        self.ip = deployment.ips[number]
        self.process = None
        self.stopped_by_case = False

    def write_settings(self):
        ports = self.deployment.ports
        lines = [
            f"nodeName=frontend-{self.number}",
            "role=gateway",
            "machineClass=frontend",
            "serves=frontend,directory,control_plane",
            f"ip={self.ip}",
            f"zone=zone-{self.number % 3}",
            "region=review",
            f"internalPorts={ports['peer']},{ports['peer'] + 1}",
            "seeds=" + ",".join(
                f"{it}:{ports['control']}" for it in self.deployment.ips[:3]
            ),
            "bootstrap=true",
            "limits.cpuShare=0.25",
            "limits.cpuCores=1",
            "limits.memoryMb=260",
            "limits.maxFds=4100",
            "heartbeatMs=1200",
            f"platform.address={LOOPBACK}:{self.deployment.store.port}",
            "platform.form=read",
            "platform.readsPerS=2000",
            "platform.historyS=20",
        ]
        lines += [f"bounds.{name}={it}" for name, it in BOUNDS.items()]
        for name in ("front", "ready", "control", "directory"):
            lines.append(f"bindAddrs.{name}={self.ip}:{ports[name]}")
        self.path = f"{self.deployment.folder}/{self.number}.conf"
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    async def start(self):
        self.write_settings()
        self.stopped_by_case = False
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TURMERICLANE_CONFIG": self.path,
        }
        with open(f"{self.deployment.folder}/{self.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        try:
            response = await request_once(
                self.ip, self.deployment.ports["ready"], "GET", "/ready", {}
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return response.status == 200


async def request_once(ip, port, method, path, fields, body=b"", limit_s=2.0):
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(wire.make_request(method, HOST, path, fields, body))
            return await wire.read_message(reader)
        finally:
            writer.close()


class Consumer:
    """A consumer: keeps its connection while it may, one request at a time."""

    def __init__(self, name, deployment):
        self.name = name
        self.deployment = deployment
        self.serial = 0
        self.streams = None
        self.results = []

    async def send(self, gateway, method, path, limit_ms, body=b""):
        self.serial += 1
        request_id = f"{self.name}-{self.serial}"
        result = {
            "request": request_id, "path": path, "gateway": gateway.number,
            "sent": time.monotonic(), "status": None, "stamp": "",
            "cut_off": False, "body": b"",
        }
        record = self.deployment.record
        self.results.append(result)
        self.deployment.results.append(result)
        try:
            async with asyncio.timeout(limit_ms / 1000 + 1.0):
                await self.connect(gateway)
                reader, writer = self.streams[1:]
                record.write(
                    "sent", request=request_id, gateway=gateway.number,
                    method=method, path=path,
                )
                writer.write(wire.make_request(method, HOST, path, {
                    "Turmericlane-Request-Id": request_id,
                    "Turmericlane-Deadline-Ms": limit_ms,
                }, body))
                result["sent"] = time.monotonic()
                response = await wire.read_message(reader)
        except (OSError, EOFError) as error:
            result["cut_off"] = True
            result["end"] = time.monotonic()
            record.write("cut_off", request=request_id, why=type(error).__name__)
            self.close()
            return result
        except TimeoutError:
            result["end"] = time.monotonic()
            record.write("gave_up", request=request_id)
            self.close()
            return result
        result["end"] = time.monotonic()
        result["status"] = response.status
        result["stamp"] = response.fields.get(wire.SERVER_STAMP, "")
        result["fields"] = response.fields
        result["body"] = response.body
        record.write(
            "answered", request=request_id, status=response.status,
            stamp=result["stamp"],
        )
        if not response.keep_alive:
            self.close()
        return result

    async def connect(self, gateway):
        if self.streams and (
            self.streams[0] is not gateway or self.streams[1].at_eof()
        ):
            self.close()
        if not self.streams:
            reader, writer = await asyncio.open_connection(
                gateway.ip, self.deployment.ports["front"]
            )
            self.streams = (gateway, reader, writer)

    def close(self):
        if self.streams:
            self.streams[2].close()
        self.streams = None


def free_ports(ips):
    """Returns ports that are free on all addresses."""
    names = ("front", "ready", "control", "directory", "peer")
    chosen = {}
    candidate = random.randrange(20000, 28000)
    for name in names:
        while True:
            candidate += 3
            if candidate > 32000:
                raise CaseError("no free ports")
            if all(is_free(ip, candidate) for ip in ips):
                break
        chosen[name] = candidate
    return chosen


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


class Deployment:
    """The processes and stand-ins of one run."""

    def __init__(self, folder_of_case, gateway_count=3, store=None):
        if not PROGRAM.exists():
            raise CaseError(f"{PROGRAM} is missing; build it first")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.store = store or standins.Store()
        self.searchers = []
        self.results = []
        second, third = random.randrange(1, 127), random.randrange(1, 255)
        self.ips = [
            f"127.{second}.{third}.{i + 1}" for i in range(gateway_count)
        ]
        self.ports = free_ports(self.ips)
        self.gateways = [Gateway(i, self) for i in range(gateway_count)]
        self.version = 0

    def add(self, searcher):
        self.searchers.append(searcher)
        return searcher

    async def publish(self, searcher):
        await self.store.put(f"servers/{searcher.id}", searcher.entry())

    async def publish_configuration(self, routes, services):
        self.version += 3
        await self.store.put("op/config", json.dumps({
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "maxConnections": n, "healthPath": "/health"}
                for name, n in services.items()
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                "headerTimeoutMs": 5000, "idleTimeoutMs": 15000,
            },
        }).encode())

    async def start(self, routes, services):
        await self.store.start(LOOPBACK)
        for it in self.searchers:
            await it.start()
            await self.publish(it)
        await self.publish_configuration(routes, services)
        for it in self.gateways:
            await it.start()
        end = time.monotonic() + 10
        while not all([await it.ready() for it in self.gateways]):
            if time.monotonic() > end:
                raise CaseError("the gateways did not become ready")
            await asyncio.sleep(0.1)
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(10)

    async def stop(self):
        for it in self.gateways:
            it.send_signal(signal.SIGCONT)
            it.send_signal(signal.SIGKILL)
        for it in self.gateways:
            if it.process:
                await it.process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS") == "1":
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def executions(self):
        """Returns the searchers and times of the runs of each request."""
        runs = {}
        for it in self.searchers:
            for request_id, times in it.executions.items():
                runs.setdefault(request_id, []).extend(
                    (when, it.id) for when in times
                )
        return runs


def route(name, service, is_safe, timeout_ms, target_ms, attempts=2, rank=0):
    return {
        "name": name, "hostname": HOST, "prefix": f"/{name}/",
        "type": "safe" if is_safe else "unsafe",
        "timeoutMs": timeout_ms, "targetLatencyMs": target_ms,
        "priority": rank, "maxAttempts": attempts, "service": service,
    }


def run_case(folder, play, limit_s=115, make_store=standins.Store):
    """Plays a case and exits with its result. The coroutine play(deployment)
    returns the list of violations."""

    async def run():
        deployment = Deployment(folder, store=make_store())
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                violations = await play(deployment)
            for it in deployment.gateways:
                code = it.process.returncode
                if code is not None and not it.stopped_by_case:
                    violations.append(f"gateway {it.number} ended with {code}")
            for it in violations:
                deployment.record.write("violation", text=it)
            return violations
        finally:
            loop.set_exception_handler(lambda *_: None)
            await deployment.stop()

    try:
        violations = asyncio.run(run())
    except (CaseError, TimeoutError, asyncio.CancelledError, OSError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    for it in violations[:20]:
        print("violation:", it)
    print("broken" if violations else "held", f"({len(violations)} violations)")
    sys.exit(BROKEN if violations else HELD)
