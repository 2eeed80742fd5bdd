"""Simulated cores with only the membership and configuration roles."""

import attrs

from knapweedlead.configuration import ConfigurationRole, OperatorRole, StatusRole
from knapweedlead.daemon import Composition
from knapweedlead.membership import BootstrapRole, MembershipRole
from knapweedlead.node import Node
from knapweedlead.settings import DaemonSettings
from standins.cores import Cores

CONTROL_ROLES = (
    MembershipRole,
    BootstrapRole,
    ConfigurationRole,
    StatusRole,
    OperatorRole,
)


class ControlCores(Cores):
    """Cores that neither serve requests nor meter client accounts."""

    def _compose(self, settings: DaemonSettings) -> Composition:
        composition = super()._compose(settings)
        roles = [
            role for role in composition.node.roles if isinstance(role, CONTROL_ROLES)
        ]
        return attrs.evolve(composition, node=Node(roles))
