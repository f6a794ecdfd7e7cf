"""The program is restarted as planned, several times, and nothing else goes wrong."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import restarts  # noqa: E402
import sharing  # noqa: E402
import stand  # noqa: E402

AGENTS, RATE, LIVES, START = 9, 25, (6, 20), 0.3  # set-ups a second; seconds; seconds
RESTARTS, BETWEEN = 4, 10  # seconds from one restart to the next
WITHIN = 8 + 0.05  # seconds, from the end of a task to its release towards the owner
BEFORE = 0.03  # seconds: an end is looked at if the old process was there for so much longer


async def traffic(owner, rng, platform):
    """Set-ups one by one, on four connections that owners keep; none while the program restarts."""
    links = []
    while True:
        await asyncio.sleep(rng.expovariate(RATE))
        while platform.new and len(links) < 4:
            links.append(await owner.connect())
        links = [link for link in links if link.open and not link.transport.is_closing()]
        if not links or not platform.open:
            continue
        kind = rng.choices(["web-api", "card-worker"], [54, 46])[0]
        owner.ask(rng.choice(links), kind, rng.randrange(1 << 40), round(rng.uniform(*LIVES), 2), cores=0.5, memory=0.5)


async def play(record):
    agents = [stand.Agent(i, record) for i in range(AGENTS)]
    for agent in agents:
        agent.START = START
        await agent.open()
    bulletin = stand.Bulletin(record, agents)
    await bulletin.open()
    manager = stand.Manager(record, bulletin)
    try:
        await manager.start()
        owner = stand.Owner(record, manager)
        sharing.Resending(owner)
        await owner.admitted()
        platform = restarts.Restarts(record, manager, owner, agents)
        asking = asyncio.ensure_future(traffic(owner, random.Random(1), platform))
        for _ in range(RESTARTS):
            await asyncio.sleep(BETWEEN)
            if stand.TROUBLE:
                await platform.restart()
            else:
                await asyncio.sleep(1.2)
        await asyncio.sleep(3)
        asking.cancel()
        await asyncio.sleep(LIVES[1] + WITHIN + 1)
        stand.ready_to_judge(owner, manager.ended(), 500)
        return sharing.told_late(owner, agents, WITHIN, platform.spans, BEFORE)
    finally:
        manager.end()


stand.main(HERE, play)
