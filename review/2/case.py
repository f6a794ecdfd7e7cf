"""One of nine agents has every connection that it will take, and refuses more. Its tasks run on."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import stand  # noqa: E402
import wire  # noqa: E402

ASKING, AFTER = 15, 24  # seconds: in which set-ups come, and until the last task is over
MOST, HELD = 8, 7  # connections that the agent takes, and how many of them the other cluster managers hold
SLACK = 0.05


async def other_manager(agent):
    """A connection of another cluster manager, which tests the agent now and then, so that it isn't idle."""
    loop = asyncio.get_running_loop()
    _, link = await loop.create_connection(lambda: stand.Link(lambda *_: None), "127.0.0.1", agent.port)

    async def test():
        while link.open:
            link.send(wire.message(wire.TEST, 0x7E57, cause=0))
            await asyncio.sleep(5)

    link.tests = asyncio.ensure_future(test())
    return link


async def traffic(owner, seconds, rng):
    """Some four set-ups a second: services ask for several tasks at once, as they do on this site."""
    end = asyncio.get_running_loop().time() + seconds
    links = []
    while asyncio.get_running_loop().time() < end:
        links = [link for link in links if link.open]
        while len(links) < 3:
            links.append(await owner.connect())
        link = rng.choice(links)
        kind = rng.choices(["web-api", "card-worker", "settlement"], [53, 44, 3])[0]
        if kind == "settlement":
            owner.ask(link, kind, 0x500 + rng.randrange(4), 18, cores=6, memory=14)
        else:
            service = (0x100 if kind == "web-api" else 0x300) + rng.randrange(8)
            for _ in range(rng.randint(3, 6) if kind == "web-api" else rng.randint(2, 3)):
                owner.ask(link, kind, service, round(rng.uniform(8, 20), 1))
        await asyncio.sleep(rng.uniform(0.5, 1.5))


async def play(record):
    agents = [stand.Agent(i, record) for i in range(9)]
    for agent in agents:
        await agent.open()
    bulletin = stand.Bulletin(record, agents)
    await bulletin.open()
    manager = stand.Manager(record, bulletin, change=lambda s: s.update(GroupSize=3))
    try:
        await manager.start()
        owner = stand.Owner(record, manager)
        await owner.admitted()
        if stand.TROUBLE:
            full = agents[0]
            full.cap = MOST
            others = [await other_manager(full) for _ in range(HELD)]
            record.line("others", f"two other cluster managers hold {len(others)} connections to {full.uid}")
        asking = asyncio.ensure_future(traffic(owner, ASKING, random.Random(1)))
        await asking
        await asyncio.sleep(AFTER)
        if manager.ended():
            return ["the program ended"]
        return told_early(owner, agents)
    finally:
        manager.end()


def told_early(owner, agents):
    """Tasks that were called over to their owner and came to their own end at their agent only later."""
    breaches = []
    for ask in owner.asks.values():
        for agent in agents:
            end = agent.over.get(ask.task)
            if ask.answer and ask.over and end and ask.over + SLACK < end:
                breaches.append(
                    f"{ask.kind} {ask.task:016x}: its owner was told over (cause {ask.cause}) "
                    f"{end - ask.over:.2f} s before it was over at {agent.uid}"
                )
    return breaches


stand.main(HERE, play)
