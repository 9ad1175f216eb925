"""Test of the settings template that the platform fills in."""

import json
import pathlib
import re

import pytest

from primrosehitch import instance

ROOT = pathlib.Path(__file__).parent.parent
TEMPLATE = ROOT / "deploy" / "settings.json.tmpl"
SECTION = re.compile(
    r"\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^]).)*?)\{\{/\2\}\}", re.DOTALL
)
VALUE = re.compile(r"\{\{([\w.]+)\|json\}\}")
VALUES = {
    "node": "edge-1",
    "zone": "za",
    "ip": "127.0.0.2",
    "port_range": [27101, 27110],
    "seeds": ["127.0.0.3:27101"],
    "listen": {"front": "127.0.0.2:27104"},
    "bootstrap": False,
    "data_dir": None,
    "cloud.address": "127.0.0.4:80",
    "bounds.retry_ratio": 0.2,
    "bounds.retry_slack": 50,
    "bounds.retry_window_s": 10,
    "bounds.usage_window_s": 60,
    "bounds.usage_late_s": 10,
    "bounds.grace_s": 8,
    "bounds.lease_ms": 3000,
    "tolerate.machines": 1,
    "limits.memory_mb": 200,
}


def render(values):
    """Return the template as the platform fills it in."""

    def section(match):
        kind, name, text = match.groups()
        return text if (name in values) == (kind == "#") else ""

    text = SECTION.sub(section, TEMPLATE.read_text())
    return VALUE.sub(lambda match: json.dumps(values[match.group(1)]), text)


# Guards against: an instance does not start on a platform that lacks a bound.
@pytest.mark.parametrize("excess", [{}, {"bounds.cold_excess": 1.5}])
@pytest.mark.parametrize("slack", [{}, {"bounds.cold_slack": 5}])
def test_template_is_valid_with_and_without_the_bounds_on_cold_endpoints(
    excess, slack
):
    document = json.loads(render({**VALUES, **excess, **slack}))
    bounds = instance.parse(document, "x").bounds
    assert bounds.cold_excess == excess.get("bounds.cold_excess", 1.0)
    assert bounds.cold_slack == slack.get("bounds.cold_slack", 0)
