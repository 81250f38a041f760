#!/usr/bin/env python3
"""Checks that the names that leave the process are in the sources.

    tests/external_names_test.py REPOSITORY

tests/external_names.txt has one name a line: fields and values of messages, keys of settings and scenarios, commands, options,
environment variables, metrics, log fields, names of stored tables and files. Clients, peers, operators and stored data rely on
them, so each must be in the sources letter for letter: as a whole string literal, as a key within one (`name=` or `"name":`),
or, in a build file or a script, as a whole word. A name with a space is a fragment of a text and must be within one literal.
"""
import pathlib
import re
import subprocess
import sys

TOKEN = re.compile(r'#include[^\n]*|//[^\n]*|/\*.*?\*/|R"(?P<mark>[^()\s\\]{0,16})\((?P<raw>.*?)\)(?P=mark)"'
                   r"|\"(?P<text>(?:[^\"\\\n]|\\.)*)\"|'(?:[^'\\\n]|\\.)+'", re.DOTALL)
KEY = re.compile(r'(?<![\w.-])([A-Za-z_][\w.-]*)=|"([A-Za-z_][\w.-]*)"\s*:')


def tracked_files(root, *patterns):
    command = ["git", "ls-files", "--cached", "--others", "--exclude-standard", "--", *patterns]
    names = subprocess.run(command, cwd=root, check=True, capture_output=True, text=True).stdout.split()
    return [root / name for name in names if (root / name).is_file()]


def literals_of(path):
    """The string literals of a source file, without quotes and with \\" as "."""
    for token in TOKEN.finditer(path.read_text()):
        if token["raw"] is not None:
            yield token["raw"]
        elif token["text"] is not None:
            yield token["text"].replace('\\"', '"')


def names_in_sources(root):
    """(names, literals): the whole literals, keys and words that count as names, and every literal of src/ and include/."""
    literals = {text for path in tracked_files(root, "src/*.cpp", "src/*.hpp", "include/*.hpp") for text in literals_of(path)}
    names = set(literals)
    for text in literals:
        names.update(key for match in KEY.findall(text) for key in match if key)
    for path in tracked_files(root, "CMakeLists.txt", "*/CMakeLists.txt", "scripts/*"):
        names.update(re.findall(r"[\w.:-]+", path.read_text()))
    return names, literals


def main(root):
    names, literals = names_in_sources(root)
    listed = (root / "tests" / "external_names.txt").read_text().splitlines()
    expected = [line for line in listed if line]
    findings = [f"tests/external_names.txt: '{name}' is not in the sources" for name in expected
                if name not in names and not (" " in name and any(name in text for text in literals))]
    findings += [f"tests/external_names.txt: '{name}' is listed twice" for name in {n for n in expected if expected.count(n) > 1}]
    print("\n".join(findings) or f"{len(expected)} names that leave the process are in the sources")
    return 1 if findings or not expected else 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])))
