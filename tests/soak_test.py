#!/usr/bin/env python3
"""Tests of the soak: what a seed draws, bad input, and that the rig catches a process that is planted wrong."""
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "bench"), str(ROOT / "bench/faults")]
import processes  # noqa: E402
import soak  # noqa: E402
import soak_plan  # noqa: E402
import soak_play  # noqa: E402

# A process that does this on SIGTERM.
ON_SIGTERM = """
import signal, sys, time
signal.signal(15, lambda *arguments: {})
print('up', flush=True)
while True:
    time.sleep(1)
"""


class Plans(unittest.TestCase):
    def test_equal_seeds_give_equal_plans_and_others_differ(self):
        self.assertEqual(soak_plan.draw(7, 30), soak_plan.draw(7, 30))
        self.assertNotEqual(soak_plan.draw(7, 30)["faults"], soak_plan.draw(8, 30)["faults"])

    def test_every_fault_can_be_played_and_begins_in_time(self):
        for seed in range(1, 200):
            plan = soak_plan.draw(seed, 20)
            for fault in plan["faults"]:
                self.assertTrue(hasattr(soak_play.SoakTrial, f"do_{fault['do']}"), fault)
                self.assertLess(fault["at_ms"], 20_000 + 3_000)

    def test_some_cluster_manager_is_left_at_any_time(self):
        for seed in range(1, 200):
            plan = soak_plan.draw(seed, 30)
            ends = [f["at_ms"] for f in plan["faults"] if f["do"] == "terminate"]
            for at in ends:
                away = sum(at <= other < at + 1000 * soak_plan.RESTART_S for other in ends)
                self.assertLess(away, plan["fleet"]["managers"])

    def test_many_seeds_play_each_kind(self):
        kinds = {fault["do"] for seed in range(1, 40) for fault in soak_plan.draw(seed, 30)["faults"]}
        self.assertLessEqual(
            {"terminate", "signal", "crowd", "reset", "half", "die", "drain", "stop", "list_slow"}, kinds
        )

    def test_discovery_is_slow_in_each_way_and_other_draws_do_not_depend_on_it(self):
        slow = [fault for seed in range(1, 60) for fault in soak_plan.slow_discovery(seed, 30)]
        for key in ("delay_ms", "jitter_ms", "body_ms", "per_call_ms"):
            self.assertTrue(any(fault.get(key, 0) >= 200 for fault in slow), key)
        for seed in (2, 3, 5, 11):
            self.assertEqual(len([f for f in soak_plan.draw(seed, 12)["faults"] if f["do"] == "list_slow"]), 1)


class Input(unittest.TestCase):
    def refused(self, *words):
        command = [sys.executable, str(ROOT / "bench/faults/soak.py"), "run", *words]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 2)
        return done.stderr

    def test_ranges_are_read_and_wrong_ones_named_with_what_is_legal(self):
        self.assertEqual(soak.seed_range("1-3,7"), [1, 2, 3, 7])
        for wrong in ("", "x", "3-1", "1-", "-4", "1,,2"):
            self.assertIn("legal are 7, 1-50 and 1-3,7", self.refused(f"--seeds={wrong}"))

    def test_a_length_out_of_bounds_is_named(self):
        for wrong in ("5", "601", "1.5", "long"):
            self.assertIn("legal are whole seconds from 6 to 600", self.refused(f"--length={wrong}"))


class Rig(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        plan = soak_plan.draw(1, 30)
        self.soak = soak_play.SoakTrial("none", "none", plan, self.folder.name)
        self.soak.bad, self.soak.slack_ms, self.soak.begun = [], 0, time.monotonic()
        self.soak.relay = types.SimpleNamespace(say=lambda text: None)
        self.soak.restart = lambda m, startup: None

    def tearDown(self):
        self.soak.end()
        self.folder.cleanup()

    def play_timed(self):
        while self.soak.timed:
            for each in [t for t in self.soak.timed if t[0] <= time.monotonic()]:
                self.soak.timed.remove(each)
                each[1](*each[2])
            time.sleep(0.005)

    def terminate(self, program):
        """Plays a planned restart of a process that runs this Python text."""
        child = processes.Child([sys.executable, "-c", program])
        self.soak.children.append(child)
        self.soak.managers[0] = child
        child.wait_for(lambda line: line == "up")
        self.soak.do_terminate({"on": ["m0"], "series": [], "startup": [], "for_ms": 0})
        self.play_timed()
        return self.soak.bad

    def test_a_process_that_ends_in_order_passes(self):
        program = ON_SIGTERM.format("sys.exit(0)")
        self.assertEqual(self.terminate(program), [])

    def test_a_process_that_exits_late_is_caught(self):
        program = ON_SIGTERM.format("0")
        self.assertEqual(self.terminate(program), ["m0 had not ended 3.7 s after SIGTERM"])

    def test_a_process_that_exits_with_an_error_is_caught(self):
        program = ON_SIGTERM.format("sys.exit(3)")
        self.assertEqual(self.terminate(program), ["m0 ended with 3 after SIGTERM"])

    def crowd(self, answer):
        listener = socket.create_server(("127.0.0.1", 0))
        self.soak.manager_ports[0] = listener.getsockname()[1]
        self.soak.do_crowd({"on": ["m0"], "count": 3, "half": True})
        accepted = [listener.accept()[0] for _ in range(3)]
        for client in accepted[1:]:
            answer(client)
        self.soak.check_crowd("m0", self.soak.crowds)
        for client in accepted:
            client.close()
        listener.close()
        return self.soak.bad

    def test_a_client_that_gets_no_word_and_no_close_is_caught(self):
        wanted = "1 of 3 clients that said nothing whole to m0 got no word and no close"
        self.assertEqual(self.crowd(lambda client: client.close()), [wanted])

    def test_growth_from_the_first_third_to_the_last_is_caught(self):
        self.soak.fleet["seconds"] = 90
        flat = [(at, 10_000, 40) for at in range(0, 90)]
        growing = [(at, 10_000 + 400 * at, 40 + at) for at in range(0, 90)]
        restarted = growing[:40]
        self.soak.samples = {1: flat, 2: growing, 3: restarted}
        self.soak.check_growth()
        self.assertEqual(len(self.soak.bad), 2)
        self.assertIn("process 2 grew from 15800 to 39800 kB", self.soak.bad[0])
        self.assertIn("descriptors", self.soak.bad[1])

    def test_halves_cover_a_plan(self):
        self.assertEqual(soak.halves({"faults": list("abcde")}), [range(0, 3), range(3, 5)])
        self.assertEqual(soak.halves({"faults": ["a"]}), [])


if __name__ == "__main__":
    unittest.main()
