"""Tests of the tables shown to operators."""

from knapweedlead.operators._tables import render_resources, render_status


def member(name, revision, **more):
    return {
        "name": name,
        "service": "wear",
        "data_centre": "boston",
        "state": "alive",
        "revision": revision,
        **more,
    }


def test_status_counts_the_members_on_which_the_revision_is_active():
    members = [
        member("wear-1", 7),
        member("wear-2", 6, is_cold=True, refused_priority=6),
    ]
    text = render_status({"revision": 7, "members": members})
    assert "revision 7 active on 1 of 2 members" in text
    assert text.splitlines()[-1].endswith("cold, refusing priority 6 and up")


def test_resources_of_one_kind_share_the_union_of_their_columns():
    text = render_resources([{"name": "a", "version": 1}, {"name": "b", "x": 2}])
    assert text.splitlines()[0].split() == ["name", "version", "x"]


def test_empty_list_of_resources_renders_as_none():
    assert render_resources([]) == "none"
