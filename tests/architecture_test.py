#!/usr/bin/env python3
"""Compares docs/architecture.md with the sources: each module includes the modules of its row and no others, and there is no cycle.

    tests/architecture_test.py REPOSITORY
"""
import pathlib
import re
import sys

INCLUDE = re.compile(r'^\s*#include\s+"([^"]+)"', re.MULTILINE)
ROW = re.compile(r"^\| `(\w+)` \|[^|]*\| ([^|]*) \|$")
PUBLIC_HEADERS = "thornwick"


def documented(page):
    """Module -> the modules that its row allows."""
    table = page.read_text().split("<!-- module-table -->", 1)[1]
    rows = {}
    for line in table.splitlines():
        row = ROW.match(line)
        if row:
            rows[row[1]] = set() if row[2] == "-" else set(row[2].split(", "))
        elif rows and not line.startswith("|"):
            break
    return rows


def module_of(source, root):
    """The module of a source file, or the file's own name without suffix for a file directly in src/."""
    parts = source.relative_to(root).parts
    if parts[0] == "include":
        return PUBLIC_HEADERS
    return parts[1] if len(parts) > 2 else source.stem


def included(root):
    """Module -> the other modules that its files include."""
    uses = {}
    for source in sorted([*root.glob("src/**/*.[ch]pp"), *root.glob("include/**/*.hpp")]):
        module = module_of(source, root)
        uses.setdefault(module, set())
        for name in INCLUDE.findall(source.read_text()):
            used = name.split("/")[0] if "/" in name else module
            if used != module:
                uses[module].add(used)
    return uses


def find_cycle(uses):
    """The modules of one cycle, in order, or an empty list."""
    done = set()

    def visit(module, path):
        if module in path:
            return path[path.index(module):] + [module]
        if module in done:
            return []
        for used in sorted(uses.get(module, ())):
            cycle = visit(used, path + [module])
            if cycle:
                return cycle
        done.add(module)
        return []

    for module in sorted(uses):
        cycle = visit(module, [])
        if cycle:
            return cycle
    return []


def main(root):
    allowed, uses = documented(root / "docs" / "architecture.md"), included(root)
    findings = [f"{module}: has no row in docs/architecture.md" for module in sorted(uses.keys() - allowed.keys())]
    findings += [f"{module}: has a row and no source" for module in sorted(allowed.keys() - uses.keys())]
    for module in sorted(uses.keys() & allowed.keys()):
        findings += [f"{module}: includes {used}, which its row does not name" for used in sorted(uses[module] - allowed[module])]
        findings += [f"{module}: its row names {used}, which it does not include" for used in sorted(allowed[module] - uses[module])]
    cycle = find_cycle(uses)
    if cycle:
        findings.append("cycle: " + " -> ".join(cycle))
    stray = [str(path.relative_to(root)) for path in root.glob("src/*") if path.is_file() and path.name != "main.cpp"]
    findings += [f"{name}: lies in src/ itself, but only main.cpp may" for name in stray]
    print("\n".join(findings) if findings else f"{len(uses)} modules as documented, no cycle")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1]).resolve()))
