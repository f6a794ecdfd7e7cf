#!/usr/bin/env python3
"""Tests of the test runner: it plays the tests of KNOWN-RED.txt apart, and refuses a list that is wrong.

And of the replay of an entry.
"""
import pathlib
import subprocess
import sys
import tempfile
import unittest

from planted import ROOT, plant

RUNNER = ROOT / ".ci/run_tests.py"
REPLAY = ROOT / ".ci/replay.py"
GREEN, RED = "/bin/true", "/bin/false"


def entry(test, command=RED, seed="-", seen="seen", issue="issue 7"):
    return f"{test} | {command} | {seed} | {seen} | {issue}\n"


class RunTests(unittest.TestCase):
    def run_on(self, tests, known_red=None):
        """Runs the runner on tests, each a name and its program: the exit status and the output."""
        with tempfile.TemporaryDirectory() as folder:
            added = "".join(f'add_test([=[{name}]=] "{program}")\n' for name, program in tests.items())
            plant(folder, {"build/CTestTestfile.cmake": added})
            if known_red is not None:
                plant(folder, {"KNOWN-RED.txt": known_red})
            command = [sys.executable, str(RUNNER), str(pathlib.Path(folder, "build")), "--root", folder]
            done = subprocess.run(command, capture_output=True, text=True)
            return done.returncode, done.stdout

    def test_without_the_file_nothing_is_passed_over(self):
        code, out = self.run_on({"a": GREEN, "b": GREEN})
        self.assertEqual(code, 0, out)
        self.assertIn("100% tests passed, 0 tests failed out of 2", out)
        self.assertIn("tests known to fail: 0", out)
        code, out = self.run_on({"a": GREEN, "b": RED})
        self.assertNotEqual(code, 0)

    def test_a_listed_test_does_not_count_and_is_played_apart(self):
        code, out = self.run_on({"a": GREEN, "b": RED}, entry("b", seen="the clock is read late"))
        self.assertEqual(code, 0, out)
        self.assertIn("0 tests failed out of 1", out)
        self.assertIn("known to fail: 5 of 5 failed: b: the clock is read late (issue 7)", out)
        self.assertIn("tests known to fail: 1", out)

    def test_a_listed_test_that_passes_again_is_seen(self):
        code, out = self.run_on({"a": GREEN, "b": GREEN}, entry("b", command=GREEN))
        self.assertEqual(code, 0, out)
        self.assertIn("known to fail: 0 of 5 failed: b", out)

    def test_a_test_that_is_not_listed_still_fails(self):
        for name in ("bb", "a b", "B", "c"):
            code, out = self.run_on({"b": RED, name: RED}, entry("b"))
            self.assertNotEqual(code, 0, name)
            self.assertIn("1 tests failed out of 1", out)

    def test_names_are_taken_as_text(self):
        for name in ("a.c (x)", "a|b", "a+b*", "[a] ^b$?", "owner's list, 3: \\ end"):
            code, out = self.run_on({name: RED, "abc": GREEN, "a": GREEN, "b": GREEN}, entry(name))
            self.assertEqual(code, 0, out)
            self.assertIn("0 tests failed out of 3", out)

    def refused(self, list_text, complaint):
        """The list is refused, with its place, before any test runs."""
        code, out = self.run_on({"a": GREEN, "b": RED}, list_text)
        self.assertEqual(code, 2, out)
        self.assertIn(complaint, out)
        self.assertNotIn("tests passed", out)

    def test_a_test_or_program_that_does_not_exist_is_refused_before_any_runs(self):
        self.refused(entry("gone"), "KNOWN-RED.txt:1: no such test: gone")
        self.refused(entry("b", command="no/such/program"), "KNOWN-RED.txt:1: no such program: no/such/program")

    def test_an_entry_without_one_of_its_fields_is_refused(self):
        form = "not of the form `test | command | seed | what was seen | issue`"
        whole = ["b", RED, "-", "seen", "issue 7"]
        for left_out in range(len(whole)):
            for fields in (whole[:left_out] + whole[left_out + 1 :], whole[:left_out] + [""] + whole[left_out + 1 :]):
                self.refused("\n" + " | ".join(fields) + "\n", f"KNOWN-RED.txt:2: {form}")
        self.refused(" | ".join([*whole, "more"]), form)

    def test_a_field_that_cannot_be_right_is_refused(self):
        self.refused(entry("b", issue="soon"), "KNOWN-RED.txt:1: `soon` is no issue, legal is `issue N`")
        self.refused(entry("b", seed="none"), "seed `none`, legal are a number and `-`")
        self.refused(entry("b", seed="7"), "a command with a seed holds `{seed}`, one without does not")
        self.refused(entry("b", command="/bin/false {seed}"), "a command with a seed holds `{seed}`")
        self.refused(entry("b", command="/bin/false 'x"), "the command cannot be split into words")

    def test_an_entry_that_stands_twice_is_refused(self):
        self.refused(entry("b") + entry("b", seen="again"), "KNOWN-RED.txt:1: listed twice: b")
        seeded = [entry("b", command="/bin/false {seed}", seed=seed) for seed in ("7", "8")]
        code, out = self.run_on({"a": GREEN, "b": RED}, "".join(seeded))
        self.assertEqual(code, 0, out)

    def test_a_build_without_tests_fails(self):
        code, _ = self.run_on({})
        self.assertNotEqual(code, 0)


