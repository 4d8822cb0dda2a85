"""The only cache of a location hangs; a client gives up early on each request, as clients do, and its connection is closed with a request unanswered."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standin import *

DEADLINE_MS, GIVES_UP_AFTER_S, OPEN = 600, 0.3, 32
HANG_S = 8.0


async def case(env):
    record = env.record
    hung = set()

    async def serve(fetch):
        if fetch.cache not in hung:
            await asyncio.sleep(0.03)
            fetch.answer("ok", f"ver=a1,born={int(unix_ms())},note=hit,waited=0", body_of(fetch.fields["k"], fetch.fields["p"]))

    here = await Cache("cache-here", 1, "box", "edge-1", serve, record).start()
    elsewhere = [await Cache(f"cache{i}", 10 + i, "box", "edge-2", serve, record).start() for i in range(7)]
    parent = await Cache("parent", 101, "parent", "hub", serve, record).start()
    origin = await Cache("origin", 102, "origin", "hub", serve, record).start()
    log = await ChangeLog(2, record).start()
    rules = settings([service("pages", deadline=float(DEADLINE_MS), slo=200.0)], areas=["hub", "edge-1", "edge-2"],
                     family_info={"count_by_zone": [0, 1, 1], "zone_hub": [0, 0, 0], "pass_through_ok": False})
    members = [c.listed() for c in [here] + elsewhere + [parent, origin]]
    router = Router("n1", env.folder, record, rules, [{"fleet": {"revision": 1, "complete": True, "members": members}}], log.port)
    env.routers.append(router)
    await router.start()

    if env.trouble:
        record.line("cache-here hangs: it takes requests and answers none")
        hung.add(here)
    client = await Client("client", record).connect(router.port)
    begun = time.time()
    most_open = [0]

    def ask():
        open_now = sum(not r.answers and r.undone is None for r in client.requests.values() if r.sent)
        most_open[0] = max(most_open[0], open_now + 1)
        return client.request("pages", DEADLINE_MS, f"{random.randrange(1, 10**6):016x}")

    async def slot(number):
        """One request after another: given up after half of the time, or answered, and then the next at once."""
        await asyncio.sleep(number * GIVES_UP_AFTER_S / OPEN)
        data, request = ask()
        client.write(data, request)
        while time.time() < begun + HANG_S and client.closed_at is None:
            pause = GIVES_UP_AFTER_S
            try:
                await asyncio.wait_for(request.done.wait(), pause)
                if client.closed_at is None:
                    # An answered request is followed by another one at the same pace.
                    await asyncio.sleep(max(0.0, request.sent / 1000 + pause - time.time()))
            except asyncio.TimeoutError:
                pass
            if client.closed_at is not None:
                return
            give_up = b"" if request.answers else client.undo_bytes(request)
            data, request = ask()
            client.write(give_up + data, request)

    await asyncio.gather(*(slot(n) for n in range(OPEN)))
    await asyncio.sleep(DEADLINE_MS / 1000 + 0.6)
    record.line(f"{len(client.requests)} requests, {most_open[0]} open at most")
    if most_open[0] > OPEN:
        raise CannotRun("more than 32 requests were open")
    broken = []
    for request in client.requests.values():
        if not request.answers and request.undone is None:
            at = client.closed_at
            closed = f"{at - request.sent:.1f} ms after it was sent, with requests open" if at else "not at all"
            broken.append(f"lost: tag {request.tag} has no answer; the router closed the connection {closed}")
    if router.crashed():
        broken.append("the router has ended")
    client.close()
    return broken


run_case(case, os.path.dirname(os.path.abspath(__file__)))
