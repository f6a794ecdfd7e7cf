"""What the tests of CI's checks share: a small tree with planted files, and a check run on it."""
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent


def plant(folder, files):
    """Writes the files, each a path and its text, into the folder."""
    for path, text in files.items():
        place = pathlib.Path(folder, path)
        place.parent.mkdir(parents=True, exist_ok=True)
        place.write_text(text)


def run_check(check, files):
    """Runs .ci/CHECK on a tree of these files: its exit status and what it printed."""
    with tempfile.TemporaryDirectory() as folder:
        plant(folder, files)
        done = subprocess.run([sys.executable, str(ROOT / ".ci" / check), folder], capture_output=True, text=True)
        return done.returncode, done.stdout
