"""A slow bulletin: it answers each call 1.8 s late. An agent vanishes, and the list says so three seconds later."""
import asyncio
import pathlib

import site2 as stand_ins

LATE_S = 1.8  # how late the bulletin answers a call
NOTICE_S = 3.0  # how late the list tells that the agent is gone
# The release is due 1 s after the news, which counts as told 4 s after the bulletin fell silent, and 8 s after the end.
LIMIT_S = max(NOTICE_S + 4 + 1, 8) + 0.05


async def case(site):
    if site.trouble:
        site.bulletin.answer_after_s = LATE_S
    for agent in site.agents:
        agent.life_s = 60.0
    site.settings["Az"] = 1
    site.start_program()
    if not await site.until_ready():
        return stand_ins.NOT_RUN
    await asyncio.sleep(1)
    owner = await site.connect("one")
    tasks = []
    for i in range(18):
        kind = ("card-worker", "settlement", "web-api")[i % 3]
        tasks.append(owner.setup(kind, 0x100 + i, cores=1, memory=2))
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)
    gone = site.agents[0]
    at_it = [request for request in tasks if request.agent == gone.uid and request.outcome == "stands"]
    site.say(f"agent {gone.uid} vanishes, and with it {len(at_it)} tasks that stand")
    if not at_it:
        return stand_ins.NOT_RUN
    gone.vanish()
    ended = site.now()
    await asyncio.sleep(NOTICE_S)
    gone.state = "terminated"
    site.bulletin.put([gone])
    for i in range(50):  # the owner goes on asking
        owner.setup("web-api", 0x200 + i % 10)
        await asyncio.sleep(0.5)
    late = [r for r in at_it if r.over_at is None or r.over_at - ended > LIMIT_S]
    never = [r for r in at_it if r.over_at is None]
    site.say(f"of {len(at_it)} tasks that ended with their agent {len(late)} were not told in {LIMIT_S:g} s,")
    site.say(f"and {len(never)} were never told; calls of the bulletin: {site.bulletin.calls}")
    return stand_ins.BROKEN if late else stand_ins.HELD


stand_ins.run_case(pathlib.Path(__file__).parent, case)
