"""HTTP and links between processes."""

from knapweedlead.transport._addresses import split_address
from knapweedlead.transport._http_client import BackendServerClient
from knapweedlead.transport._http_server import CallerServer, HttpRequest
from knapweedlead.transport._links import LinkTable
from knapweedlead.transport._traffic import Traffic

__all__ = [
    "BackendServerClient",
    "CallerServer",
    "HttpRequest",
    "LinkTable",
    "Traffic",
    "split_address",
]
