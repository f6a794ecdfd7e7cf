#!/usr/bin/env python3
"""Tests of the check that holds includes to what rooms declare: planted faults are found."""
import unittest

from planted import run_check


class Rooms(unittest.TestCase):
    def run_on(self, files):
        tree = {"src/CMakeLists.txt": "target_link_libraries(passbridge PRIVATE willowrail_low)\n",
                "src/decide/a.cpp": '#include "low/low.h"\n#include "decide/a.h"\n', "src/decide/a.h": "", "src/low/low.h": "", "include/p/p.h": "",
                "src/low/CMakeLists.txt": "willowrail_room(low SOURCES low.cpp)\n", **files}
        return run_check("check_rooms.py", tree)

    def test_what_is_declared_passes(self):
        code, out = self.run_on({"src/high/CMakeLists.txt": "willowrail_room(high SOURCES h.cpp USES low)\n",
                                 "src/high/h.cpp": '#include "low/low.h"\n#include <vector>\n'})
        self.assertEqual(code, 0, out)

    def test_an_include_that_is_not_declared_is_named(self):
        code, out = self.run_on({"src/high/CMakeLists.txt": "willowrail_room(high SOURCES h.cpp)\n",
                                 "src/high/h.cpp": '\n#include "low/low.h"\n'})
        self.assertEqual(code, 1)
        self.assertIn("high/h.cpp:2: includes from low", out)

    def test_no_room_sees_into_the_decision_module(self):
        code, out = self.run_on({"src/high/CMakeLists.txt": "willowrail_room(high SOURCES h.cpp USES low passbridge)\n",
                                 "src/high/h.cpp": '#include "p/p.h"\n#include "decide/a.h"\n'})
        self.assertEqual(code, 1)
        self.assertIn("high/h.cpp:2: includes from decide", out)

    def test_a_circle_and_an_unknown_room_are_refused(self):
        code, out = self.run_on({"src/low/CMakeLists.txt": "willowrail_room(low SOURCES low.cpp USES high)\n",
                                 "src/high/CMakeLists.txt": "willowrail_room(high SOURCES h.cpp USES low)\n"})
        self.assertEqual(code, 2)
        self.assertIn("in a circle", out)
        code, out = self.run_on({"src/low/CMakeLists.txt": "willowrail_room(low SOURCES low.cpp USES nowhere)\n"})
        self.assertEqual(code, 2)
        self.assertIn("uses nowhere", out)


if __name__ == "__main__":
    unittest.main()
