"""Checks of the files that a daemon reads, without a daemon."""

from collections.abc import Sized
from pathlib import Path
from typing import Protocol

from result import Err, Ok, Result

from knapweedlead.platform import decode_configuration, load_boot_file
from knapweedlead.registries import Registry
from knapweedlead.settings import DaemonSettings, load_settings


class FileCheck(Protocol):
    """Check of one kind of file."""

    def check(self, path: Path) -> Result[str, list[str]]:
        """Return a summary of a valid file, or all problems of another one."""


CHECKS: Registry[FileCheck] = Registry("kind of file")


@CHECKS.register("daemon")
class DaemonSettingsCheck:
    """Check of the settings of a daemon."""

    def check(self, path: Path) -> Result[str, list[str]]:
        """Return the name of the daemon, or the field that is not valid."""
        loaded = load_settings(DaemonSettings, str(path))
        if isinstance(loaded, Err):
            return Err([str(loaded.err_value)])
        return Ok(f"settings of {loaded.ok_value.name} are valid")


@CHECKS.register("boot")
class BootFileCheck:
    """Check of the boot file that the users' platform writes for a daemon."""

    def check(self, path: Path) -> Result[str, list[str]]:
        """Return the name of the daemon, or the field that is not valid."""
        loaded = load_boot_file(path)
        if isinstance(loaded, Err):
            return Err([str(loaded.err_value)])
        return Ok(f"boot file of {loaded.ok_value.name} is valid")


@CHECKS.register("configuration")
class PlatformConfigurationCheck:
    """Check of the configuration that operators store on the users' platform."""

    def check(self, path: Path) -> Result[str, list[str]]:
        """Return what the configuration holds, or each entry that is damaged."""
        try:
            value = path.read_bytes()
        except OSError as error:
            return Err([f"{path}: {error.strerror}"])
        decoded = decode_configuration(value)
        if isinstance(decoded, Err):
            return Err([str(decoded.err_value)])
        configuration = decoded.ok_value
        if configuration.problems:
            return Err(list(configuration.problems))
        return Ok(
            f"version {configuration.version}, "
            f"{_count(configuration.routes, 'route')}, "
            f"{_count(configuration.account_by_name, 'account')}"
        )


def _count(items: Sized, noun: str) -> str:
    """Return the number of items with their noun."""
    number = len(items)
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
