"""All machines but one lose power at the same moment. The last one is calm and
reaches the store. The operator then sends desired states in quick succession;
each moves a route to another service. Played again with another last machine,
once the others are back, until the rule is broken or the time is up."""

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness-2"))

import harness  # noqa: E402
import wire  # noqa: E402

GATEWAYS = 9
TRIALS = 4
VERSIONS = 12
GAP_S = 0.33
PAUSE_S = 4.5
SERVICES = [f"mostrador-{i}" for i in range(TRIALS * VERSIONS + 1)]
APPLY_S = harness.BOUNDS["configApplyMs"] / 1000
START_READS_S = 3.0
CONTACT_S = harness.BOUNDS["contactMs"] / 1000


async def send_version(deployment, number, acks):
    """Moves the route to the service of that number."""
    acks[number] = await deployment.configure(
        [{"name": "r-1", "prefix": "/orders/", "type": "safe",
          "service": SERVICES[number]}], SERVICES,
    )


async def call(caller, sent_times):
    while True:
        start = time.monotonic()
        request_id, _ = await caller.request("/orders/x")
        sent_times[request_id] = start
        await asyncio.sleep(0.01)


async def resolve(deployment, gateway):
    """Returns the addresses that callers are given."""
    reader, writer = await asyncio.open_connection(
        gateway.ip, deployment.ports["directory"]
    )
    writer.write(wire.make_request(
        "GET", harness.HOST,
        f"/resolve?name={harness.HOST}&region=norte&zone={harness.ZONES[0]}", {}
    ))
    message = await wire.read_message(reader)
    writer.close()
    return json.loads(message.body)["addrs"]


class Trial:
    """The loss of all machines but one, and what the last one does then."""

    def __init__(self, deployment, number, acks):
        self.deployment = deployment
        self.number = number
        self.acks = acks
        self.sent_times = {}
        self.addresses = []
        readers = deployment.store_readers()
        self.last = random.choice(
            [it for it in deployment.gateways if it not in readers]
        )
        deployment.record.add(
            "machines that read the store",
            gateways=[it.number for it in readers], last=self.last.number,
        )

    async def run(self):
        lost = [it for it in self.deployment.gateways if it is not self.last]
        if harness.is_troubled():
            await asyncio.gather(*(it.lose() for it in lost))
            self.deployment.record.add(
                "machines lost", gateways=[it.number for it in lost]
            )
        # Longer than the time after which the rules hold again.
        await asyncio.sleep(CONTACT_S + 1.0)
        calls = asyncio.ensure_future(call(
            harness.Caller(self.deployment, f"c{self.number}", self.last),
            self.sent_times,
        ))
        first = self.number * VERSIONS + 1
        for it in range(first, first + VERSIONS):
            await send_version(self.deployment, it, self.acks)
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(PAUSE_S)
        calls.cancel()
        self.addresses = await resolve(self.deployment, self.last)
        if harness.is_troubled():
            for it in lost:
                await it.restart()

    def delays(self, searchers):
        """Returns how long after the ack of the next version requests were
        sent that ran on a service which only an older version names."""
        result = []
        for it in searchers:
            newer_ack = self.acks.get(SERVICES.index(it.service) + 1)
            if newer_ack is None:
                continue
            result += [
                self.sent_times[request_id] - newer_ack
                for _, request_id in it.runs if request_id in self.sent_times
            ]
        return result


async def play(deployment):
    acks = {}
    await send_version(deployment, 0, acks)
    searchers = [
        await deployment.add_searcher(harness.Searcher(
            deployment.record, f"i-{it}", it, work_s=0.002
        )) for it in SERVICES
    ]
    await deployment.start_gateways()
    for number in range(TRIALS):
        # All machines read the store when they start.
        await asyncio.sleep(START_READS_S)
        trial = Trial(deployment, number, acks)
        await trial.run()
        delays = trial.delays(searchers)
        late = [it for it in delays if it > APPLY_S]
        own = f"{trial.last.ip}:{trial.last.front_port}"
        deployment.record.conclude(
            f"trial {number + 1}: {len(late)} of {len(trial.sent_times)} "
            f"requests were sent later than {APPLY_S:.0f} s after the ack of a "
            f"version and run by a service that only an older version names, "
            f"the last {max(delays):.2f} s after it; of "
            f"{len(trial.addresses)} addresses for callers, "
            f"{trial.addresses.count(own)} are of the machine that answered"
        )
        if late:
            return True
    return False


if __name__ == "__main__":
    harness.play(pathlib.Path(__file__).parent, GATEWAYS, play)
