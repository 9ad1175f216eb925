"""primrosehitch-lab: emulators, demo, load and experiments."""

import asyncio
import pathlib
import sys
import time
from typing import Any

import fire

from primrosehitch import jsonc

UP_PORT = 22000


def _settings(file: str) -> Any:
    return jsonc.read(pathlib.Path(file))


class Commands:
    """Development programs of primrosehitch."""

    def engine(self, file: str) -> None:
        """Run one emulated engine."""
        from primrosehitch_lab import engine

        asyncio.run(engine.run(_settings(file)))

    def service(self, file: str) -> None:
        """Run one plain service."""
        from primrosehitch_lab import services

        asyncio.run(services.run_service(_settings(file)))

    def platform(self, file: str) -> None:
        """Run the platform and usage stand-in."""
        from primrosehitch_lab import services

        asyncio.run(services.run_platform(_settings(file)))

    def demo(self) -> None:
        """Run the main job on the embedded default."""
        from primrosehitch_lab import demo

        sys.exit(demo.run())

    def slopes(self, nodes: tuple[int, ...] = (7, 21, 49)) -> str:
        """Measure the slopes behind docs/CAPACITY.md."""
        from primrosehitch import porcelain
        from primrosehitch_lab import slopes

        rows = [row._asdict() for row in slopes.run(tuple(nodes))]
        return porcelain.format_table(rows, slopes.Row._fields)

    def bench(self) -> str:
        """Compare the router's processor time with a bare relay's."""
        from primrosehitch import porcelain
        from primrosehitch_lab import bench

        parts = [porcelain.format_table(r, tuple(r[0])) for r in bench.run()]
        return "\n\n".join(parts)

    def bench_serve(self, role: str, address: str, target: str) -> None:
        """Run a part of the benchmark."""
        import uvloop

        from primrosehitch_lab import bench

        uvloop.run(bench.serve(role, address, target))

    def experiment(self, name: str = "") -> str:
        """Run the experiment NAME, or all."""
        from primrosehitch import porcelain
        from primrosehitch_lab import experiments

        parts = []
        for known, run in experiments.EXPERIMENTS.items():
            if name in ("", known):
                rows = run()
                parts.append(porcelain.format_table(rows, tuple(rows[0])))
        return "\n\n".join(parts)

    def soak(self, seed: int = 1, count: int = 1) -> None:
        """Run COUNT randomised schedules from SEED on."""
        from primrosehitch_lab import soak

        sys.exit(soak.run_many(seed, count))

    def faults(self, seed: int = 1, count: int = 1) -> None:
        """Run COUNT fault soaks of real processes from SEED on."""
        from primrosehitch_lab import fault_soak

        sys.exit(fault_soak.run_many(seed, count))

    def up(self, folder: str, out: str = "out", seconds: float = 0) -> None:
        """Start an example deployment; until Ctrl-C, or for SECONDS."""
        from primrosehitch_lab import fleet as fleet_module

        example = pathlib.Path(folder)
        deployment, declaration = fleet_module.load_example(example)
        fleet = fleet_module.Fleet(
            deployment, pathlib.Path(out) / example.name, UP_PORT
        )
        try:
            fleet.bring_up(declaration)
            for name, address in fleet.http.items():
                print(f"{name}: http://{address}")
            print(f"PRIMROSEHITCH_KEY={fleet_module.OPERATOR_KEY}")
            sys.stdout.flush()
            time.sleep(seconds or 10**9)
        except KeyboardInterrupt:
            pass
        finally:
            fleet.stop()


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="primrosehitch-lab")


if __name__ == "__main__":
    main()
