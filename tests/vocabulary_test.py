#!/usr/bin/env python3
"""Fails on words that were replaced by the terms of the glossary in docs/architecture.md.

    tests/vocabulary_test.py REPOSITORY

Sources, tests and pages are searched line by line, whole words in any case; data that tests record is not. tests/vocabulary.txt has

    word | the term in its place
    allow | word | path prefix | reason    the word stays in a file format, a protocol, a command or an operators' page
    left | word | path | count             maximum number of places in a file that is not reworded yet

An allowed or left place that no longer has the word is also an error, so that the list only gets shorter.
"""
import collections
import pathlib
import re
import subprocess
import sys

SEARCHED = ("*.cpp", "*.hpp", "*.md")
LEFT_OUT = ("journal/", "CHANGELOG.md", "tests/vocabulary")
GLOSSARY = "## Glossary"  # of docs/architecture.md: it names the old words beside the terms


def read_list(path):
    """(word -> term, [(word, path prefix)], (word, path) -> count)"""
    terms, allowed, left = {}, [], {}
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        columns = [column.strip() for column in line.split("|")]
        if columns[0] == "allow":
            _, word, prefix, reason = columns
            assert word in terms and reason, f"not 'allow | word | path prefix | reason': {line}"
            allowed.append((word, prefix))
        elif columns[0] == "left":
            _, word, name, count = columns
            left[word, name] = int(count)
        else:
            word, term = columns
            terms[word] = term
    return terms, allowed, left


def text_of(root, name):
    text = (root / name).read_text()
    return text.split(GLOSSARY, 1)[0] if name == "docs/architecture.md" else text


def searched_files(root):
    command = ["git", "ls-files", "--cached", "--others", "--exclude-standard", "--", *SEARCHED]
    names = subprocess.run(command, cwd=root, check=True, capture_output=True, text=True).stdout.split()
    return [name for name in names if not name.startswith(LEFT_OUT) and (root / name).is_file()]


def find_places(root, terms):
    """(word, file) -> the lines that have the word."""
    words = re.compile(r"(?<![:.])\b(" + "|".join(terms) + r")\b", re.IGNORECASE)
    places = collections.defaultdict(list)
    for name in searched_files(root):
        for number, line in enumerate(text_of(root, name).splitlines(), start=1):
            for found in words.findall(line):
                places[found.lower(), name].append(number)
    return places


def main(root):
    terms, allowed, left = read_list(root / "tests" / "vocabulary.txt")
    places = find_places(root, terms)
    used, findings = set(), []
    for (word, name), lines in sorted(places.items(), key=lambda place: place[0][1]):
        rule = next((rule for rule in allowed if rule[0] == word and name.startswith(rule[1])), None)
        if rule:
            used.add(rule)
        elif len(lines) > left.get((word, name), 0):
            findings += [f"{name}:{number}: '{word}': say {terms[word]}" for number in lines]
    findings += [f"tests/vocabulary.txt: '{word}' is allowed in {prefix}, which does not have it"
                 for word, prefix in allowed if (word, prefix) not in used]
    findings += [f"tests/vocabulary.txt: '{word}' is left in {name}, which does not have it"
                 for word, name in left if (word, name) not in places]
    print("\n".join(findings) or f"{len(terms)} replaced words: {len(allowed)} rules allow one, {sum(left.values())} places are left")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])))
