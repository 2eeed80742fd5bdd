"""A node in which one of several handlers raises an exception."""

import pytest

from knapweedlead.node import (
    CallReceived,
    Count,
    HandlerFailed,
    MessageReceived,
    Node,
    Notify,
    ReplyToCaller,
    Role,
    ShutdownRequested,
    Tick,
    handles,
    handles_message,
)

CALL = CallReceived(7, "GET", "/", {}, b"", "peer")


class Message:
    pass


class FailingRole(Role):
    @handles(Tick)
    def on_tick(self, event, now):
        yield Count("before")
        yield Notify(ShutdownRequested())
        raise ValueError("injected")

    @handles(CallReceived)
    def on_call(self, event, now):
        raise ValueError("injected")

    @handles_message(Message)
    def on_message(self, peer, message, now):
        raise ValueError("injected")


class OtherRole(Role):
    @handles(Tick)
    def on_tick(self, event, now):
        return [Count("tick")]

    @handles(ShutdownRequested)
    def on_shutdown(self, event, now):
        return [Count("shutdown")]

    @handles(CallReceived)
    def on_call(self, event, now):
        return [Count("call")]

    @handles_message(Message)
    def on_message(self, peer, message, now):
        return [Count("message")]


def effects_of(event, roles):
    """Return the failed handlers and the other effects of an event."""
    effects = Node(roles).handle(event, 100.0)
    failed = [effect.handler for effect in effects if isinstance(effect, HandlerFailed)]
    return failed, [e for e in effects if not isinstance(e, HandlerFailed)]


@pytest.mark.parametrize("event", [CALL, MessageReceived("peer", Message()), Tick()])
def test_other_handlers_run_and_their_effects_are_kept(event):
    # Guards against a daemon that stops pinging and renewing after one error per tick.
    for roles in ([FailingRole(), OtherRole()], [OtherRole(), FailingRole()]):
        failed, effects = effects_of(event, roles)
        assert len(failed) == 1
        names = {effect.name for effect in effects if isinstance(effect, Count)}
        assert names & {"call", "message", "tick"}


def test_effects_and_events_before_the_exception_are_kept():
    _, effects = effects_of(Tick(), [FailingRole(), OtherRole()])
    assert [e.name for e in effects] == ["before", "tick", "shutdown"]


def test_call_whose_handler_fails_is_answered_at_once():
    # Guards against callers that wait for an answer which nobody will send.
    failed, effects = effects_of(CALL, [FailingRole()])
    assert failed == ["FailingRole.on_call"]
    assert effects == [ReplyToCaller(7, 502, {}, b"")]
