"""Planned restarts: the program gets SIGTERM, ends by itself and is started again under its own name and address."""
import asyncio
import signal
import time

import stand


class Restarts:
    """The platform's part of a planned restart. It knows when the process that it had asked to end was gone."""

    def __init__(self, record, manager, owner, agents):
        self.record, self.manager, self.owner, self.agents = record, manager, owner, agents
        self.new, self.open = True, True  # whether new connections come, and set-ups on open ones
        self.spans = []  # SIGTERM, the end of the process, and 0.2 s after what stands was handed over

    async def restart(self):
        asked = time.time()
        process = self.manager.process
        process.send_signal(signal.SIGTERM)
        self.record.line("platform", "SIGTERM")
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, setattr, self, "new", False)
        loop.call_later(0.5, setattr, self, "open", False)
        while process.poll() is None:
            await asyncio.sleep(0.002)
            if time.time() - asked > 3.7:
                raise RuntimeError("the program didn't end in time; SIGKILL isn't part of this case")
        gone = time.time()
        self.record.line("platform", f"the process is gone after {time.time() - asked:.2f} s")
        self.manager.config["listen"] = f"127.0.0.1:{self.manager.port}"
        self.manager.config["known"] = self.manager.bulletin.known()
        self.manager.keep_log()
        await self.manager.start()
        await self.owner.admitted()
        await self.hand_over()
        self.spans.append((asked, gone, time.time() + 0.2))
        self.new = self.open = True

    async def hand_over(self):
        """Names what still stands to the new process, in set-ups with `at`, once its first test has passed."""
        link = await self.owner.connect()
        handed = 0
        for agent in self.agents:
            for task in [t.task for t in agent.tasks.values() if t.state == "runs"]:
                ask = self.owner.asks[task]
                if ask.answer and not ask.over:
                    link.send(stand.Owner.set_up(ask, at=agent.uid))
                    handed += 1
        self.record.line("platform", f"handed over {handed} tasks that stand")
