#!/usr/bin/env python3
"""Tests of the check that holds files to 400 lines: planted faults are found."""
import pathlib
import subprocess
import sys
import tempfile
import unittest

CHECK = pathlib.Path(__file__).resolve().parent.parent / ".ci/check_sizes.py"


class Sizes(unittest.TestCase):
    def run_on(self, listed, files):
        with tempfile.TemporaryDirectory() as folder:
            for path, text in {".ci/sizes.txt": listed, **{path: "x\n" * lines for path, lines in files.items()}}.items():
                place = pathlib.Path(folder, path)
                place.parent.mkdir(parents=True, exist_ok=True)
                place.write_text(text)
            done = subprocess.run([sys.executable, str(CHECK), folder], capture_output=True, text=True)
            return done.returncode, done.stdout

    def test_short_files_and_listed_ones_pass(self):
        code, out = self.run_on("# lines path\n500 src/old.cpp\n",
                                {"src/a.h": 400, "src/old.cpp": 500, "src/notes.md": 900, "build-ci/made.h": 900})
        self.assertEqual(code, 0, out)

    def test_a_new_long_file_is_refused(self):
        for path in ("src/a/new.cpp", "include/new.h", ".ci/new.py"):
            code, out = self.run_on("", {path: 401})
            self.assertEqual(code, 1)
            self.assertIn(f"{path}: 401 lines, at most 400", out)

    def test_a_listed_file_does_not_grow(self):
        code, out = self.run_on("500 src/old.cpp\n", {"src/old.cpp": 501})
        self.assertEqual(code, 1)
        self.assertIn("src/old.cpp: 501 lines, at most 500", out)

    def test_the_list_follows_what_shrinks_or_goes(self):
        for lines, word in ((450, "lower its bound of 500"), (400, "take it off")):
            code, out = self.run_on("500 src/old.cpp\n", {"src/old.cpp": lines})
            self.assertEqual(code, 1)
            self.assertIn(word, out)
        self.assertEqual(self.run_on("500 src/gone.cpp\n", {})[0], 1)


if __name__ == "__main__":
    unittest.main()
