"""Agents forget idle connections where they would usually close them. Tasks stand there and come to their end."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import stand  # noqa: E402

AGENTS, MANAGERS = 9, 4  # the fleet, and the cluster managers that share it by their settings
LIFE = 18  # seconds: a usual life of a task there, longer than an idle connection lasts
WITHIN = 8 + 0.05  # seconds, from the end of a task to its release towards the owner


def like_sede(settings):
    settings["GroupSize"] = MANAGERS
    settings["Allowed"].update(Probing=False, MostTries=4)


async def play(record):
    agents = [stand.Agent(i, record) for i in range(AGENTS)]
    for agent in agents:
        agent.forgets = stand.TROUBLE
        await agent.open()
    bulletin = stand.Bulletin(record, agents)
    await bulletin.open()
    manager = stand.Manager(record, bulletin, change=like_sede)
    try:
        await manager.start()
        owner = stand.Owner(record, manager)
        await owner.admitted()
        link = await owner.connect()
        for i in range(12):
            owner.ask(link, ["settlement", "card-worker"][i % 2], 0x500 + i, LIFE + i % 5)
            await asyncio.sleep(0.25)
        await asyncio.sleep(LIFE + 5 + WITHIN + 1)
        stand.ready_to_judge(owner, manager.ended(), 10)
        return told_late(owner, agents)
    finally:
        manager.end()


def told_late(owner, agents):
    """Tasks that came to their end at their agent and weren't released towards their owner in time."""
    breaches = []
    for ask in owner.asks.values():
        for agent in agents:
            end = agent.over.get(ask.task)
            if ask.answer and end and (not ask.over or ask.over > end + WITHIN):
                told = f"told {ask.over - end:.2f} s later" if ask.over else "not told at all"
                breaches.append(f"{ask.kind} {ask.task:016x} was over at {agent.uid}, its owner was {told}")
    return breaches


stand.main(HERE, play)
