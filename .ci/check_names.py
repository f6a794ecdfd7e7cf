#!/usr/bin/env python3
"""Keeps the words of .ci/withdrawn_words.txt out of the folders that .ci/finished_modules.txt lists.

  check_names.py [ROOT]            checks the finished folders: exits 1 on any word, 2 where a list cannot be right
  check_names.py [ROOT] --count    prints how often each word stands in src, include, tests and bench

Checked are identifiers, comments, file names, and string literals that hold a blank: these are texts for people,
while a literal without one is data (a key, a path, a settings name). Names that begin with std:: and paths of
included files are not checked. A finding is printed as `file:line: word, suggestion`.
"""
import argparse
import collections
import dataclasses
import pathlib
import re
import sys
from collections.abc import Iterator

SUFFIXES = (".cpp", ".h")
COUNTED_FOLDERS = ("src", "include", "tests", "bench")
EVERYWHERE, IDENTIFIERS, FUNCTIONS, EDGES = "everywhere", "identifiers", "functions", "edges"
LIST_ERROR = 2

# One token of C++; what matches none of these is punctuation.
TOKEN = re.compile(
    r"""
    (?P<include>^[ \t]*\#[ \t]*include\b[^\n]*)
    | (?P<comment>//[^\n]*|/\*.*?\*/)
    | (?P<raw>(?:u8|[uUL])?R"(?P<delimiter>[^(\s]*)\(.*?\)(?P=delimiter)")
    | (?P<string>"(?:\\.|[^"\\\n])*")
    | (?P<character>'(?:\\.|[^'\\\n])+')
    | (?P<number>\.?\d(?:'?[\w.])*)
    | (?P<standard>\bstd(?:::\w+)+)
    | (?P<identifier>[A-Za-z_]\w*)
    """,
    re.VERBOSE | re.DOTALL | re.MULTILINE,
)
PROSE_WORD = re.compile(r"std(?:::\w+)+|[A-Za-z_]\w*")
PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|\d+")
WORD_GAPS = ("", "_", " ", "-")
CALL = re.compile(r"\s*\(")


class ListError(Exception):
    """A list of words or folders that cannot be right."""


@dataclasses.dataclass(frozen=True)
class Word:
    """A withdrawn word: its parts in lower case, where it is looked for, and what to write in its place."""

    parts: tuple[str, ...]
    scope: str
    suggestion: str

    @property
    def text(self) -> str:
        return " ".join(self.parts)


@dataclasses.dataclass(frozen=True)
class WordList:
    """The words by their first part, and for each edge file the words that it may use."""

    by_first_part: dict[str, list[Word]]
    edges: dict[str, set[str]]


@dataclasses.dataclass(frozen=True)
class Part:
    """One part of an identifier or of prose, and what separates it from the part before."""

    text: str
    gap: str
    offset: int


@dataclasses.dataclass(frozen=True)
class Finding:
    path: str
    line: int
    word: Word

    def __str__(self) -> str:
        return f"{self.path}:{self.line}: {self.word.text}, {self.word.suggestion}"


def lines_of(path: pathlib.Path) -> Iterator[tuple[int, str]]:
    """The lines of a list with their numbers, without blank ones and comments."""
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            yield number, line.strip()


def read_words(root: pathlib.Path) -> WordList:
    path = root / ".ci/withdrawn_words.txt"
    words: list[Word] = []
    edges: dict[str, set[str]] = {}
    section = None
    for number, line in lines_of(path):
        if line.startswith("["):
            section = line.strip("[]")
            if section not in (EVERYWHERE, IDENTIFIERS, FUNCTIONS, EDGES):
                raise ListError(f"{path}:{number}: no such section: {section}")
            continue
        left, separator, right = (text.strip() for text in line.partition("="))
        if section is None or not separator or not left or not right:
            raise ListError(f"{path}:{number}: not of the form `words = suggestion` in a section")
        if section == EDGES:
            edges.setdefault(left, set()).update(text.strip() for text in right.split(","))
        else:
            words += [Word(tuple(text.lower().split()), section, right) for text in left.split(",")]
    check_edges(root, edges, {word.text for word in words})
    by_first_part = collections.defaultdict(list)
    for word in words:
        by_first_part[word.parts[0]].append(word)
    return WordList(dict(by_first_part), edges)


def check_edges(root: pathlib.Path, edges: dict[str, set[str]], known: set[str]) -> None:
    """Raises ListError where an edge file does not exist or a word allowed to it is not a withdrawn one."""
    for file, allowed in edges.items():
        if not (root / file).is_file():
            raise ListError(f".ci/withdrawn_words.txt: no such edge file: {file}")
        for text in sorted(allowed - known):
            raise ListError(f".ci/withdrawn_words.txt: {file} is allowed {text}, which is not withdrawn")


