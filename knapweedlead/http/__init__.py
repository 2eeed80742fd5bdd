"""HTTP/1.1 server for callers and client for backend servers."""

from knapweedlead.http._addresses import split_address
from knapweedlead.http._budget import BufferBudget
from knapweedlead.http._client import REFUSED, BackendServerClient
from knapweedlead.http._fetch import FetchFailure, fetch
from knapweedlead.http._limits import HttpLimits
from knapweedlead.http._run import CONNECTION_LOST, HttpAnswer
from knapweedlead.http._server import CallerServer, HttpRequest

__all__ = [
    "CONNECTION_LOST",
    "REFUSED",
    "BackendServerClient",
    "BufferBudget",
    "CallerServer",
    "FetchFailure",
    "HttpAnswer",
    "HttpLimits",
    "HttpRequest",
    "fetch",
    "split_address",
]
