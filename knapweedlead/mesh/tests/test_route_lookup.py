"""Lookup of the route with the longest matching prefix."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead.mesh.tests.harness import make_configuration, make_route

PREFIXES = ("/", "/a/", "/a/b/", "/a//", "/c/", "/c/d/e/")
MAX_SECONDS = 0.005
"""Processor time of one lookup; a call may take some 0.2 ms at an entry."""


def configuration_with(prefixes):
    routes = (make_route(prefix, prefix) for prefix in prefixes)
    return make_configuration(*routes)


def longest(prefixes, path):
    """Return the longest prefix of a path, by comparison with each of them."""
    return max((p for p in prefixes if path.startswith(p)), key=len, default=None)


@given(
    st.lists(st.sampled_from(PREFIXES), min_size=1, unique=True),
    st.lists(st.sampled_from(["/", "a", "b", "c", "d", "e"]), max_size=12),
)
def test_longest_prefix_is_found(prefixes, parts):
    path = "/" + "".join(parts)
    route = configuration_with(prefixes).route_of("example", path)
    assert (route and route.prefix) == longest(prefixes, path)


@pytest.mark.parametrize("path", ["", "x", "a/b/"])
def test_path_without_a_leading_slash_has_no_route(path):
    assert configuration_with(PREFIXES).route_of("example", path) is None


@pytest.mark.parametrize("count", [1000, 32000])
def test_path_of_many_slashes_takes_no_longer(count):
    # Guards against a request whose path alone occupies the event loop: each of its
    # prefixes was copied and looked up.
    configuration = configuration_with(PREFIXES)
    started_at = time.process_time()
    assert configuration.route_of("example", "/" * count).prefix == "/"
    assert time.process_time() - started_at < MAX_SECONDS
