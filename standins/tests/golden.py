"""Snapshot files with one transcript each."""

from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode


class TextExtension(SingleFileSnapshotExtension):
    """Stores a transcript as a text file."""

    file_extension = "txt"
    _write_mode = WriteMode.TEXT
