"""Tests listed in KNOWN-RED.txt are skipped and printed; all others run."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.common.known_red import read_known_red

pytest_plugins = ["pytester"]

ENTRY = "test_a.py::test_red | pytest test_a.py, seed 7 | 2 instead of 1 | issue 11"


def test_a_listed_test_is_skipped_and_printed(pytester):
    conftest = Path(__file__).parent.parent / "conftest.py"
    source = conftest.read_text().replace(".parent.parent", ".parent")
    pytester.makeconftest(source)
    pytester.path.joinpath("KNOWN-RED.txt").write_text(f"# faults\n\n{ENTRY}\n")
    pytester.makepyfile(
        test_a="def test_red():\n    assert False\n\n"
        "def test_other():\n    assert False\n"
    )
    result = pytester.runpytest_inprocess("-p", "no:cacheprovider")
    result.assert_outcomes(skipped=1, failed=1)
    result.stdout.fnmatch_lines(["KNOWN RED test_a.py::test_red: 2 instead of 1 *"])


def test_a_malformed_entry_is_rejected(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("test_a.py::test_red | seed 7\n")
    with pytest.raises(ValueError, match="KNOWN-RED.txt:1"):
        read_known_red(path)


def test_a_missing_file_lists_no_tests(tmp_path):
    assert read_known_red(tmp_path / "KNOWN-RED.txt") == {}
