"""Role that publishes new catalogues to the watches of the operator API."""

from collections.abc import Iterable

import attrs

from knapweedlead.configuration import Catalogue, ConfigurationChanged
from knapweedlead.node import Effect, Role, handles


@attrs.frozen
class PublishCatalogue(Effect):
    """Publish a catalogue to the watches of the operator API."""

    catalogue: Catalogue


class CatalogueFeedRole(Role):
    """Publishes each catalogue that this daemon applies."""

    @handles(ConfigurationChanged)
    def on_changed(self, event: ConfigurationChanged, now: float) -> Iterable[Effect]:
        """Publish the catalogue that was applied."""
        return [PublishCatalogue(event.catalogue)]
