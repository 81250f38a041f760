"""Runs scripts/fleet_counts on short invented logs of two routers, one of them restarted, with trace lines of the current and of earlier versions."""
import pathlib
import subprocess
import sys
import tempfile

FIRST = """0.000 info main: n0 serves on 10.0.0.1:9000, 756 descriptors, 2 targets known
0.000 debug trace: endpoints at=1000000 scope=cached entries=2
0.000 debug trace: endpoint at=1000000 replica=s-1 state=ready started=0 zone=0 kind=0 weight=1
0.100 debug trace: request at=1100000 request=1 class=0 member=0 prompt_tokens=10 prefix_tokens=0 max_tokens=5 work=9 session=1 prefix=0 client_repeat=0 resumed=0 expected_cached_tokens=0 time_left=900000
0.100 debug trace: send at=1100000 request=1 replica=s-1
0.120 debug trace: attempt_result at=1120000 request=1 attempt=0 replica=s-1 outcome=connect_failed elapsed=20000 concluded=0 prompt_tokens=0 cached_tokens=0
0.120 debug trace: send at=1120000 request=1 replica=s-2
0.220 debug trace: first_token at=1220000 request=1 attempt=1 replica=s-2 elapsed=100000
0.320 debug trace: attempt_result at=1320000 request=1 attempt=1 replica=s-2 outcome=served elapsed=200000 concluded=1 prompt_tokens=10 cached_tokens=4
0.400 info main: n0 serves on 10.0.0.1:9000, 756 descriptors, 2 targets known
0.400 debug trace: watch_endpoints at=1400000
0.450 debug trace: endpoints at=1450000 scope=failed entries=0
garbled debug trace: attempt_result at=
"""
SECOND = """0.000 info main: n1 serves on 10.0.0.2:9000, 756 descriptors, 2 targets known
0.100 debug trace: request at=1150000 request=1 class=2 member=1 prompt_tokens=10 prefix_tokens=0 max_tokens=5 work=9 session=2 prefix=0 client_repeat=1 resumed=0 expected_cached_tokens=0 time_left=900000
0.100 debug trace: reject at=1150000 request=1 retry_after=200000
0.200 debug trace: message_sent at=1200000 peer=4294967295 bytes=7
"""
# The same events with the names that trace lines had in earlier versions.
OLD_FIRST = """0.000 info main: n0 serves on 10.0.0.1:9000, 756 descriptors, 2 targets known
0.000 debug trace: list at=1000000 scope=cached entries=2
0.000 debug trace: entry at=1000000 box=s-1 state=ready started=0 zone=0 kind=0 weight=1
0.100 debug trace: arrive at=1100000 x=1 class=0 member=0 prompt=10 prefix_tokens=0 max=5 work=9 session=1 prefix=0 repeat=0 resumed=0 believed=0 wait=900000
0.100 debug trace: send at=1100000 x=1 box=s-1
0.120 debug trace: result at=1120000 x=1 attempt=0 box=s-1 outcome=connect_failed took=20000 concluded=0 prompt=0 kept=0
0.120 debug trace: send at=1120000 x=1 box=s-2
0.220 debug trace: first at=1220000 x=1 attempt=1 box=s-2 took=100000
0.320 debug trace: result at=1320000 x=1 attempt=1 box=s-2 outcome=served took=200000 concluded=1 prompt=10 kept=4
0.400 info main: n0 serves on 10.0.0.1:9000, 756 descriptors, 2 targets known
0.400 debug trace: watch at=1400000
0.450 debug trace: list at=1450000 scope=failed entries=0
garbled debug trace: result at=
"""
OLD_SECOND = """0.000 info main: n1 serves on 10.0.0.2:9000, 756 descriptors, 2 targets known
0.100 debug trace: arrive at=1150000 x=1 class=2 member=1 prompt=10 prefix_tokens=0 max=5 work=9 session=2 prefix=0 repeat=1 resumed=0 believed=0 wait=900000
0.100 debug trace: refuse at=1150000 x=1 back=200000
0.200 debug trace: tell at=1200000 peer=4294967295 bytes=7
"""


def run(*arguments):
    return subprocess.run([sys.executable, sys.argv[1], *arguments], capture_output=True, text=True)


def row(text, heading):
    """The first row under the heading that has this column, as a dict."""
    lines = text.splitlines()
    at = next(i for i, line in enumerate(lines) if heading in line.split())
    return dict(zip(lines[at].split(), lines[at + 1].split()))


def check_counts(first, second):
    """Runs the script on the logs of two routers, checks its counts and returns its tables."""
    with tempfile.TemporaryDirectory() as folder:
        logs = [pathlib.Path(folder, name) for name in ("n0.log", "n1.log", "n2.log")]
        logs[0].write_text(first)
        logs[1].write_text(second)
        logs[2].write_text("0.000 info main: n2 serves on 10.0.0.3:9000, 756 descriptors, 2 targets known\n")
        good = run("--boxes", *map(str, logs[:2]))
        assert good.returncode == 0, good
        assert "1 lines could not be read" in good.stderr, good.stderr
        requests = row(good.stdout, "arrive")
        for name, count in {"arrive": "2", "repeats": "1", "send": "2", "again": "1", "refuse_untried": "1", "first": "1"}.items():
            assert requests[name] == count, (name, requests)
        ended = row(good.stdout, "end_connect_failed")
        assert ended["end_connect_failed"] == "1" and ended["list_failed"] == "1" and ended["tell"] == "1", ended
        assert float(row(good.stdout, "kept_part")["kept_part"]) == 0.4
        assert float(row(good.stdout, "kept_part")["first_ms"]) == 120.0
        lacking = run(*map(str, logs))
        assert lacking.returncode == 1 and "n2.log: no trace lines" in lacking.stderr, lacking
    return good.stdout


new = check_counts(FIRST, SECOND)
old = check_counts(OLD_FIRST, OLD_SECOND)
mixed = check_counts(OLD_FIRST, SECOND)  # a fleet during an upgrade
assert new == old == mixed, (new, old, mixed)
print("3 passed, 0 failed")
