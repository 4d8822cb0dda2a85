"""A cold cache joins 0.7 s after the routers have begun to serve, under a burst, and is sent more than its settings allow."""

import math
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standin import *

AREAS, KINDS = ["hub", "edge-1"], ["box", "parent", "origin"]
ROUNDS = 3
ROUTERS, REQUESTS_PER_S, CONNECTIONS = 2, 700.0, 30
WARM_CACHES, SIZE = 3, 90.0
JOINS_AFTER_S = 0.7
# The two classes: mean sending time in milliseconds and share of the requests. Sizes are lognormal with this sigma.
MEAN_MS = {"parts": 500.0, "files": 45.0}
SHARE = {"parts": 0.58, "files": 0.42}
SIGMA, OBJECTS = 1.3, 20000
MEAN_WORK_MS = sum(MEAN_MS[c] * SHARE[c] for c in MEAN_MS)
# The time to the first byte of a fill from the parent.
FILL_WAIT_MS = 8
# What the settings say of a cold cache.
FALL_MS, MULTIPLE, COLD_SHARE, COLD_MS = 1500.0, 2.0, 0.19, 18000.0


def sending_times(cls):
    """The sending time of each object of a class in milliseconds; their mean is exactly that of the class."""
    sizes = random.Random(cls)
    raw = [min(10.0, math.exp(sizes.gauss(0, SIGMA) - SIGMA * SIGMA / 2)) for _ in range(OBJECTS)]
    scale = MEAN_MS[cls] / (sum(raw) / OBJECTS)
    return [x * scale for x in raw]


class ColdCount:
    """Counts what reaches the cold cache, in requests of mean work, against the page's bound."""

    def __init__(self, record):
        self.record, self.window, self.started, self.fell, self.worst = record, [], None, None, (0, 0, 0, 0)

    def capacity(self, at):
        """The present capacity, on a straight line from the cold share to the full."""
        return SIZE * (COLD_SHARE + (1 - COLD_SHARE) * min(1.0, (at - self.started) / COLD_MS))

    def count(self, at, cls):
        self.window = [(t, c) for t, c in self.window if t > at - FALL_MS] + [(at, cls)]
        sent = sum(MEAN_MS[c] for _, c in self.window) / MEAN_WORK_MS
        age = at - self.started
        # By the capacity at the window's end, the highest within it.
        allowed = MULTIPLE * self.capacity(at) * FALL_MS / MEAN_WORK_MS
        if allowed < 30:
            bound = allowed + 3 * math.sqrt(allowed) + 3
        else:
            bound = allowed + 2 * math.sqrt(allowed) + 2
        if sent / bound > self.worst[0]:
            self.worst = (sent / bound, sent, allowed, bound, age)
        if sent > bound and self.fell is None:
            self.fell = (f"the cold cache falls at an age of {age:.0f} ms: {sent:.1f} requests of mean work within {FALL_MS:.0f} ms, "
                         f"the settings allow {allowed:.1f}, the bound is {bound:.1f}")
            self.record.line(self.fell)


class Link:
    """The link of a cache: transfers at full pace each, or at equal shares of what it carries."""

    def __init__(self, capacity):
        self.capacity, self.transfers, self.task = capacity, {}, None

    async def send(self, milliseconds):
        done = asyncio.Event()
        self.transfers[done] = milliseconds
        if self.task is None or self.task.done():
            self.task = asyncio.ensure_future(self.run())
        await done.wait()

    async def run(self):
        last = unix_ms()
        while self.transfers:
            await asyncio.sleep(0.01)
            now = unix_ms()
            progress = (now - last) * min(1.0, self.capacity() / len(self.transfers))
            last = now
            for done in list(self.transfers):
                self.transfers[done] -= progress
                if self.transfers[done] <= 0:
                    del self.transfers[done]
                    done.set()


async def case(env):
    """Up to three rounds, each with new processes; the first fall ends the case."""
    for number in range(ROUNDS):
        env.record.line(f"round {number + 1}")
        broken = await one_round(env, os.path.join(env.folder, f"round{number + 1}"))
        if broken:
            return broken
    return []


