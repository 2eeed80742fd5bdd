"""Golden files: one text file for each session."""

from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode


class TextExtension(SingleFileSnapshotExtension):
    """Keeps a transcript as text."""

    file_extension = "txt"
    _write_mode = WriteMode.TEXT
