"""Users of two kinds come at once to each of many services, first to one and
then to the next. A searcher runs what it has room for, rejects the rest, and
asks for a pause by Retry-After, as it may. Half of these searchers lose the
answers of some requests that they have run."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness-2"))

import harness  # noqa: E402
import wire  # noqa: E402

GATEWAYS = 5
# Services of one searcher each, to which users come, and one of sound
# searchers, which callers use all the time.
BUSY_SERVICES = [f"patronario-{i}" for i in range(40)]
CALM_SERVICE = "envios"
CALM_SEARCHERS = 16
CALM_CALLERS = 10
WORK_S = 0.06
RETRY_AFTER_S = 0.5
# Users of a service who come to each gateway within some milliseconds: delay,
# kind of request, time limit and how many.
USERS = (
    (0.00, "urgent", 0.5, 2),
    (0.02, "long", 6.0, 1),
    (0.04, "urgent", 0.5, 1),
)
# A gateway delays first requests on new connections for its first 12 s.
SETTLED_S = 13.0
USERS_START_S = SETTLED_S + 1.0
# The dose of the site file: half of the searchers lose, by reset, the answers
# of 0.4 of the requests that they run, for 4 s.
LOSS_S = 4.0
LOST_SHARE = 0.4
LOAD_S = USERS_START_S + LOSS_S + 5.0
# Rule LOST: a machine, more than three times.
ALLOWED_LOSSES = 3


class BusySearcher(harness.Searcher):
    """Adds Retry-After to its rejections, and may lose answers."""

    QUEUE = 12
    loss_times = (0.0, 0.0)
    lost = 0

    async def answer(self, message, writer):
        if self.active < self.slots + self.QUEUE:
            return await super().answer(message, writer)
        request_id = message.fields.get(wire.REQUEST_ID, "")
        self.record.add("rejected", searcher=self.id, id=request_id)
        writer.write(wire.make_response(
            503, Turmericlane_Not_Executed="1",
            Turmericlane_Request_Id=request_id, Retry_After=RETRY_AFTER_S,
        ))
        return True

    async def respond(self, request_id, writer):
        start, end = self.loss_times
        is_due = start <= time.monotonic() < end
        if not is_due or random.random() >= LOST_SHARE:
            return await super().respond(request_id, writer)
        self.lost += 1
        self.record.add("answer lost", searcher=self.id, id=request_id)
        harness.reset(writer)
        return False


async def come_once(caller, time_s, path, limit_s):
    await asyncio.sleep(time_s - time.monotonic())
    await caller.request(path, limit_s=limit_s)
    caller.close()


async def call(caller, end_time):
    while time.monotonic() < end_time:
        await asyncio.sleep(random.uniform(0.01, 0.05))
        await caller.request(f"/{CALM_SERVICE}/x")


def make_routes():
    routes = [{"name": "r-calm", "prefix": f"/{CALM_SERVICE}/", "type": "safe",
               "service": CALM_SERVICE}]
    for it in BUSY_SERVICES:
        routes += [
            {"name": f"r-{it}-long", "prefix": f"/long/{it}/", "type": "safe",
             "service": it, "timeoutMs": 6000, "targetLatencyMs": 800},
            {"name": f"r-{it}-urgent", "prefix": f"/urgent/{it}/",
             "type": "safe", "service": it, "timeoutMs": 500,
             "targetLatencyMs": 100},
        ]
    return routes


def make_users(deployment, start):
    """Returns the visits of all users, service after service."""
    visits = []
    for n, service in enumerate(BUSY_SERVICES):
        arrival = start + USERS_START_S + LOSS_S * n / len(BUSY_SERVICES)
        for delay_s, kind, limit_s, count in USERS:
            for i in range(count):
                for gateway in deployment.gateways:
                    name = f"{kind}-{n}-{gateway.number}-{delay_s}-{i}"
                    visits.append(come_once(
                        harness.Caller(deployment, name, gateway),
                        arrival + delay_s, f"/{kind}/{service}/x", limit_s,
                    ))
    return visits


async def play(deployment):
    record = deployment.record
    await deployment.configure(make_routes(), [CALM_SERVICE, *BUSY_SERVICES])
    busy = [
        await deployment.add_searcher(BusySearcher(
            record, f"i-{it}", it, harness.ZONES[i % len(harness.ZONES)],
            work_s=WORK_S,
        )) for i, it in enumerate(BUSY_SERVICES)
    ]
    calm = [
        await deployment.add_searcher(harness.Searcher(
            record, f"i-{CALM_SERVICE}-{i}", CALM_SERVICE,
            harness.ZONES[i % len(harness.ZONES)], work_s=WORK_S,
        )) for i in range(CALM_SEARCHERS)
    ]
    await deployment.start_gateways()
    start = time.monotonic()
    if harness.is_troubled():
        loss_start = start + USERS_START_S
        for it in random.sample(busy, len(busy) // 2):
            it.loss_times = (loss_start, loss_start + LOSS_S)
    callers = [
        harness.Caller(deployment, f"calm{gateway.number}-{i}", gateway)
        for gateway in deployment.gateways for i in range(CALM_CALLERS)
    ]
    await asyncio.gather(
        *(call(it, start + LOAD_S) for it in callers),
        *make_users(deployment, start),
    )
    run_by_sound = {request_id for it in calm for _, request_id in it.runs}
    for it in callers:
        it.losses = [loss for loss in it.losses if loss in run_by_sound]
    most_losses = harness.most_losses_of_a_machine(callers)
    ends = [len(it.own_ends) for it in deployment.gateways]
    record.conclude(
        f"{sum(it.lost for it in busy)} answers lost; ends of their own by "
        f"gateway: {ends}; requests on kept connections passed on to sound "
        f"searchers and closed without an answer: at most {most_losses} of one "
        f"machine"
    )
    return most_losses > ALLOWED_LOSSES


if __name__ == "__main__":
    harness.play(pathlib.Path(__file__).parent, GATEWAYS, play)
