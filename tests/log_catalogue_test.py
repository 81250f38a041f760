#!/usr/bin/env python3
"""Compares the catalogue of log lines in docs/oncall.md with the sources, in both directions.

    tests/log_catalogue_test.py REPOSITORY

Every log line of src/ must have a row with its part, text and level, and every row must have a line. In a row,
a word in capitals stands for a value, and [brackets] enclose an optional fragment.
"""
import itertools
import pathlib
import re
import sys

PART = r'(kLogPart|"\w+")'
CALL = re.compile(
    rf"logging::(?:(debug|info|warning|error)\(\s*{PART}\s*\)|Line(?:\s+(\w+))?\(\s*([^;\"]*?),\s*{PART}\s*\))")
LITERAL = re.compile(r'\s*((?:"(?:[^"\\]|\\.)*"\s*)+)')
TERNARY = re.compile(r"\((?P<condition>.*)\?(?P<yes>[^?]*) : (?P<no>.*)\)", re.DOTALL)
GAP = None  # a value in a text
PLACEHOLDER = r"[A-Z][A-Z_]*"
ROW = re.compile(r"^\| `(\w+)` \| `(.*?)` \| ([a-z, ]+) \| [^|]+ \| [^|]+ \|$")
LEVEL = re.compile(r"(?:Level|Severity)::(\w+)")

# The beginning of every call that writes a log line; CALL must match each of them.
ANY_CALL = re.compile(r"logging::(?:debug|info|warning|error)\(|logging::Line(?:\s+\w+)?\(|"
                      r"using (?:namespace )?(?:\w+::)*logging(?:::(?:debug|info|warning|error|Line))?;|namespace \w+ = [\w:]*logging;")

# Functions that write texts of their callers. The functions that compose the texts are read instead.
FORWARDERS = {
    ("src/node/cluster_replication.cpp", "write_log"),
    ("src/node/cluster.cpp", "log_change"),
    ("src/node/decider_chain.cpp", "report_logger"),
    ("src/tracing/trace.cpp", "write_line"),
}


def split_at(text, operator):
    """Splits at an operator outside parentheses, braces, brackets and strings."""
    pieces, depth, begin, at = [], 0, 0, 0
    while at < len(text):
        if text[at] == '"':
            at += re.compile(r'"(?:[^"\\]|\\.)*"').match(text, at).end() - at
            continue
        depth += (text[at] in "({[") - (text[at] in ")}]")
        if depth < 0:
            break
        if depth == 0 and text.startswith(operator, at):
            pieces.append(text[begin:at])
            begin = at = at + len(operator)
            continue
        at += 1
    return [*pieces, text[begin:at]]


def alternatives(operand):
    """The alternatives that an operand may contribute to a text, each a literal or GAP."""
    operand = operand.strip()
    literal = LITERAL.fullmatch(operand)
    if literal:
        return ["".join(re.findall(r'"((?:[^"\\]|\\.)*)"', literal[1])).replace('\\"', '"')]
    ternary = TERNARY.fullmatch(operand)
    if ternary and '"' in ternary["yes"]:
        return alternatives(ternary["yes"]) + alternatives(ternary["no"])
    return [GAP]


