"""Headers that concern one connection reach neither servers nor callers."""

from knapweedlead.calls._headers import forwarded_headers


def test_offer_of_another_protocol_is_not_forwarded():
    # Guards against settings of HTTP/2 that reach a server without their offer.
    headers = {
        "connection": "Upgrade, HTTP2-Settings",
        "upgrade": "h2c",
        "http2-settings": "AAMAAABk",
        "content-type": "text/plain",
    }
    assert forwarded_headers(headers) == {"content-type": "text/plain"}


def test_headers_that_connection_names_are_not_forwarded():
    headers = {"connection": " X-One ,keep-alive", "x-one": "1", "x-two": "2"}
    assert forwarded_headers(headers) == {"x-two": "2"}


def test_headers_are_forwarded_without_connection():
    assert forwarded_headers({"x-two": "2", "proxy-connection": "close"}) == {
        "x-two": "2"
    }
