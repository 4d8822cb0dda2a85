"""Bad clients send much at once and go; afterwards the router reads what they left for longer than its usual clients wait."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standin import *

# The bad clients: connections at a time, rounds, messages of each, and how long they stay.
BAD, ROUNDS, MESSAGES, STAY_S = 300, 4, 10000, 1.0
# The usual clients: connections that stay, a request of each every so often, how long they wait, and for how long they go on afterwards.
USUAL, EVERY_S, DEADLINE_MS, AFTERWARDS_S = 4, 0.04, 500, 20.0
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


async def case(env):
    record = env.record

    async def serve(fetch):
        await asyncio.sleep(0.02)
        fetch.answer("ok", f"ver=a1,born={int(unix_ms())},note=hit,waited=0", body_of(fetch.fields["k"], fetch.fields["p"]))

    caches = [await Cache(f"cache{i}", i + 1, "box", "edge-1", serve, record).start() for i in range(4)]
    parent = await Cache("parent", 101, "parent", "hub", serve, record).start()
    origin = await Cache("origin", 102, "origin", "hub", serve, record).start()
    log = await ChangeLog(2, record).start()
    known = [{"fleet": {"revision": 1, "complete": True, "members": [c.listed() for c in caches + [parent, origin]]}}]
    router = Router("n1", env.folder, record, settings([service("pages", deadline=2500.0)]), known, log.port, limits=LIMITS)
    env.routers.append(router)
    await router.start()

    sent, stopped = [], False

    def ask(client):
        request = client.send("pages", DEADLINE_MS, f"{random.randrange(1, 500):016x}")
        sent.append((client, request))
        return request

    async def resident(number):
        """A usual client that keeps its connection, and takes another when the router has closed it."""
        client = await Client(f"usual{number}", record).connect(router.port)
        while not stopped:
            if client.closed_at is not None:
                client = await Client(f"usual{number}", record).connect(router.port)
            if sum(not r.answers and unix_ms() < r.sent + DEADLINE_MS for r in client.requests.values()) < 32:
                ask(client)
            await asyncio.sleep(EVERY_S)

    async def visitor(number):
        """A usual client that comes anew for one request, after the bad ones have gone."""
        client = await Client(f"visitor{number}", record).connect(router.port)
        request = ask(client)
        await asyncio.wait_for(request.done.wait(), 60)

    messages = b"".join(encode("UNDO", tag) for tag in range(1, MESSAGES + 1))

    async def bad():
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", router.port), 3)
        except (OSError, asyncio.TimeoutError):
            return
        async def write():
            writer.write(messages)
            await writer.drain()
        async def read():
            while await reader.read(65536):
                pass
        tasks = [asyncio.ensure_future(write()), asyncio.ensure_future(read())]
        await asyncio.wait(tasks, timeout=STAY_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        writer.transport.abort()

    def cpu_and_waits():
        with open(f"/proc/{router.process.pid}/stat") as file:
            times = file.read().rsplit(")", 1)[1].split()
        with open(f"/proc/{router.process.pid}/task/{router.process.pid}/status") as file:
            waits = [int(line.split()[1]) for line in file if line.startswith("voluntary_ctxt_switches")]
        return (int(times[11]) + int(times[12])) / os.sysconf("SC_CLK_TCK"), waits[0]

    tasks = [asyncio.ensure_future(resident(n)) for n in range(USUAL)]
    await asyncio.sleep(1.0)
    if env.trouble:
        for number in range(ROUNDS):
            record.line(f"{BAD} bad clients send {len(messages)} bytes each at once")
            await asyncio.gather(*(bad() for _ in range(BAD)))
            record.line("they have gone")
    gone = time.time()
    cpu, waits = cpu_and_waits()
    visits = []
    while time.time() < gone + AFTERWARDS_S:
        visits.append(asyncio.ensure_future(visitor(len(visits))))
        await asyncio.sleep(0.5)
    after = cpu_and_waits()
    record.line(f"in the {AFTERWARDS_S:.0f} s after the bad clients had gone the router used {after[0] - cpu:.1f} s of its core, and its thread waited "
                f"{after[1] - waits} times")
    stopped = True
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(DEADLINE_MS / 1000 + 0.6)
    lost = [(c, r) for c, r in sent if not r.answers or r.answers[0][0] > r.sent + DEADLINE_MS + 550]
    for client, request in lost:
        late = f"answered {request.answers[0][0] - request.sent:.0f} ms after it was sent" if request.answers else "no answer"
        record.line(f"lost: {client.name} tag {request.tag}, sent {request.sent / 1000 - gone:.2f} s after the bad clients had gone: {late}")
    record.line(f"{len(sent)} usual requests, {len(lost)} lost, {sum(c.name.startswith('visitor') for c, _ in lost)} of them on {len(visits)} new connections")
    broken = []
    if lost:
        broken.append(f"lost: {len(lost)} of {len(sent)} usual requests have no answer 0.5 s after their time")
    if router.crashed():
        broken.append("the router has ended")
    elif env.trouble and after[1] == waits:
        broken.append(f"the router's thread has not waited for {AFTERWARDS_S:.0f} s")
    return broken


run_case(case, os.path.dirname(os.path.abspath(__file__)))