class Source:
    """The log lines of one source file: (part, levels, texts), each text a list of literals and GAPs."""

    def __init__(self, path, root):
        self.name = str(path.relative_to(root))
        self.text = re.sub(r"(?m)(^|\s)//.*$", "", path.read_text())
        constant = re.search(r'kLogPart = "(\w+)"', self.text)
        self.constant = constant[1] if constant else None
        self.lines = []
        self.read_calls()
        if self.name.startswith("src/replication/"):
            self.read_builder(r"write_log\(\s*Severity::(\w+),", "replication", [])
        if self.name.startswith("src/membership/"):
            self.read_reports()
        if self.name == "src/node/decider_chain.cpp":
            self.read_drain_reports()
        if self.name == "src/tracing/trace.cpp":
            self.read_trace_lines()

    def function_at(self, position):
        """The name of the function around a position."""
        heads = re.findall(r"(?m)^ {0,2}[a-z][^;={]*?(\w+)\([^;{]*\{", self.text[:position])
        return heads[-1] if heads else ""

    def unread_calls(self):
        """The number of log calls in a form that this test cannot read."""
        return len(ANY_CALL.findall(self.text)) - len(CALL.findall(self.text))

    def add(self, part, levels, operands):
        for text in itertools.product(*(alternatives(operand) for operand in operands)):
            self.lines.append((part, frozenset(levels), list(text)))

    def read_calls(self):
        for call in CALL.finditer(self.text):
            if (self.name, self.function_at(call.start())) in FORWARDERS:
                continue
            part = call[2] or call[5]
            part = self.constant if part == "kLogPart" else part.strip('"')
            levels = [call[1]] if call[1] else self.levels_of(call)
            if call[3]:
                self.add_variable(part, levels, call)
            else:
                rest = self.text[call.end():].lstrip(")")
                self.add(part, levels, split_at(split_at(rest, ";")[0], "<<")[1:])

    def levels_of(self, call):
        """The levels of a Line: those in its argument, or in the variable's definition just before."""
        named = LEVEL.findall(call[4])
        if named:
            return named
        definitions = re.findall(rf"\b{call[4]} = ([^;]*);", self.text[:call.start()])
        return LEVEL.findall(definitions[-1])

    def add_variable(self, part, levels, call):
        """Reads a line in a variable: all operands that are streamed into it until the end of the function."""
        variants = [[]]
        body = self.text[call.end():self.text.index("\n}", call.end())]
        for statement in body.split(";"):
            operands, optional = self.streamed(statement, call[3])
            if operands:
                longer = [before + operands for before in variants]
                variants = variants + longer if optional else longer
        for operands in variants:
            self.add(part, levels, operands)

    def streamed(self, statement, variable):
        """The operands that a statement streams into the line, and whether it does so only sometimes."""
        statement = statement.strip()
        direct = re.match(rf"(if \(.*\) )?{variable} << ", statement)
        if direct:
            return split_at(statement[direct.end():], "<<"), direct[1] is not None
        helper = re.match(rf"(\w+)\({variable}\b", statement)
        if not helper:
            return [], False
        body = re.search(rf"::{helper[1]}\(logging::Line& (\w+)[^;]*?\{{(.*?)\n\}}", self.text, re.DOTALL)
        return [operand for inner in body[2].split(";") for operand in self.streamed(inner, body[1])[0]], False

    def read_builder(self, call, part, prefix):
        for found in re.finditer(call, self.text):
            self.add(part, [found[1]], [*prefix, *split_at(split_at(self.text[found.end():], ",")[0], "+")])

    def read_reports(self):
        for found in re.finditer(r"\bstate_?\.report\(", self.text):
            _, text, *level = split_at(self.text[found.end():], ",")
            self.add("membership", LEVEL.findall(level[0]) if level else ["info"], ["name", '": "', *split_at(text, "+")])

    def read_drain_reports(self):
        body = re.search(r" description_of\(.*?\n}", self.text, re.DOTALL)[0]
        for literal in re.findall(r'return ("[^"]*")', body):
            self.add("drain", ["info", "debug"], ['"replica "', "uid", '": "', literal])

    def read_trace_lines(self):
        for found in re.finditer(r"\bwrite_line\((?=\")", self.text):
            event, *fields = split_at(self.text[found.end():], ",")
            self.add("trace", ["debug"], [event, '" at="', "now", *fields])


def pattern_of(text):
    return re.compile("".join(PLACEHOLDER if piece is GAP else re.escape(piece) for piece in text))


def readable(text):
    return "".join("VALUE" if piece is GAP else piece for piece in text)


def variants(text):
    """A row's text with each of its [optional pieces] and without."""
    pieces = re.split(r"\[([^\]]*)\]", text)
    choices = [[piece] if i % 2 == 0 else ["", piece] for i, piece in enumerate(pieces)]
    return ["".join(choice) for choice in itertools.product(*choices)]


def rows_of(page):
    """(part, levels, text) of each row, and the rows that cannot be read."""
    table = page.read_text().split("<!-- log-catalogue -->", 1)[1].split("<!-- end of log-catalogue -->", 1)[0]
    rows, unreadable = [], []
    for line in table.strip().splitlines()[2:]:
        row = ROW.match(line)
        if row:
            rows.append((row[1], frozenset(row[3].split(", ")), row[2]))
        else:
            unreadable.append(f"docs/oncall.md: not a row of the catalogue: {line}")
    return rows, unreadable


def main(root):
    lines, unread = [], []
    for path in sorted(root.glob("src/**/*.[ch]pp")):
        if path.parent.name != "logging":
            source = Source(path, root)
            lines += [(source.name, *line) for line in source.lines]
            if source.unread_calls():
                unread.append(f"{source.name}: has log calls in a form that this test cannot read")
    rows, faults = rows_of(root / "docs" / "oncall.md")
    faults += unread
    expected = [(part, levels, variant) for part, levels, text in rows for variant in variants(text)]
    used = set()
    for name, part, levels, text in lines:
        pattern = pattern_of(text)
        found = {row for row in expected if row[:2] == (part, levels) and pattern.fullmatch(row[2])}
        used |= found
        if not found:
            faults.append(f"{name}: has no row in docs/oncall.md: {', '.join(sorted(levels))} {part}: {readable(text)}")
    faults += [f"docs/oncall.md: no source writes: {', '.join(sorted(levels))} {part}: {text}"
               for part, levels, text in expected if (part, levels, text) not in used]
    print("\n".join(faults) if faults else f"{len(lines)} texts of log lines, {len(rows)} rows: all match")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1]).resolve()))
