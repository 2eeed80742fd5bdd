"""Command ``knapweedleadctl``: command line for operators."""

import fire

from knapweedlead.operators._command_line import CommandLine


def main() -> None:
    """Run the command line."""
    fire.Fire(CommandLine, name="knapweedleadctl")


if __name__ == "__main__":
    main()
