"""Orders (an unsafe route) on a service of three searchers that are at times
full. With TROUBLE, some answers of two searchers are followed by a late copy."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment as review  # noqa: E402

# As on the pages: services of three searchers with three slots and 31
# connections each.
SERVICES = 15
SEARCHERS = 3
SLOTS = 3
QUEUE = 3
CONNECTIONS = 31
WORK_S = 0.012
# The disruption garble, variants extra and late, as the site file names it.
SHARE_OF_SEARCHERS = 0.5
SHARE_OF_ANSWERS = 0.04
LENGTH_S = 5.0
PAUSE_S = 0.2
TRAFFIC_S = 92.0
# Orders come in groups, when a window for bookings opens.
GROUP_SIZE = 22
GROUP_INTERVAL_S = (0.9, 1.3)
PROMISES = (408, 421, 429, 503)


class CopyingSearcher(review.Searcher):
    """Sends a second copy of some answers late, at the point where the next
    answer on the connection is expected."""

    is_faulty = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.copies = {}

    def after_answer(self, response, writer):
        if self.is_faulty and random.random() < SHARE_OF_ANSWERS:
            self.copies[writer] = response

    def before_answer(self, writer):
        copy = self.copies.pop(writer, None)
        if copy is None:
            return
        head = copy.decode("latin-1").split("\r\n")
        self.record.write("copy", searcher=self.id, head=head[0], fields=[
            it for it in head if it.lower().startswith("turmericlane-request")
        ])
        writer.write(copy)


async def disturb(deployment, end):
    if not review.has_trouble():
        return
    count = int(SHARE_OF_SEARCHERS * len(deployment.searchers))
    while time.monotonic() + LENGTH_S < end:
        faulty = random.sample(deployment.searchers, count)
        for it in faulty:
            it.is_faulty = True
        await asyncio.sleep(LENGTH_S)
        for it in faulty:
            it.is_faulty = False
        await asyncio.sleep(PAUSE_S)


async def send_order(deployment, number, consumer, idle_consumers):
    await consumer.send(
        random.choice(deployment.gateways), "POST", f"/order-{number}/2f",
        2000, b"one pitch",
    )
    idle_consumers.append(consumer)


async def send_orders(deployment, number, end):
    idle_consumers = []
    count = 0
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end:
            await asyncio.sleep(random.uniform(*GROUP_INTERVAL_S))
            while len(idle_consumers) < GROUP_SIZE:
                count += 1
                idle_consumers.append(
                    review.Consumer(f"c{number}.{count}", deployment)
                )
            for _ in range(GROUP_SIZE):
                group.create_task(send_order(
                    deployment, number, idle_consumers.pop(0), idle_consumers
                ))


async def play(deployment):
    routes = []
    for number in range(SERVICES):
        service = f"ledger-{number}"
        routes.append(review.route(
            f"order-{number}", service, False, 2000, 300, rank=1
        ))
        for i in range(SEARCHERS):
            deployment.add(CopyingSearcher(
                number * SEARCHERS + i, service, deployment.record,
                work_s=WORK_S, slots=SLOTS, queue=QUEUE,
            ))
    await deployment.start(
        routes, {it["service"]: CONNECTIONS for it in routes}
    )
    end = time.monotonic() + TRAFFIC_S
    await asyncio.gather(
        disturb(deployment, end),
        *(send_orders(deployment, i, end) for i in range(SERVICES)),
    )
    await asyncio.sleep(1.0)
    return check(deployment)


def check(deployment):
    runs = deployment.executions()
    violations = []
    statuses = {}
    for it in deployment.results:
        request_id, status = it["request"], it["status"]
        statuses[status] = statuses.get(status, 0) + 1
        times = sorted(runs.get(request_id, []))
        if len(times) > 1:
            violations.append(
                f"TWICE: {request_id} ran {len(times)} times, answered {status}"
            )
        if status in PROMISES and times:
            violations.append(
                f"REFUSED: {request_id} was answered {status} and ran at "
                f"{times[0][1]}, {times[0][0] - it['end']:+.3f} s"
            )
    print("answers:", statuses)
    return violations


review.run_case(str(FOLDER), play)
