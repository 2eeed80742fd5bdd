"""All links between a daemon and its peers."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from knapweedlead.http import split_address
from knapweedlead.mesh import Member, RelayPeer, Target
from knapweedlead.sidecar._frames import FrameConnection, encode_frame
from knapweedlead.sidecar._link_host import LinkHost
from knapweedlead.sidecar._outgoing_link import OutgoingLink
from knapweedlead.sidecar._serving import AcceptedLink


class Links:
    """Opens links to all members of the fleet and accepts links from them.

    Parameters
    ----------
    host : LinkHost
    local_name : str
    on_targets : callable
        Called with the targets of all links whenever the members change.
    """

    def __init__(
        self,
        host: LinkHost,
        local_name: str,
        on_targets: Callable[[list[Target]], None],
    ) -> None:
        self.host = host
        self.local_name = local_name
        self.on_targets = on_targets
        self.outgoing_by_name: dict[str, OutgoingLink] = {}
        self.accepted: dict[FrameConnection, AcceptedLink] = {}
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Accept links at ``IP:PORT``."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port, backlog=1024)

    def _accept(self) -> FrameConnection:
        return FrameConnection(self._on_frame, self._on_lost, self._on_open)

    def _on_open(self, connection: FrameConnection) -> None:
        self.accepted[connection] = AcceptedLink(self.host, connection)

    def _on_frame(self, connection: FrameConnection, frame: list[Any]) -> None:
        link = self.accepted.get(connection)
        if link is None:
            return
        try:
            link.on_frame(frame)
        except Exception as error:
            self.host.record_fault("link", error)
            connection.abort("frame that cannot be handled")

    def _on_lost(self, connection: FrameConnection, detail: str) -> None:
        link = self.accepted.pop(connection, None)
        if link is not None:
            link.cancel_all()

    def set_members(self, by_name: dict[str, Member]) -> None:
        """Open links to new members, and replace the links to changed members.

        The link to a member that is no longer listed is kept while it is connected, or
        answers are awaited from a silent peer.
        """
        for name, link in list(self.outgoing_by_name.items()):
            member = by_name.get(name)
            is_moved = member is not None and member != link.member
            if is_moved or (member is None and not link.is_connected):
                del self.outgoing_by_name[name]
                link.close()
        for name, member in by_name.items():
            if name != self.local_name and name not in self.outgoing_by_name:
                self._add_link(member)
        self.on_targets([link.target for link in self.outgoing_by_name.values()])

    def _add_link(self, member: Member) -> None:
        link = OutgoingLink(self.host, member)
        link.target = Target(member.name, member.data_centre, member.service, link)
        self.outgoing_by_name[member.name] = link
        link.tick(len(self.outgoing_by_name), self.host.clock())

    def tick(self, now: float) -> None:
        """Probe peers where a probe is due, and reopen lost links."""
        links = len(self.outgoing_by_name)
        for link in self.outgoing_by_name.values():
            link.tick(links, now)

    def broadcast(self, frame: list[Any]) -> None:
        """Send the same frame to all peers that have opened a link."""
        data = encode_frame(frame)
        for connection in self.accepted:
            connection.send_encoded(data, frame[0])

    def send_to(self, names: Iterable[str], frame: list[Any]) -> None:
        """Send a frame on the outgoing links to peers; lost links are skipped."""
        data = encode_frame(frame)
        links = (self.outgoing_by_name.get(name) for name in names)
        for link in links:
            if link is not None and link.connection is not None:
                link.connection.send_encoded(data, frame[0])

    def reply_to(self, names: Iterable[str], frame: list[Any]) -> None:
        """Send a frame to peers on the links that they have opened."""
        data = encode_frame(frame)
        wanted = frozenset(names)
        for connection, link in self.accepted.items():
            if link.peer_name in wanted:
                connection.send_encoded(data, frame[0])

    def send_state_to_all(self) -> None:
        """Send the state of this daemon to all peers that have opened a link."""
        for link in self.accepted.values():
            link.send_state()

    def send_state_to_data_centre(self, data_centre: str) -> None:
        """Send the state of this daemon to the peers of one data centre."""
        for link in self.accepted.values():
            if link.peer_data_centre == data_centre:
                link.send_state()

    @property
    def up_count(self) -> int:
        """Number of links whose peer is responsive."""
        return sum(link.target.is_up for link in self.outgoing_by_name.values())

    def open_links(self) -> list[OutgoingLink]:
        """Return the links whose peer is responsive."""
        return [link for link in self.outgoing_by_name.values() if link.target.is_up]

    def relay_peers(self) -> list[RelayPeer]:
        """Return the reachable peers, each with whether it watches the store."""
        return [
            RelayPeer(link.member.name, link.is_watching) for link in self.open_links()
        ]

    def close(self) -> None:
        """Close the listener and all links."""
        if self._server is not None:
            self._server.close()
        for link in self.outgoing_by_name.values():
            link.close()
        for connection in list(self.accepted):
            connection.abort("stopped")
