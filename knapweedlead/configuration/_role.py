"""Role that keeps the configuration in force up to date."""

from collections.abc import Iterable, Iterator

import attrs
from result import Err

from knapweedlead.configuration._catalogue import Catalogue
from knapweedlead.configuration._document import parse_catalogue
from knapweedlead.configuration._pending_change import CATALOGUE_KEY
from knapweedlead.node import (
    Effect,
    Event,
    LogEvent,
    Notify,
    Role,
    Started,
    StoreAnswered,
    StoreCall,
    StoreCalls,
    WakeAt,
    handles,
)
from knapweedlead.platform import Entry, Watch

WATCH_SECONDS = 10.0
RETRY_SECONDS = 0.5


@attrs.frozen
class ConfigurationChanged(Event):
    """A higher revision is in force."""

    catalogue: Catalogue


class ConfigurationRole(Role):
    """Watches the catalogue and applies rising revisions.

    Parameters
    ----------
    store_calls : StoreCalls
        Allots numbers to store calls.
    """

    def __init__(self, store_calls: StoreCalls) -> None:
        self.store_calls = store_calls
        self.catalogue: Catalogue | None = None
        self._watched = 0
        self._store_revision = 0

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return 0 if self.catalogue is None else self.catalogue.revision

    def is_fresh(self, now: float) -> bool:
        """Return whether the revision in force may still be served."""
        return self.catalogue is not None

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterable[Effect]:
        """Start to watch the store."""
        return [self._watch()]

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Apply the catalogue that the watch brought."""
        if event.call != self._watched:
            return
        if isinstance(event.result, Err):
            yield LogEvent("watch_failed", (("error", str(event.result.err_value)),))
            yield WakeAt(now + RETRY_SECONDS)
            yield self._watch()
            return
        entry = event.result.ok_value
        assert isinstance(entry, Entry)
        self._store_revision = entry.revision
        yield from self._apply(entry, now)
        yield self._watch()

    def _apply(self, entry: Entry, now: float) -> Iterator[Effect]:
        if not entry.value:
            return
        parsed = parse_catalogue(entry.value)
        if isinstance(parsed, Err):
            yield LogEvent("catalogue_refused", (("error", str(parsed.err_value)),))
            return
        yield from self.take_up(parsed.ok_value, now, now)

    def take_up(
        self, catalogue: Catalogue, confirmed_at: float, now: float
    ) -> Iterator[Effect]:
        """Put a catalogue in force that the store held, unless a higher one is.

        Parameters
        ----------
        catalogue : Catalogue
            What the store held.
        confirmed_at : float
            Time at which it certainly did, in seconds.
        now : float
            Present time in seconds.
        """
        if catalogue.revision <= self.revision:
            return
        self.catalogue = catalogue
        yield LogEvent("configuration_applied", (("revision", self.revision),))
        yield Notify(ConfigurationChanged(self.catalogue))

    def _watch(self) -> Effect:
        self._watched = self.store_calls.next()
        return StoreCall(
            self._watched, Watch(CATALOGUE_KEY, self._store_revision, WATCH_SECONDS)
        )
