"""Tests of tools/regress on synthetic journals, with a fake bench."""

import contextlib
import fcntl
import importlib.machinery
import importlib.util
import io
import json
import pathlib
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "regress"
LOADER = importlib.machinery.SourceFileLoader("regress", str(TOOL))
regress = importlib.util.module_from_spec(importlib.util.spec_from_loader("regress", LOADER))
sys.path.insert(0, str(TOOL.parent))
LOADER.exec_module(regress)
# Modules next to the tool; importable once its folder is on the path.
bench_report = importlib.import_module("bench_report")
bench_sites = importlib.import_module("bench_sites")

# Writes a journal entry for each site on its command line, with the scores from scores.json.
FAKE_BENCH = """#!/usr/bin/env python3
import json, pathlib, sys
score = json.loads(pathlib.Path("scores.json").read_text())
for site in (a for a in sys.argv if a.endswith(".toml")):
    name = pathlib.Path(site).stem
    if name in score:
        entry = dict(score[name], argv=sys.argv[2:], site=name)
        path = pathlib.Path("journal", f"{len(list(pathlib.Path('journal').iterdir()))}.json")
        path.write_text(json.dumps(entry))
sys.exit(score.get("exit", 0))
"""


def entry(score, site="s", quick=True, **overrides):
    day = {"name": "rough", "score": score, "rules": {}, "fault": None, "restarts": 0.0}
    day.update(overrides.pop("day", {}))
    return {
        "cmd": "score",
        "ok": True,
        "site": site,
        "head": "c0ffee",
        "dirty": False,
        "at": ["2026-01-01T00:00:00Z", "2026-01-01T00:01:00Z"],
        "score": score,
        "argv": ["s.toml"] + (["--quick"] if quick else []),
        "days": [day],
        **overrides,
    }


class RegressTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        for name in (
            "journal",
            "docs",
            "kit/more/fleet/bin",
            "kit/more/hunt/bin",
            "kit/next",
            "kit/lean",
        ):
            (self.root / name).mkdir(parents=True)
        bench = self.root / "kit" / regress.BENCH
        bench.write_text(FAKE_BENCH)
        bench.chmod(0o755)
        for group, site in (
            ("more/fleet", "f"),
            ("next", "n"),
            ("lean", "l"),
            ("more", "o"),
            ("more/hunt", "h"),
        ):
            (self.root / "kit" / group / f"{site}.toml").write_text("")

    def write(self, name, content):
        text = content if isinstance(content, str) else json.dumps(content)
        (self.root / name).write_text(text)

    def run_tool(self, *argv):
        out = io.StringIO()
        try:
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
                code = regress.run(["--kit", str(self.root / "kit"), *argv], self.root)
        except bench_sites.InvalidInput as e:
            return 2, str(e)
        except SystemExit as e:
            return e.code, out.getvalue()
        return code, out.getvalue()

    def test_run_compares_scores_with_accepted_ones(self):
        self.write("docs/regression.toml", '[quick]\nf = { score = 0.8, commit = "c" }\n')
        for score, code in ((0.9, 0), (0.77, 0), (0.76, 1)):
            self.write("scores.json", {"f": entry(score)})
            got, text = self.run_tool("fleet")
            self.assertEqual(got, code, text)
            self.assertIn(f"{score - 0.8:+.3f}", text)
            self.assertEqual("FALL" in text, code == 1)

    def test_quick_and_full_run_their_deployments_without_mutual_comparison(self):
        self.write("docs/regression.toml", '[full]\nf = { score = 0.9, commit = "c" }\n')
        self.write("scores.json", {site: entry(0.5) for site in "fnloh"})
        code, text = self.run_tool("quick")
        self.assertEqual(code, 0, text)
        self.assertIn("o (quick)", text)
        self.assertIn("none", text)  # a quick score is not compared with a full one
        for path in (self.root / "journal").glob("*.json"):
            path.unlink()
        code, text = self.run_tool("full")
        self.assertEqual(code, 1)
        self.assertIn("o (full)", text)
        self.assertIn("h (full)", text)

    def test_broken_rule_lost_day_or_process_exit_fails_run(self):
        for day in (
            {"rules": {"quota": 1}},
            {"score": 0.0},
            {"fault": "too slow"},
            {"restarts": 2.0},
        ):
            self.write("scores.json", {"f": entry(0.9, day=day)})
            code, text = self.run_tool("fleet")
            self.assertEqual(code, 1, text)
            self.assertIn("f (quick)", text)
        self.assertIn("2 process exits", text)

    # Rows of a day in the journal: name, share of all jobs, served share.
    def test_served_share_below_half_in_journal_fails_run(self):
        for served, code, expected_text in (
            ([["sort", 0.5, 0.5], ["team red", 1.0, 0.9]], 0, "-"),
            ([["sort", 0.5, 0.9], ["team red", 0.1, 0.49]], 1, "team red 0.49 served"),
            ([["no job of it", 0.0, 0.0]], 0, "-"),
            ([], 0, "-"),
            (None, 0, "-"),
            ([["sort", 0.5]], 2, "served"),
            ([["sort", 0.5, "all"]], 2, "served"),
        ):
            self.write("scores.json", {"f": entry(0.9, day={"served": served})})
            for path in (self.root / "journal").glob("*.json"):
                path.unlink()
            got, text = self.run_tool("fleet")
            self.assertEqual((got, expected_text in text), (code, True), text)

    def test_larger_and_back_derive_sites_from_kit(self):
        site = (
            'seed = 1\n[nodes]\nzones = ["a"]\nrestart_delay_s = 6.0\nmemory_mb = 128.0\n'
            "max_connections = 99\n[[capacity]]\ncount = 3\nspot = 10\n"
            '[[teams]]\nname = "red"\ncpus_max = 5.0\n[[jobs]]\nname = "sort"\ninitial = 2\n'
            'arrivals = { rate = 0.4, swing = 0.1 }\n[[day]]\nname = "loss"\nfaults = '
            '[ { kind = "machine_die", count = 4 }, { kind = "node_crash", count = 2 } ]\n'
        )
        (self.root / "kit/more/fleet/f.toml").write_text(site)
        for verb, capacity, rate, restart_delay_s, fault_counts in (
            ("larger", [5, 15], 0.6, 6.0, [6, 2]),
            ("back", [3, 10], 0.4, 0.3, [4, 2]),
        ):
            path = bench_sites.write_changed_site(
                self.root / "kit/more/fleet/f.toml", verb, self.root
            )
            changed_site = bench_sites.read_toml(path)
            self.assertEqual([changed_site["capacity"][0][k] for k in ("count", "spot")], capacity)
            self.assertAlmostEqual(changed_site["jobs"][0]["arrivals"]["rate"], rate)
            self.assertEqual(changed_site["nodes"]["restart_delay_s"], restart_delay_s)
            self.assertEqual([f["count"] for f in changed_site["day"][0]["faults"]], fault_counts)
        (self.root / "kit/more/fleet/f.toml").write_text("seed = 1")
        for verb in ("larger", "back"):
            code, text = self.run_tool(verb)
            self.assertEqual((code, "f.toml: nodes" in text), (2, True), text)

    def test_missing_score_fails_run(self):
        self.write("scores.json", {"f": entry(0.9), "n": entry(0.9)})
        code, text = self.run_tool("quick")
        self.assertEqual(code, 1)
        self.assertIn("no score for l", text)
        self.write("scores.json", {"exit": 3, "f": entry(0.9)})
        self.assertEqual(self.run_tool("fleet")[0], 1)

    def test_accept_takes_newest_valid_scores(self):
        self.write("journal/1.json", entry(0.5, at=["2026-01-02", "2026-01-02"]))
        self.write("journal/2.json", entry(0.4))
        self.write("journal/3.json", entry(0.6, quick=False))
        self.write("journal/4.json", {"cmd": "hunt", "ok": True})
        self.assertEqual(self.run_tool("accept")[0], 0)
        accepted = regress.read_accepted(self.root / "docs/regression.toml")
        self.assertEqual(
            accepted, {("quick", "s"): (0.5, "c0ffee"), ("full", "s"): (0.6, "c0ffee")}
        )
        self.write("journal/6.json", entry(0.7, site="t"))
        self.assertEqual(self.run_tool("accept", "--site", "t")[0], 0)
        accepted["quick", "t"] = (0.7, "c0ffee")
        self.assertEqual(regress.read_accepted(self.root / "docs/regression.toml"), accepted)
        code, text = self.run_tool("accept", "--site", "u")
        self.assertEqual((code, "--site: u" in text), (2, True))
        for invalid in ({"dirty": True}, {"day": {"rules": {"quota": 1}}}):
            self.write("journal/5.json", entry(0.9, at=["2026-02-02", "2026-02-02"], **invalid))
            self.assertEqual(self.run_tool("accept")[0], 1)
        self.assertEqual(regress.read_accepted(self.root / "docs/regression.toml"), accepted)

    def test_invalid_input_error_names_file_and_key_in_one_line(self):
        invalid_contents = {
            "docs/regression.toml": [
                ("[quick]\nf = { score = 'x', commit = 'c' }", "quick.f.score"),
                ("[quick]\nf = { score = nan, commit = 'c' }", "quick.f.score"),
                ("[quick]\nf = 3", "quick.f"),
                ("[swift]", "swift"),
                ("[quick", "regression.toml"),
            ],
            "journal/9.json": [
                ("{", "9.json"),
                ("[]", "9.json"),
                (entry("x"), "score"),
                (entry(0.5, days=None), "days"),
                (entry(0.5, day={"rules": None}), "rules"),
                (entry(0.5, at=[1]), "at"),
            ],
        }
        for name, cases in invalid_contents.items():
            for content, key in cases:
                self.write(name, content)
                code, text = self.run_tool("show")
                self.assertEqual(code, 2, text)
                self.assertIn(pathlib.Path(name).name, text)
                self.assertIn(key, text)
                self.assertNotIn("\n", text)
            (self.root / name).unlink()

    def test_missing_kit_or_invalid_arguments_exit_with_2(self):
        self.assertEqual(self.run_tool("fast")[0], 2)
        self.assertEqual(self.run_tool("quick", "--loud")[0], 2)
        (self.root / "kit/lean/l.toml").unlink()
        code, text = self.run_tool("quick")
        self.assertEqual((code, "lean" in text), (2, True))
        code, text = self.run_tool("quick", "--kit", str(self.root / "none"))
        self.assertEqual((code, "--kit" in text), (2, True))

    def test_concurrent_run_is_rejected(self):
        (self.root / "target").mkdir()
        self.write("scores.json", {"f": entry(0.9)})
        with open(self.root / "target/regress.lock", "w", encoding="utf-8") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            code, text = self.run_tool("fleet")
            self.assertEqual(code, 2)
            self.assertIn("another run", text)
        self.assertEqual(self.run_tool("fleet")[0], 0)

    # A status line of a leader. Each leader counts ended jobs from its takeover on.
    @staticmethod
    def served_line(leader, **teams):
        return "0.1 info " + json.dumps({"served": {"leader": leader, "teams": teams}}) + "\n"

    def test_team_shares_sum_over_leader_terms(self):
        row = {"done": 30, "withdrawn": 0, "open": 50, "waiting": 40}
        log = (
            self.served_line("a", red=dict(row, done=10))
            + self.served_line("a", red=row)
            + "noise\n"
        )
        log += self.served_line("b", red={"done": 10, "withdrawn": 10, "open": 50, "waiting": 50})
        self.assertEqual(bench_report.served_share_by_team(log), {"red": 0.5})
        # The same controller begins a new term: the jobs of its earlier term still count.
        log += self.served_line("b", red={"done": 0, "withdrawn": 0, "open": 50, "waiting": 0})
        self.assertEqual(bench_report.served_share_by_team(log), {"red": 1.0})
        self.assertEqual(bench_report.served_share_by_team("nothing of it"), {})

    def test_served_share_by_class_and_truncated_log(self):
        def served(**row):
            return bench_report.served_share_by_class({"classes": {"sort": row}}).get("sort")

        self.assertIsNone(served(jobs=0, started=0, done=0, cancelled=0), "no jobs")
        self.assertIsNone(served(jobs=4, started=2, done=0, cancelled=4), "all jobs withdrawn")
        self.assertEqual(served(jobs=4, started=4, done=1, cancelled=0), 0.25, "open at the end")
        self.assertEqual(
            served(jobs=4, started=1, done=0, cancelled=0, up=1.0), 0.25, "not started"
        )
        # A crash truncates the last line of a leader: its previous line counts.
        row = {"done": 8, "withdrawn": 0, "open": 2, "waiting": 2}
        log = self.served_line("a", red=row) + '0.2 info {"served": {"leader": "a", "te'
        self.assertEqual(bench_report.served_share_by_team(log), {"red": 0.8})
        log += "\n" + self.served_line(
            "b", red={"done": 0, "withdrawn": 0, "open": 2, "waiting": 2}
        )
        self.assertEqual(bench_report.served_share_by_team(log), {"red": 0.8})

    def test_started_share_of_largest_jobs(self):
        def largest(row, **class_row):
            return bench_report.started_share_of_largest(
                {"classes": {"sort": class_row}, "largest": {"sort": row}}
            )

        self.assertEqual(
            largest({"jobs": 8, "started": 4}, jobs=80, cancelled=0), {"largest sort": 0.5}
        )
        self.assertEqual(
            largest({"jobs": 8, "started": 3}, jobs=80, cancelled=40),
            {"largest sort": 0.75},
            "cancelled jobs do not count",
        )
        self.assertEqual(
            largest({"jobs": 8, "started": 3}, jobs=80, cancelled=40, up=0.9),
            {"largest sort": 0.375},
            "services end by being cancelled",
        )
        self.assertEqual(
            largest({"jobs": 8, "started": 8}, jobs=80, cancelled=40), {"largest sort": 1.0}
        )
        self.assertEqual(largest({"jobs": 0, "started": 0}, jobs=80, cancelled=0), {})
        self.assertEqual(largest({"jobs": 4, "started": 0}, jobs=80, cancelled=80), {})
        self.assertEqual(
            bench_report.started_share_of_largest({"classes": {}}), {}, "report of an older bench"
        )

    def test_days_fail_on_broken_rule_process_exit_or_low_served_share(self):
        (self.root / "days").mkdir()
        site = '[nodes]\nzones = ["a"]\n[[jobs]]\nname = "sort"\n'
        (self.root / "kit/more/fleet/f.toml").write_text(site)
        self.write("days/d.toml", 'faults = [ { class = "sort" }, { zone = "a" } ]')
        self.write("days/elsewhere.toml", 'faults = [ { class = "mail" } ]')
        bench = self.root / "kit" / regress.BENCH
        bench.write_text(
            """#!/usr/bin/env python3
import pathlib, sys
print(pathlib.Path("line").read_text())
pathlib.Path(sys.argv[sys.argv.index("--report") + 1]).write_text(pathlib.Path("made").read_text())
"""
        )
        team = {"done": 6, "withdrawn": 0, "open": 4, "waiting": 4}
        sort = {"jobs": 12, "started": 10, "done": 6, "cancelled": 2}

        def report(
            rules=0, panics=0, largest={"jobs": 6, "started": 5}, neglected=0, began=12, **row
        ):
            return {
                "rules_broken": {"total": rules, "by_kind": {"quota": rules} if rules else {}},
                "classes": {"sort": dict(sort, **row)},
                "largest": {"sort": largest},
                "teams": {
                    "blue": {"jobs": 12, "started": began},
                    "grey": {"jobs": 0, "started": 0},
                },
                "idle": {"neglected": neglected},
                "node_stats": [{"panics": panics}],
                "fleet": {"tasks_lost": 0, "tasks_killed_by_lease": 0},
                "state": {"refused": 0, "requests": 9},
            }

        for report_content, row, code, expected_text in (
            (report(), team, 0, "sort 0.60"),
            (report(done=4), team, 1, "sort 0.40 served"),
            (report(largest={"jobs": 6, "started": 2}), team, 1, "largest sort 0.40 served"),
            (report(done=0, up=0.9), team, 0, "red 0.60"),
            (report(done=0, up=0.4), team, 1, "sort 0.40 served"),
            (report(), dict(team, waiting=6, open=6), 0, "red 0.50"),
            (report(), dict(team, waiting=8, open=8), 1, "red 0.43 served"),
            (report(began=6), team, 0, "team blue 0.50"),
            (report(began=5), team, 1, "team blue 0.42 served"),
            (report(neglected=3), team, 1, "3 jobs waiting despite free capacity"),
            (report(wait_s={"p50": 240.0, "p80": 250.0}), team, 0, "begun sort 0.50"),
            (report(wait_s={"p50": 480.0, "max": 900.0}), team, 1, "begun sort 0.25 served"),
            (report(rules=1), team, 1, "quota 1"),
            (report(panics=1), team, 1, "1 process exits"),
            ("{", team, 1, "no report"),
        ):
            self.write("made", report_content)
            self.write("line", self.served_line("a", red=row))
            got, text = self.run_tool("days")
            self.assertEqual((got, expected_text in text), (code, True), text)
            self.assertNotIn("elsewhere", text)
        # A day fails if the bench rejects it or cannot run it; no other bench is tried.
        other = self.root / "kit/more/fleet/bin/fleetbench"
        other.write_text(bench.read_text())
        other.chmod(0o755)
        self.write("made", report())
        self.write("line", self.served_line("a", red=team))
        for word in ("unknown variant `mute`", "the build failed"):
            bench.write_text(f'#!/usr/bin/env python3\nimport sys\nsys.exit("{word}")\n')
            got, text = self.run_tool("days")
            self.assertEqual((got, "no report" in text), (1, True), text)
        self.write("days/d.toml", "faults = [")
        code, text = self.run_tool("days")
        self.assertEqual((code, "d.toml" in text), (2, True))

    def test_days_run_on_fleet_and_hunt_sites_with_each_seed(self):
        (self.root / "days").mkdir()
        site = '[nodes]\nzones = ["a"]\n[[jobs]]\nname = "sort"\n'
        for name in ("fleet/f", "hunt/h"):
            (self.root / f"kit/more/{name}.toml").write_text(site)
        self.write(
            "days/d.toml",
            'teams = [ { name = "red", cpus_max = 5.0 } ]\nfaults = '
            '[ { kind = "cancel_now", count = 3 }, { zone = "a" } ]\n',
        )
        bench = self.root / "kit" / regress.BENCH
        bench.write_text(
            """#!/usr/bin/env python3
import pathlib, sys
with open("asked", "a", encoding="utf-8") as asked:
    asked.write(" ".join(pathlib.Path(a).name for a in sys.argv[2:4]) + " "
                + " ".join(sys.argv[sys.argv.index("--why"):]) + "\\n")
    asked.write(pathlib.Path(sys.argv[3]).read_text())
"""
        )
        for argv, runs in (
            (
                ["days"],
                ["f.toml d.toml --why regression run", "h.toml d.toml --why regression run"],
            ),
            (
                ["back", "--site", "h", "--seed", "3", "--seed", "4"],
                [
                    "h.toml d.toml --why regression run --seed 3",
                    "h.toml d.toml --why regression run --seed 4",
                ],
            ),
            (["larger", "--site", "f", "--why", "trial"], ["f.toml d.toml --why trial"]),
        ):
            code, text = self.run_tool(*argv)
            self.assertEqual((code, text.count("no report")), (1, len(runs)), text)
            bench_log = (self.root / "asked").read_text()
            (self.root / "asked").unlink()
            self.assertEqual([line for line in bench_log.splitlines() if "--why" in line], runs)
            # Team limits and cancellations scale with the jobs.
            for enlarged in ("7.5", '"count" = 5'):
                self.assertEqual(enlarged in bench_log, argv[0] == "larger", bench_log)
        code, text = self.run_tool("days", "--site", "n")
        self.assertEqual((code, "none fits the selected sites" in text), (2, True), text)

    def test_share_started_in_time_is_interpolated_between_quantiles(self):
        for waits, share in (
            ({}, None),
            ({"p50": None}, None),
            ({"p50": 10.0, "max": 240.0}, 1.0),
            ({"p50": 480.0}, 0.25),
            ({"p50": 200.0, "p80": 280.0}, 0.65),
            ({"p50": 0.0, "p80": 0.0, "p90": 960.0, "max": 990.0}, 0.825),
        ):
            got = bench_report.share_started_in_time(waits)
            self.assertEqual(got if got is None else round(got, 9), share, waits)
        row = {"jobs": 8, "started": 4, "done": 4, "cancelled": 4, "wait_s": {"max": 9.0}}
        self.assertEqual(
            bench_report.started_share_by_class({"classes": {"sort": row}}), {"begun sort": 1.0}
        )
        self.assertEqual(
            bench_report.started_share_by_class({"classes": {"sort": dict(row, up=1.0)}}),
            {"begun sort": 0.5},
            "services end by being cancelled",
        )

    def test_starts_prints_steps_and_skips_malformed_lines(self):
        start = {f"{step}_s": 1.5 for step in bench_report.START_STEPS}
        start.update(node="nestbox-0", machines=12, orders=3, half_s=None)
        log = self.root / "log"
        log.write_text(
            "noise\n0.2 info "
            + json.dumps({"start": start})
            + '\n{"start": {"node": 1}}\n{"start": {\n'
        )
        code, text = self.run_tool("starts", str(log))
        self.assertEqual(code, 0, text)
        self.assertIn("1 starts", text)
        self.assertIn("nestbox-0", text)
        self.assertEqual(text.count("malformed start line"), 2, text)
        log.write_text("noise")
        self.assertEqual(self.run_tool("starts", str(log))[0], 1)
        self.assertEqual(self.run_tool("starts", str(self.root / "none"))[0], 2)
        self.assertEqual(self.run_tool("starts")[0], 2)
        self.assertEqual(self.run_tool("show", "log")[0], 2)


if __name__ == "__main__":
    unittest.main()
