"""Pytest hooks that skip the tests listed in KNOWN-RED.txt and print them."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.common.known_red import read_known_red

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    entry_by_test = read_known_red(KNOWN_RED)
    for item in items:
        entry = entry_by_test.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.skip(reason=f"known red: {entry.issue}"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for entry in read_known_red(KNOWN_RED).values():
        terminalreporter.write_line(
            f"KNOWN RED {entry.test}: {entry.seen} ({entry.issue}; {entry.command})"
        )
