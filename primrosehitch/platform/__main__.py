"""Runs one edge or one control instance on the platform.

See ``primrosehitch.platform.process``.
"""

import signal


def main() -> None:
    """Run the instance; its modules are imported with SIGHUP ignored."""
    # Its default action would end a process that starts. The settings are
    # read later than this, so that no change of them is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from primrosehitch.platform import process

    process.main()


if __name__ == "__main__":
    main()
