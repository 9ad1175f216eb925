"""Changes of a settings file while an instance runs."""

import json
import pathlib

import anyio
import instances

from primrosehitch import jsonc
from primrosehitch import settingswatch

ROOT = pathlib.Path(__file__).parent.parent


def write(path, **changes):
    document = jsonc.read(ROOT / "examples" / "routed" / "edge.json")
    path.write_text(json.dumps({**document, **changes}))


def run_changes(path, changes):
    """Return the hosts of the seeds after each of some changes."""
    seen = []

    async def body():
        watch = settingswatch.SettingsWatch(path)
        watch.attach(lambda seeds: seen.append([s.host for s in seeds]))
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            for change in changes:
                change()
                await anyio.sleep(2 * settingswatch.CHECK_PERIOD_S)
            group.cancel_scope.cancel()

    anyio.run(body)
    return seen


# Guards against: a settings file that changes without a signal counts from
# the next start only.
def test_seeds_of_a_changed_file_are_applied_once(tmp_path):
    path = tmp_path / "edge.json"
    write(path)
    seen = run_changes(
        path,
        [
            lambda: write(path, seeds=["127.0.0.8:1"]),
            lambda: None,
            lambda: write(path, seeds=["127.0.0.9:1"]),
        ],
    )
    assert seen == [["127.0.0.8"], ["127.0.0.9"]]


def test_file_that_is_missing_or_torn_changes_nothing(tmp_path):
    path = tmp_path / "edge.json"
    write(path)
    whole = path.read_text()
    seen = run_changes(
        path,
        [
            path.unlink,
            lambda: path.write_text(whole[:40]),
            lambda: write(path, seeds=["127.0.0.8:1"]),
        ],
    )
    assert seen == [["127.0.0.8"]]


def test_control_instance_links_to_other_seeds(tmp_path):
    async def body():
        async with instances.running_fleet(tmp_path, (2, 3)) as fleet:
            control = fleet.controls[2]
            gone, new = (
                str(instances.address(n, instances.LINK_PORT)) for n in (4, 5)
            )
            assert gone in control.links.peers
            control.replicator.raft.voters = ()
            control.set_seeds(
                [instances.address(n, instances.LINK_PORT) for n in (2, 3, 5)]
            )
            assert new in control.links.peers
            assert gone not in control.links.peers

    instances.run_test(body)


# Guards against: seeds that a signal announces while an instance waits for
# space on its disk are lost.
def test_seeds_read_before_the_instance_runs_are_applied(tmp_path):
    path = tmp_path / "edge.json"
    write(path)
    watch = settingswatch.SettingsWatch(path)
    seen = []
    write(path, seeds=["127.0.0.8:1"])
    watch.read()
    watch.attach(lambda seeds: seen.extend(s.host for s in seeds))
    assert seen == ["127.0.0.8"]
