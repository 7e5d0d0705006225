import re
from pathlib import Path
from typing import Any

PAGE = Path(__file__).parents[2] / "docs" / "BENCH.md"


def test_the_code_example_runs_until_members_agree():
    code = re.search(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    assert code is not None
    names: dict[str, Any] = {}
    exec(code.group(1), names)
    views = [sorted(m.state.view.members) for m in names["by_id"].values()]
    assert views == [["a", "b", "c"]] * 3
