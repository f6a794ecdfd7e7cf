"""The program is upgraded under load, several times, and nothing else goes wrong."""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import sharing  # noqa: E402
import stand  # noqa: E402

AGENTS, RATE, LIVES, START = 9, 90, (4, 14), 0.3  # set-ups a second; seconds; seconds
UPGRADES, BETWEEN = 7, 4  # seconds from one upgrade to the next
WITHIN = 8 + 0.05  # seconds, from the end of a task to its release towards the owner


async def traffic(owner, rng):
    """Set-ups one by one, on six connections that owners keep; one that was closed is opened anew."""
    links = []
    while True:
        links = [link for link in links if link.open and not link.transport.is_closing()]
        while len(links) < 6:
            links.append(await owner.connect())
        kind = rng.choices(["web-api", "card-worker"], [54, 46])[0]
        life = round(rng.uniform(*LIVES), 2)
        cores = 0.5 if kind == "web-api" else 0.25
        owner.ask(rng.choice(links), kind, rng.randrange(1 << 40), life, cores=cores, memory=0.5)
        await asyncio.sleep(rng.expovariate(RATE))


async def play(record):
    agents = [stand.Agent(i, record) for i in range(AGENTS)]
    for agent in agents:
        agent.START = START
        await agent.open()
    bulletin = stand.Bulletin(record, agents)
    await bulletin.open()
    platform = sharing.Platform(record, bulletin, agents)
    try:
        platform.start()
        await platform.ready()
        owner = stand.Owner(record, platform)
        sharing.Resending(owner)
        await owner.admitted()
        asking = asyncio.ensure_future(traffic(owner, random.Random(int(os.environ.get("SEED", "1")))))
        for _ in range(UPGRADES):
            await asyncio.sleep(BETWEEN)
            if stand.TROUBLE:
                await platform.upgrade(owner)
            else:
                await asyncio.sleep(5.4)
        await asyncio.sleep(3)
        asking.cancel()
        await asyncio.sleep(LIVES[1] + WITHIN + 1)
        stand.ready_to_judge(owner, platform.processes[-1].poll() is not None, 2000)
        return sharing.told_late(owner, agents, WITHIN, platform.spans)
    finally:
        platform.end()


stand.main(HERE, play)
