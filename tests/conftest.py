"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.common.known_red import read_known_red

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    red_by_test = read_known_red(KNOWN_RED)
    for item in items:
        red = red_by_test.get(item.nodeid)
        if red is not None:
            item.add_marker(pytest.mark.skip(reason=f"known red: {red.issue}"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for red in read_known_red(KNOWN_RED).values():
        terminalreporter.write_line(
            f"KNOWN RED {red.test}: {red.seen} ({red.issue}; {red.command})"
        )
