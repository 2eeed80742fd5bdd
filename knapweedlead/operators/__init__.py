"""Operator API and command line."""

from knapweedlead.operators._api import OperatorApi
from knapweedlead.operators._changes import ChangeFeed, ChangeRecord
from knapweedlead.operators._resource_file import load_resources
from knapweedlead.operators._role import CatalogueFeedRole, PublishCatalogue
from knapweedlead.operators._tables import render_table

__all__ = [
    "ChangeFeed",
    "ChangeRecord",
    "OperatorApi",
    "CatalogueFeedRole",
    "PublishCatalogue",
    "load_resources",
    "render_table",
]
