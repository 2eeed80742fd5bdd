"""Role that publishes each new catalogue to the operator API's watches."""

from collections.abc import Iterable

import attrs

from knapweedlead.configuration import Catalogue, ConfigurationChanged
from knapweedlead.node import Effect, Role, handles


@attrs.frozen
class PublishCatalogue(Effect):
    """Show a catalogue to the operators who watch."""

    catalogue: Catalogue


class CatalogueFeedRole(Role):
    """Publishes the catalogues that come into force on this daemon."""

    @handles(ConfigurationChanged)
    def on_changed(self, event: ConfigurationChanged, now: float) -> Iterable[Effect]:
        """Publish a catalogue."""
        return [PublishCatalogue(event.catalogue)]
