"""Machines are stopped and started in turn while consumers send archive
queries that take about two seconds of their eight."""

import asyncio
import json
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment as review  # noqa: E402

SEARCHERS = 30
SLOTS = 7
WORK_S = 1.8
TIME_LIMIT_MS = 8000
TRAFFIC_S = 45.0
REQUESTS_PER_S = 80
CONSUMERS = 320
# Some consumers keep an answer to /resolve three times as long as it says.
PATIENT_SHARE = 0.1
# A request that was sent later after SIGTERM has no excuse for being cut.
EXCUSED_S = 3.0


class ResolvingConsumer(review.Consumer):
    """Asks where to connect, as the pages say."""

    def __init__(self, name, deployment):
        super().__init__(name, deployment)
        self.addresses = []
        self.valid_until = 0.0
        self.patience = 3.0 if random.random() < PATIENT_SHARE else 1.0

    async def resolve(self):
        if self.addresses and time.monotonic() < self.valid_until:
            return
        nodes = random.sample(
            self.deployment.gateways, len(self.deployment.gateways)
        )
        for it in nodes:
            try:
                response = await review.request_once(
                    it.ip, self.deployment.ports["directory"], "GET",
                    f"/resolve?name={review.HOST}&region=review&zone=zone-0",
                    {}, limit_s=1.0,
                )
                answer = json.loads(response.body)
                lifetime = min(answer["ttl_s"], review.BOUNDS["ttl_max_s"])
            except (OSError, EOFError, TimeoutError, ValueError, KeyError):
                continue
            self.addresses = answer["addrs"]
            self.valid_until = time.monotonic() + lifetime * self.patience
            if self.streams and self.streams[0].front not in self.addresses:
                self.close()
            return

    async def send_archive_query(self):
        await self.resolve()
        by_address = {it.front: it for it in self.deployment.gateways}
        gateway = self.streams[0] if self.streams else by_address[
            random.choice(self.addresses)
        ]
        result = await self.send(
            gateway, "GET", "/archive/2f", TIME_LIMIT_MS
        )
        if result["cut_off"] and gateway.front in self.addresses:
            self.addresses = [
                it for it in self.addresses if it != gateway.front
            ]
        result["process"] = gateway.boot


async def query(consumer, end):
    while time.monotonic() < end:
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S / CONSUMERS))
        await consumer.send_archive_query()


async def roll(deployment, terms):
    """Stops each machine with SIGTERM, with SIGKILL after graceS, and starts
    it again."""
    if not review.has_trouble():
        return
    await asyncio.sleep(4.0)
    for it in deployment.gateways:
        it.stopped_by_case = True
        terms[it.number, it.boot] = time.monotonic()
        deployment.record.write("sigterm", gateway=it.number)
        it.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(review.BOUNDS["graceS"]):
                await it.process.wait()
        except TimeoutError:
            it.send_signal(signal.SIGKILL)
            await it.process.wait()
        deployment.record.write(
            "ended", gateway=it.number, code=it.process.returncode
        )
        await asyncio.sleep(0.3)
        it.boot += 1
        await it.start()
        await asyncio.sleep(5.0)


async def play(deployment):
    for it in deployment.gateways:
        it.boot = 0
        it.front = f"{it.ip}:{deployment.ports['front']}"
    for i in range(SEARCHERS):
        deployment.add(review.Searcher(
            i, "archive", deployment.record, work_s=WORK_S, slots=SLOTS,
            queue=12
        ))
    await deployment.start(
        [review.route("archive", "archive", True, TIME_LIMIT_MS, 4000, rank=2)],
        {"archive": 195},
    )
    end = time.monotonic() + TRAFFIC_S
    consumers = [
        ResolvingConsumer(f"c{i}", deployment) for i in range(CONSUMERS)
    ]
    terms = {}
    await asyncio.gather(
        roll(deployment, terms), *(query(it, end) for it in consumers)
    )
    return check(deployment, terms)


def check(deployment, terms):
    runs = deployment.executions()
    grace_s = review.BOUNDS["graceS"]
    violations = []
    statuses = {}
    excused = 0
    for it in deployment.results:
        key = "cut off" if it["cut_off"] else it["status"]
        statuses[key] = statuses.get(key, 0) + 1
        was_passed_on = it["request"] in runs
        has_ended_unanswered = it["cut_off"] or it["status"] is None
        if not was_passed_on or not has_ended_unanswered:
            continue
        term = terms.get((it["gateway"], it.get("process")))
        duration_s = it["end"] - it["sent"]
        if duration_s * 1000 >= TIME_LIMIT_MS:
            continue
        if term is not None:
            if it["end"] > term + grace_s + 1:
                continue
            if it["sent"] <= term + EXCUSED_S:
                excused += 1
                continue
            violations.append(
                f"LOST: {it['request']} was sent {it['sent'] - term:.2f} s "
                f"after SIGTERM, passed on to {runs[it['request']][0][1]}, and "
                f"its connection ended {it['end'] - term:.2f} s after SIGTERM "
                f"without an answer, {duration_s:.2f} s after it was sent"
            )
        else:
            violations.append(f"LOST: {it['request']} without a SIGTERM")
    print("answers:", statuses, "excused:", excused)
    return violations


review.run_case(str(FOLDER), play)
