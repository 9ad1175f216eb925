"""Print the libraries that pyproject.toml lists, one a line."""

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main():
    with (ROOT / "pyproject.toml").open("rb") as file:
        project = tomllib.load(file)["project"]
    print("\n".join(project["dependencies"]))


if __name__ == "__main__":
    main()