async def one_round(env, folder):
    record = env.record
    times = {cls: sending_times(cls) for cls in MEAN_MS}
    cold = ColdCount(record)
    router_of, kept = {}, set()

    async def serve(fetch):
        if fetch.cache.name == "cold":
            cold.count(fetch.at, fetch.fields["c"])
            by_router[router_of[fetch.id]] += 1
        born, note, waited = int(unix_ms()), "hit", 0
        await asyncio.sleep(0.002)
        if fetch.cache.name == "cold" and fetch.fields["k"] not in kept:
            # A cache that starts is empty. A fill passes on what it gets while it runs, faster than a transfer to a client.
            if "from" not in fetch.fields:
                return fetch.answer("nothing")
            await asyncio.sleep(FILL_WAIT_MS / 1000)
            kept.add(fetch.fields["k"])
            note, waited = "filled", FILL_WAIT_MS
        await fetch.cache.link.send(times[fetch.fields["c"]][int(fetch.fields["k"], 16)])
        fetch.answer("ok", f"ver=a1,born={born},note={note},waited={waited}", b"x" * 20)

    by_router = [0] * ROUTERS
    warm = [await Cache(f"cache{i}", i + 1, "box", "edge-1", serve, Silent()).start() for i in range(WARM_CACHES)]
    parent = await Cache("parent", 101, "parent", "hub", serve, Silent()).start()
    origin = await Cache("origin", 102, "origin", "hub", serve, Silent()).start()
    caches = warm + [parent, origin]
    for cache in caches:
        cache.size = SIZE
        cache.link = Link(lambda: SIZE)
    log = await ChangeLog(2, record).start()
    rules = settings(
        [service("parts", deadline=6000.0, slo=500.0), service("files", deadline=2500.0, slo=400.0)],
        peers_total=ROUTERS, family_info={"count_by_zone": [0, ROUTERS]},
        contract={"fall": FALL_MS, "fall_multiple": MULTIPLE, "cold_share": COLD_SHARE, "cold": COLD_MS})
    known = [{"fleet": {"revision": 1, "complete": True, "members": [c.listed() for c in warm + [parent, origin]]}}]
    routers = [Router(f"n{i + 1}", folder, record, rules, known, log.port) for i in range(ROUTERS)]
    env.routers += routers
    await asyncio.gather(*(router.start() for router in routers))

    stopped = False
    sent = [0]

    async def load(number):
        client = await Client(f"client of n{number + 1}", record).connect(routers[number].port)
        due = time.time()
        while not stopped and client.closed_at is None:
            while time.time() >= due:
                due += random.expovariate(REQUESTS_PER_S / CONNECTIONS)
                if sum(not r.answers for r in client.requests.values()) < 32:
                    cls = "parts" if random.random() < SHARE["parts"] else "files"
                    obj = f"{random.randrange(OBJECTS):016x}"
                    data, request = client.request(cls, 6000 if cls == "parts" else 2500, obj)
                    router_of[request.id] = number
                    client.write(data, request)
                    sent[0] += 1
                if len(client.requests) > 200:
                    client.requests = {t: r for t, r in client.requests.items() if not r.answers}
            await asyncio.sleep(max(0.0, due - time.time()))
        client.close()

    async def join():
        joining = await Cache("cold", 100, "box", "edge-1", serve, record).start()
        caches.append(joining)
        joining.size = SIZE
        joining.link = Link(lambda: cold.capacity(unix_ms()))
        cold.started = unix_ms()
        log.add_changes([joining.binary(AREAS, KINDS, 0, int(cold.started))], f"s-00000064 has started at {int(cold.started)}")
        record.line(f"{len(log.writers)} routers are told")

    if JOINS_AFTER_S < 0 and env.trouble:
        await join()
        await asyncio.sleep(-JOINS_AFTER_S)
    begun = time.time()
    record.line("the clients arrive")
    tasks = [asyncio.ensure_future(load(n)) for n in range(ROUTERS) for _ in range(CONNECTIONS)]
    if JOINS_AFTER_S >= 0 and env.trouble:
        await asyncio.sleep(JOINS_AFTER_S)
        await join()
    await asyncio.sleep(5)
    stopped = True
    await asyncio.gather(*tasks)
    rate = sent[0] / (time.time() - begun) / ROUTERS
    record.line(f"{sent[0]} requests sent, {rate:.0f} a second to each router")
    record.line(f"cold cache: most against the bound {tuple(round(x, 2) for x in cold.worst)} (ratio, sent, allowed, bound, age in ms)")
    record.line(f"cold cache: {by_router} attempts by router, all of them told")
    if any(router.crashed() for router in routers):
        raise CannotRun("a router has ended")
    if rate < 500:
        raise CannotRun("the machine was too slow for the load")
    for router in routers:
        await router.end()
    for stand_in in caches:
        stand_in.stop()
    log.stop()
    return [cold.fell] if cold.fell else []


run_case(case, os.path.dirname(os.path.abspath(__file__)))
