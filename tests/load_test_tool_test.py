"""Tests of tools/load_test: fits, error messages and result pages."""

import importlib.machinery
import importlib.util
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOOL = ROOT / "tools" / "load_test"


def load_tool():
    loader = importlib.machinery.SourceFileLoader("load_test_tool", str(TOOL))
    spec = importlib.util.spec_from_loader("load_test_tool", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


sys.dont_write_bytecode = True
tool = load_tool()


class FitTest(unittest.TestCase):
    def test_exact_plane_is_fitted_without_error(self):
        inputs = [[1.0, w, s] for w in (10.0, 20.0, 40.0) for s in (1.0, 2.0, 5.0)]
        line = tool.fit(inputs, [3 + 0.5 * w + 2 * s for _, w, s in inputs])
        for part, value in (("base", 3), ("by_worker", 0.5), ("by_start_a_second", 2)):
            self.assertAlmostEqual(line[part]["value"], value, places=6)
            self.assertAlmostEqual(line[part]["error"], 0, places=5)

    def test_scatter_is_reported_as_error(self):
        inputs = [[1.0, w, s] for w in (10.0, 20.0, 40.0) for s in (1.0, 2.0, 5.0)]
        noise = [0.3, -0.3, 0.1, -0.2, 0.2, -0.1, 0.3, -0.3, 0.0]
        line = tool.fit(inputs, [w + e for (_, w, _), e in zip(inputs, noise)])
        self.assertGreater(line["by_worker"]["error"], 0.001)
        self.assertLess(abs(line["by_worker"]["value"] - 1), 3 * line["by_worker"]["error"])

    def test_underdetermined_points_give_no_fit(self):
        self.assertIsNone(tool.fit([[1.0, 10.0, 1.0]] * 5, [1.0] * 5))
        self.assertIsNone(tool.fit([[1.0, 1.0, 2.0], [1.0, 2.0, 1.0]], [1.0, 2.0]))


class InvalidInputTest(unittest.TestCase):
    def test_error_is_one_line_and_exit_code_2(self):
        with tempfile.TemporaryDirectory() as folder:
            damaged = pathlib.Path(folder) / "damaged"
            damaged.mkdir()
            (damaged / "result.json").write_text("{", encoding="utf-8")
            for arguments, names in (
                (["compare", "no-such-a", "no-such-b"], "no-such-a/result.json"),
                (["compare", str(damaged), str(damaged)], "damaged/result.json"),
                (
                    ["run", "x.toml", "--workers", "1", "--starts", "1", "--build", folder],
                    "not built",
                ),
            ):
                done = subprocess.run(
                    [sys.executable, TOOL, *arguments], capture_output=True, text=True, check=False
                )
                self.assertEqual(done.returncode, 2, arguments)
                self.assertIn(names, done.stderr)
                self.assertEqual(done.stderr.count("\n"), 1, done.stderr)

    def test_invalid_worker_lists_are_rejected(self):
        for workers in ("0", "", "x", "-1", "nan"):
            done = subprocess.run(
                [sys.executable, TOOL, "slopes", "x.toml", "--workers", workers],
                capture_output=True,
                text=True,
                check=False,
            )
            self.assertEqual(done.returncode, 2, workers)


class PageTest(unittest.TestCase):
    def test_page_contains_values_and_failures(self):
        row = {"count": 5, "median_s": 0.1, "p99_s": 0.5, "worst_s": 1.5}
        results = {
            "ok": False,
            "why": ["quota broken <1> times"],
            "start_s": row,
            "start_s_by_class": {"desk": row},
            "accept_s": row,
            "run": {"workers": 5, "starts_wanted": 2.0, "load": 1.0},
        }
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "result.json").write_text(json.dumps(results), encoding="utf-8")
            done = subprocess.run([sys.executable, TOOL, "page", folder], check=False)
            self.assertEqual(done.returncode, 0)
            page = (folder / "page.html").read_text(encoding="utf-8")
        self.assertIn("quota broken &lt;1&gt; times", page)
        self.assertIn("desk", page)
        self.assertIn("p99_s 0.500", page)


if __name__ == "__main__":
    unittest.main()
