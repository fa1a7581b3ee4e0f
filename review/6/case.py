"""Users of two kinds come at once to a service of one searcher. It runs what it
has room for, rejects the rest, and asks for a pause by Retry-After, as it may.
Then it loses the answers of some requests that it has run. When the pause is
over, the gateways connect to it again."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness-2"))

import harness  # noqa: E402
import wire  # noqa: E402

# The searchers of each service.
SERVICES = {"envios": 1, "patronario": 6}
GATEWAYS = 3
# Callers of each gateway that send one request after the other, by service.
CALLERS = {"envios": 1, "patronario": 6}
# Users of the first service who come to each gateway within some milliseconds:
# delay, path, time limit and how many.
USERS = (
    (0.00, "/urgent/x", 0.5, 2),
    (0.02, "/envios/x", 6.0, 3),
    (0.04, "/urgent/x", 0.5, 3),
)
WORK_S = 0.06
RETRY_AFTER_S = 0.5
# A gateway delays first requests on new connections for its first 12 s.
SETTLED_S = 13.0
BURST_S = SETTLED_S + 5.0
# The callers of the first service stop this long before the others come.
CALM_S = 0.2
# For this long after the burst, the searcher's answers are lost. The dose is
# their share of what it ran in the time that the site names.
LOSS_S = 0.35
DOSE_TIME_S = 4.0
MAX_LOST_SHARE = 0.4
LOAD_S = BURST_S + 8.0
# Rule LOST: more than three times.
ALLOWED_LOSSES = 3


class BusySearcher(harness.Searcher):
    """Adds Retry-After to its rejections, and loses some answers."""

    QUEUE = 12
    loss_times = (0.0, 0.0)
    lost = 0

    def lost_share(self):
        """Returns the share of lost answers in the time of the dose."""
        end = self.loss_times[1]
        ran = sum(1 for it, _ in self.runs if end - DOSE_TIME_S <= it <= end)
        return self.lost / max(1, ran)

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
        if not is_due:
            return await super().respond(request_id, writer)
        self.lost += 1
        self.record.add("answer lost", searcher=self.id, id=request_id)
        harness.reset(writer)
        return False


async def come_once(caller, time_s, path, limit_s):
    await asyncio.sleep(time_s - time.monotonic())
    await caller.request(path, limit_s=limit_s)
    caller.close()


async def call(caller, service, end_time, losses):
    while time.monotonic() < end_time:
        await asyncio.sleep(random.uniform(0.01, 0.05))
        is_kept = caller.streams is not None and caller.uses > 0
        request_id, answer = await caller.request(f"/{service}/x", limit_s=6.0)
        if answer is None and is_kept and caller.ending == "connection ended":
            losses.append(request_id)
        elif answer is not None and answer.status == 503:
            retry_after = float(answer.fields.get("retry-after", 0.05))
            await asyncio.sleep(min(retry_after, 2.0))


async def play(deployment):
    record = deployment.record
    await deployment.configure(
        [{"name": f"r-{it}", "prefix": f"/{it}/", "type": "safe",
          "service": it, "timeoutMs": 6000, "targetLatencyMs": 800}
         for it in SERVICES]
        + [{"name": "r-urgent", "prefix": "/urgent/", "type": "safe",
            "service": "envios", "timeoutMs": 500, "targetLatencyMs": 100}],
        list(SERVICES),
    )
    searchers = {}
    for service, count in SERVICES.items():
        searchers[service] = [
            await deployment.add_searcher(BusySearcher(
                record, f"i-{service}-{i}", service,
                harness.ZONES[i % len(harness.ZONES)], work_s=WORK_S,
            )) for i in range(count)
        ]
    await deployment.start_gateways()
    start = time.monotonic()
    affected = searchers["envios"]
    if harness.is_troubled():
        loss_start = start + BURST_S
        for it in affected:
            it.loss_times = (loss_start, loss_start + LOSS_S)
    losses = []
    end_times = {"envios": BURST_S - CALM_S, "patronario": LOAD_S}
    await asyncio.gather(*(
        come_once(
            harness.Caller(
                deployment, f"user{gateway.number}-{j}-{i}", gateway
            ),
            start + BURST_S + delay_s, path, limit_s,
        )
        for j, (delay_s, path, limit_s, count) in enumerate(USERS)
        for i in range(count) for gateway in deployment.gateways
    ), *(
        call(harness.Caller(deployment, f"{service}{gateway.number}-{i}",
                            gateway),
             service, start + end_times[service], losses)
        for service, count in CALLERS.items()
        for gateway in deployment.gateways for i in range(count)
    ))
    run_by_sound = {
        request_id for it in searchers["patronario"]
        for _, request_id in it.runs
    }
    if any(it.lost_share() > MAX_LOST_SHARE for it in affected):
        raise harness.CannotRun("more answers were lost than the site allows")
    counted = [it for it in losses if it in run_by_sound]
    ends = [len(it.own_ends) for it in deployment.gateways]
    record.conclude(
        f"{sum(it.lost for it in affected)} answers lost, "
        f"{max(it.lost_share() for it in affected):.2f} of those of "
        f"{DOSE_TIME_S:.0f} s; ends of their own by gateway: {ends}; requests "
        f"on kept connections passed on to sound searchers and closed without "
        f"an answer: {len(counted)}"
    )
    return len(counted) > ALLOWED_LOSSES


if __name__ == "__main__":
    harness.play(pathlib.Path(__file__).parent, GATEWAYS, play)
