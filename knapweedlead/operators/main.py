"""Binary ``knapweedleadctl``: the operators' command line."""

import fire

from knapweedlead.operators._command_line import CommandLine


def main() -> None:
    """Entry point of the console script."""
    fire.Fire(CommandLine, name="knapweedleadctl")


if __name__ == "__main__":
    main()
