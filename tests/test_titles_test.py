#!/usr/bin/env python3
"""Fails on titles of Catch2 tests with a semicolon.

    tests/test_titles_test.py REPOSITORY

CMake separates list items by semicolons, so ctest would ask the test program for a title that no test has. The program
would run no test and count as passed.
"""
import pathlib
import re
import sys

TITLE = re.compile(r'TEST_CASE\(\s*((?:"(?:[^"\\]|\\.)*"\s*)+)')


def main(root):
    sources = sorted((root / "tests").glob("**/*.cpp"))
    titles = [(source, title) for source in sources for title in TITLE.findall(source.read_text())]
    findings = [f"{source.relative_to(root)}: a semicolon in {title.strip()}" for source, title in titles if ";" in title]
    print("\n".join(findings) or f"{len(titles)} titles, none with a semicolon")
    return 1 if findings or not titles else 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])))
