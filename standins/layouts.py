"""A small site: four daemons and five backend servers in two failure domains."""

import collections
import math
import os

import attrs
import gevent
import yaml

from tarragonramp.model import OWNED

from .load import Call
from .site import Backend, DaemonSpec

__all__ = [
    "ALL_DAEMONS",
    "BACKENDS",
    "CALLS",
    "DAEMONS",
    "NAMES_BY_DOMAIN",
    "holder_of",
    "is_balanced",
    "start_small",
    "successor_of",
]

TEAM_FILE = "demo/fraser-valley.yaml"
DAEMONS = (
    DaemonSpec("d1", "a"),
    DaemonSpec("d2", "a"),
    DaemonSpec("d3", "b"),
    DaemonSpec("d4", "b"),
)
BACKENDS = (
    Backend("records1", "a", "fraser-valley", "records", slots=3),
    Backend("records2", "a", "fraser-valley", "records", slots=3),
    Backend("records3", "b", "fraser-valley", "records", slots=3),
    Backend("claims1", "a", "fraser-valley", "claims", divided=False, slots=3),
    Backend("claims2", "b", "fraser-valley", "claims", divided=False, slots=3),
)
CALLS = (
    Call("record lookup", "GET", lambda key: "/records/status", "X-Grant-Record"),
    Call("record claim", "POST", lambda key: "/records", "X-Grant-Record", 200),
    Call("claim check", "GET", lambda key: "/claims/check"),
    Call("claim", "POST", lambda key: "/claims", "", 200),
)
ALL_DAEMONS = [spec.name for spec in DAEMONS]
NAMES_BY_DOMAIN = {
    domain: [x.name for x in (*DAEMONS, *BACKENDS) if x.failure_domain == domain]
    for domain in ("a", "b")
}


def start_small(site, checks_grants=True, **backend_options):
    """Start all processes, declare the team and wait until it is served.

    Every key has an owner then, and every backend server a steward that all daemons
    know and that the server has answered.

    Parameters
    ----------
    site : Site
        One that has not been started.
    checks_grants : bool, default=True
        Whether the servers of the service ``records`` check grants.
    **backend_options : object
        Fields of ``Backend`` to override for every backend server.

    Raises
    ------
    RuntimeError
        If the declaration of the team is refused.
    """
    site.start_platform()
    for spec in DAEMONS:
        site.start_daemon(spec)
    for backend in BACKENDS:
        site.start_backend(
            attrs.evolve(backend, checks_grants=checks_grants, **backend_options)
        )
    site.wait_ready(ALL_DAEMONS)
    done = site.command("apply", "--file", _team_file(site, checks_grants), daemon="d1")
    if done.returncode != 0:
        raise RuntimeError(done.stderr)
    for name in ALL_DAEMONS:
        site.wait_owned(name)
    _wait_balanced(site)
    _wait_stewards(site)


def _wait_stewards(site, timeout_s=20.0):
    """Wait until requests to every server, also of shared services, find its steward.

    Servers of a shared service own no keys, so that owners say nothing about them.
    """
    with gevent.Timeout(timeout_s):
        while not all(_has_steward(site, backend.name) for backend in BACKENDS):
            gevent.sleep(0.05)
        roles = [f"steward.{b.team}.{b.service}.{b.name}" for b in BACKENDS]
        version = max(
            site.operator("d1", f"objects/Term/{r}")["version"] for r in roles
        )
        while not all(
            site.operator(name, "status")["view_version"] >= version
            for name in ALL_DAEMONS
        ):
            gevent.sleep(0.05)


def _has_steward(site, server):
    line = f"event=server-condition server={server} condition=up"
    return any(line in site.daemon_log(name) for name in ALL_DAEMONS)


def _wait_balanced(site, timeout_s=20.0):
    """Wait until keys are evenly distributed, also to servers that registered late."""
    name = "objects/Assignment/fraser-valley.records"
    with gevent.Timeout(timeout_s):
        while not is_balanced(site.operator("d1", name)["spec"]["ranges"]):
            gevent.sleep(0.05)


def is_balanced(ranges, n_servers=3):
    """Tell whether all slices are owned and no server owns more than its share.

    Parameters
    ----------
    ranges : list of [first, count, state, server, token]
    n_servers : int
        Number of servers, all of the same weight.
    """
    counts = collections.Counter()
    for _, count, state, server, _ in ranges:
        if state != OWNED:
            return False
        counts[server] += count
    share = math.ceil(counts.total() / n_servers)
    return len(counts) == n_servers and max(counts.values()) <= share


def _team_file(site, checks_grants):
    with open(TEAM_FILE, encoding="utf-8") as stream:
        documents = list(yaml.safe_load_all(stream))
    documents[-1]["spec"]["parameters"]["records_check_grants"] = checks_grants
    path = os.path.join(site.folder, "team.yaml")
    with open(path, "w", encoding="utf-8") as stream:
        yaml.safe_dump_all(documents, stream)
    return path


def holder_of(site, role, asked="d1"):
    """Return the name of the daemon that holds a role.

    Parameters
    ----------
    site : Site
    role : str
        Name of the ``Term`` object.
    asked : str, default="d1"
        Daemon to query.
    """
    return _term_field(site, role, asked, "holder")


def successor_of(site, role, asked="d1"):
    """Return the name of a role's designated successor; empty if there is none."""
    return _term_field(site, role, asked, "successor")


def _term_field(site, role, asked, field):
    stored = site.operator(asked, f"objects/Term/{role}")
    return stored["spec"][field].partition("#")[0]