class Replay(unittest.TestCase):
    def replay(self, known_red, wanted, *options):
        with tempfile.TemporaryDirectory() as folder:
            plant(folder, {"KNOWN-RED.txt": known_red})
            keep = pathlib.Path(folder, "logs")
            command = [
                sys.executable,
                str(REPLAY),
                wanted,
                "--root",
                folder,
                "--keep",
                str(keep),
                "--busy",
                "1",
                *options,
            ]
            done = subprocess.run(command, capture_output=True, text=True)
            kept = sorted(path.read_text() for path in keep.rglob("*.log"))
            return done.returncode, done.stdout + done.stderr, kept

    def test_an_entry_is_played_from_its_command_and_seed_and_failing_logs_are_kept(self):
        shell = "/bin/sh -c 'echo seed {seed} $ROUTER_LOG_LEVEL; exit 1'"
        code, out, kept = self.replay(entry("b", shell, "7"), "1", "--copies", "3", "--rounds", "2")
        self.assertEqual(code, 1, out)
        self.assertIn("round 1: 3 of 3 failed", out)
        self.assertIn("6 of 6 failed: b; logs in ", out)
        self.assertEqual(kept, ["seed 7 debug\n"] * 6)

    def test_plays_that_pass_leave_no_log(self):
        code, out, kept = self.replay(entry("b", GREEN), "b", "--copies", "2", "--rounds", "1")
        self.assertEqual(code, 0, out)
        self.assertIn("0 of 2 failed: b\n", out)
        self.assertEqual(kept, [])

    def test_a_play_beyond_the_time_limit_has_failed_and_is_ended(self):
        slow = "/bin/sh -c 'echo begun; sleep 60'"
        code, out, kept = self.replay(entry("b", slow), "b", "--copies", "1", "--rounds", "1", "--timeout-s", "1")
        self.assertEqual((code, kept), (1, ["begun\n"]), out)

    def test_an_entry_that_is_not_the_one_is_named_with_what_is_legal(self):
        listed = entry("one test") + entry("other test")
        for wanted in ("test", "3", "0", "third"):
            code, out, _ = self.replay(listed, wanted)
            self.assertEqual(code, 2, out)
            self.assertIn(f"entries are meant by `{wanted}`, legal are\n  1: one test\n  2: other test", out)
        code, out, _ = self.replay("half an entry\n", "1")
        self.assertEqual(code, 2)
        self.assertIn("KNOWN-RED.txt:1: not of the form", out)


if __name__ == "__main__":
    unittest.main()
