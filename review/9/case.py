"""The store cuts watches that wait. A searcher that never reports draining
leaves: its entry is removed, it serves for drainMs and a while longer, and
ends."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness-2"))

import harness  # noqa: E402
import standins  # noqa: E402

SERVICE = "patronario"
GATEWAYS = 3
CALLERS = 6
SEARCHERS = 8
WORK_S = 0.06
# A watch that has waited this long without an event is cut.
CUT_S = 1.0
LEAVE_S = 3.0
# The searcher goes on serving for drainMs and this much longer.
LONGER_S = 2.0
LOAD_S = 12.0
DRAIN_S = harness.BOUNDS["drainMs"] / 1000
ROUTES = [
    {"name": "r-1", "prefix": "/orders/", "type": "unsafe", "service": SERVICE}
]


class CuttingStore(standins.Store):
    """Closes the connection of a watch that waits for long."""

    async def make_watch_answer(self, query):
        if not harness.is_troubled():
            return await super().make_watch_answer(query)
        try:
            async with asyncio.timeout(CUT_S):
                return await super().make_watch_answer(query)
        except TimeoutError:
            raise ConnectionResetError from None


async def order(caller, end_time, failures):
    while time.monotonic() < end_time:
        request_id, answer = await caller.request(
            "/orders/x", "POST", b"o" * 100, limit_s=2.0
        )
        if answer is None or answer.status != 200:
            failures.append((request_id, answer and answer.status))
        await asyncio.sleep(random.uniform(0.01, 0.05))


async def leave(deployment, searcher):
    """Returns the time of the store's ack."""
    await asyncio.sleep(LEAVE_S)
    await deployment.store.put(f"servers/{searcher.id}", None)
    ack = time.monotonic()
    deployment.record.add("entry removed", searcher=searcher.id)
    await asyncio.sleep(DRAIN_S + LONGER_S)
    searcher.end()
    deployment.record.add("searcher ended", searcher=searcher.id)
    return ack


async def play(deployment):
    record = deployment.record
    await deployment.configure(ROUTES, [SERVICE])
    searchers = [
        await deployment.add_searcher(harness.Searcher(
            record, f"i-{i + 1}", SERVICE, harness.ZONES[i % len(harness.ZONES)],
            work_s=WORK_S,
        ))
        for i in range(SEARCHERS)
    ]
    await deployment.start_gateways()
    end_time = time.monotonic() + LOAD_S
    failures = []
    # In the data centre of a gateway, so that it is in use.
    leaving = next(
        it for it in searchers if it.zone == deployment.gateways[0].zone
    )
    ack, *_ = await asyncio.gather(
        leave(deployment, leaving),
        *(
            order(harness.Caller(deployment, f"c{i}", it), end_time, failures)
            for i, it in enumerate(deployment.gateways * CALLERS)
        ),
    )
    delays = [it - ack for it, _ in leaving.runs]
    if not delays:
        raise harness.CannotRun("the searcher that leaves was not in use")
    late = [it for it in delays if it > DRAIN_S]
    lost = [it for it, _ in failures
            if it in {request_id for _, request_id in leaving.runs}]
    record.conclude(
        f"{len(late)} requests reached the searcher later than {DRAIN_S:.0f} s "
        f"after the ack of its removal, the last {max(delays):.2f} s after it; "
        f"{len(lost)} orders that it ran or was running were lost when it ended"
    )
    return len(late) > 0


if __name__ == "__main__":
    harness.play(pathlib.Path(__file__).parent, GATEWAYS, play, CuttingStore)
