"""Numbers of messages that are too large for their type."""

import attrs
import cbor2
import pytest
from result import Err, Ok

from knapweedlead.messages import decode_message, encode_message, message


@message(9901)
@attrs.frozen
class Measured:
    """A message with a float, for this test."""

    seconds: float


@pytest.mark.parametrize("value", [10**400, -(10**400), "1", None, True, [1.0]])
def test_number_that_is_no_float_is_an_error(value):
    # Guards against an exception that ends the handling of all messages of a read.
    assert isinstance(decode_message(cbor2.dumps([9901, value])), Err)


@pytest.mark.parametrize("value", [0, 3, 2**40, -1, 0.5])
def test_integer_is_accepted_for_a_float(value):
    data = encode_message(Measured(value))
    assert decode_message(data) == Ok(Measured(float(value)))