def parts_of(text: str) -> list[Part]:
    """The parts of an identifier or of prose, in order."""
    parts = []
    end = 0
    for word in PROSE_WORD.finditer(text):
        if word.group().startswith("std::"):
            continue
        for found in PART.finditer(word.group()):
            offset = word.start() + found.start()
            parts.append(Part(found.group().lower(), text[end:offset], offset))
            end = offset + len(found.group())
    return parts


def matches(word: Word, parts: list[Part], start: int) -> bool:
    """Whether the word stands at this index of the parts, its own parts with no more than a gap between them."""
    here = parts[start : start + len(word.parts)]
    if tuple(part.text for part in here) != word.parts:
        return False
    return all(part.gap in WORD_GAPS for part in here[1:])


def find_words(words: WordList, text: str, scopes: tuple[str, ...]) -> Iterator[tuple[int, Word]]:
    """Each withdrawn word of these scopes in the text, with its offset."""
    parts = parts_of(text)
    for index, part in enumerate(parts):
        for word in words.by_first_part.get(part.text, []):
            if word.scope in scopes and matches(word, parts, index):
                yield part.offset, word


def function_name(words: WordList, identifier: str) -> Iterator[tuple[int, Word]]:
    """The withdrawn function name that the whole identifier is, if it is one."""
    parts = tuple(part.text for part in parts_of(identifier))
    for word in words.by_first_part.get(parts[0], []) if parts else []:
        if word.scope == FUNCTIONS and word.parts == parts:
            yield 0, word


def find_in_token(words: WordList, source: str, token: re.Match) -> Iterator[tuple[int, Word]]:
    text = token.group()
    kind = token.lastgroup
    if kind == "comment" or (kind in ("string", "raw", "delimiter") and " " in text):
        yield from find_words(words, text, (EVERYWHERE,))
    elif kind == "identifier":
        yield from find_words(words, text, (EVERYWHERE, IDENTIFIERS))
        if CALL.match(source, token.end()):
            yield from function_name(words, text)


def find_in_source(words: WordList, path: str, source: str) -> Iterator[Finding]:
    """Every withdrawn word in a source file, whether its file may use it or not."""
    for _, word in find_words(words, pathlib.PurePath(path).name, (EVERYWHERE, IDENTIFIERS)):
        yield Finding(path, 1, word)
    for token in TOKEN.finditer(source):
        for offset, word in find_in_token(words, source, token):
            yield Finding(path, source.count("\n", 0, token.start() + offset) + 1, word)


def sources_in(folder: pathlib.Path) -> list[pathlib.Path]:
    return [path for path in sorted(folder.rglob("*")) if path.suffix in SUFFIXES and path.is_file()]


def findings_in(root: pathlib.Path, folder: str, words: WordList) -> Iterator[Finding]:
    for path in sources_in(root / folder):
        yield from find_in_source(words, path.relative_to(root).as_posix(), path.read_text())


def check(root: pathlib.Path, words: WordList) -> int:
    """Prints the words that finished folders use and may not; returns the exit status."""
    folders = [line for _, line in lines_of(root / ".ci/finished_modules.txt")]
    for folder in folders:
        if not sources_in(root / folder):
            raise ListError(f".ci/finished_modules.txt: {folder} has no sources")
    faults = 0
    for folder in folders:
        for finding in findings_in(root, folder, words):
            if finding.word.text not in words.edges.get(finding.path, set()):
                print(finding)
                faults += 1
    print(f"names: {len(folders)} finished folders, withdrawn words in them: {faults}")
    return 1 if faults else 0


def count(root: pathlib.Path, words: WordList) -> int:
    """Prints how often each word stands in the tree, the most frequent first, and the sum."""
    counts = collections.Counter(
        finding.word.text for folder in COUNTED_FOLDERS for finding in findings_in(root, folder, words)
    )
    for text, number in counts.most_common():
        print(f"{number:6} {text}")
    print(f"{counts.total():6} in all")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root", type=pathlib.Path, nargs="?", default=pathlib.Path("."))
    parser.add_argument("--count", action="store_true")
    arguments = parser.parse_args()
    try:
        words = read_words(arguments.root)
        return count(arguments.root, words) if arguments.count else check(arguments.root, words)
    except ListError as error:
        print(error)
        return LIST_ERROR


if __name__ == "__main__":
    sys.exit(main())
