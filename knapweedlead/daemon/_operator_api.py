"""Connects the operator API to the shell."""

from knapweedlead.daemon._shell import Shell
from knapweedlead.node import Count, OperatorCallReceived, ReplyToOperator
from knapweedlead.operators import OperatorApi, PublishCatalogue


def open_operator_api(shell: Shell) -> OperatorApi:
    """Create the operator API and register executors for its effects."""
    api = OperatorApi(
        shell.settings.operator_credential,
        lambda exchange, request: shell.report(OperatorCallReceived(exchange, request)),
        shell.metrics.render,
        lambda reason: shell.metrics.count(
            Count("knapweedlead.operator.refusals", (("reason", reason),))
        ),
    )
    shell.add_executor(
        ReplyToOperator, lambda effect: api.reply(effect.exchange, effect.reply)
    )
    shell.add_executor(
        PublishCatalogue, lambda effect: api.feed.publish(effect.catalogue)
    )
    return api
