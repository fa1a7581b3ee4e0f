"""Two searchers of six send wrong bytes instead of a few of their answers: a
chunked message with one very long field in its trailer. The other searchers are
sound, and so are the callers."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness-2"))

import harness  # noqa: E402

SERVICE = "patronario"
GATEWAYS = 3
SEARCHERS = 6
FAULTY_SEARCHERS = 2
WORK_S = 0.06
CALLERS = 8
LOAD_S = 12.0
# At most the doses of the site file: some answers of at most six in ten
# searchers, for five and a half seconds.
GARBLE_START_S = 3.0
GARBLE_S = 5.0
GARBLED_SHARE = 0.03
# The value of the field, and how many bytes are sent at a time.
FIELD_BYTES = 65_600
PIECE_BYTES = 16_000
# Rule LOST: a machine, more than three times.
ALLOWED_LOSSES = 3


class FaultySearcher(harness.Searcher):
    """Spoils a few of its answers."""

    garble_times = (0.0, 0.0)
    garbled = 0

    async def respond(self, request_id, writer):
        start, end = self.garble_times
        is_due = start <= time.monotonic() < end
        if not is_due or random.random() >= GARBLED_SHARE:
            return await super().respond(request_id, writer)
        self.garbled += 1
        self.record.add("wrong bytes", searcher=self.id, id=request_id)
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            + f"Turmericlane-Request-Id: {request_id}\r\n\r\n".encode()
            + b"8\r\n" + b"\x00" * 8 + b"\r\n"
        )
        trailer = b"0\r\nx: " + b"Z" * FIELD_BYTES + b"\r\n\r\n"
        for i in range(0, len(trailer), PIECE_BYTES):
            await writer.drain()
            await asyncio.sleep(0.005)
            writer.write(trailer[i : i + PIECE_BYTES])
        await writer.drain()
        return False


async def call(caller, end_time):
    while time.monotonic() < end_time:
        await asyncio.sleep(random.uniform(0.01, 0.05))
        await caller.request("/history/x")


async def play(deployment):
    await deployment.configure(
        [{"name": "r-1", "prefix": "/history/", "type": "safe",
          "service": SERVICE}], [SERVICE],
    )
    record = deployment.record
    faulty, sound = [], []
    for i in range(SEARCHERS):
        is_faulty = i < FAULTY_SEARCHERS
        kind = FaultySearcher if is_faulty else harness.Searcher
        zone = harness.ZONES[i % len(harness.ZONES)]
        searcher = kind(record, f"i-{i + 1}", SERVICE, zone, work_s=WORK_S)
        (faulty if is_faulty else sound).append(searcher)
        await deployment.add_searcher(searcher)
    await deployment.start_gateways()
    start = time.monotonic()
    if harness.is_troubled():
        garble_start = start + GARBLE_START_S
        for it in faulty:
            it.garble_times = (garble_start, garble_start + GARBLE_S)
    callers = [
        harness.Caller(deployment, f"c{i}", gateway)
        for i, gateway in enumerate(deployment.gateways * CALLERS)
    ]
    await asyncio.gather(*(call(it, start + LOAD_S) for it in callers))
    # Only what was passed on to a sound searcher counts.
    run_by_sound = {it for s in sound for _, it in s.runs}
    for it in callers:
        it.losses = [loss for loss in it.losses if loss in run_by_sound]
    most_losses = harness.most_losses_of_a_machine(callers)
    ends = [len(it.own_ends) for it in deployment.gateways]
    record.conclude(
        f"{sum(it.garbled for it in faulty)} answers spoiled; ends of their "
        f"own by gateway: {ends}; requests on kept connections passed on to "
        f"sound searchers and closed without an answer: at most {most_losses} "
        f"of one machine"
    )
    return most_losses > ALLOWED_LOSSES


if __name__ == "__main__":
    harness.play(pathlib.Path(__file__).parent, GATEWAYS, play)
