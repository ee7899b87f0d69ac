"""A manifest in which a tenant's name has a space is never in force."""

import time

from review.harness_2 import (
    BROKEN,
    HELD,
    Connection,
    Deployment,
    Record,
    has_trouble,
    manifest,
    route,
    run_case,
)

RULES = (route("/view/", "desk", "safe"), route("/parts/", "parts", "safe"))
NEW_RULE = route("/quote/", "desk", "safe")
KEYS = {"pos": "h5mgjy5rcpihhacrudde", "arima": "q2xkd9w7m4zt8vbnc3pe"}
CONFIG_APPLY_S, WATCHED_S, GAP_S = 2.5, 15.0, 0.05


def play(site: Deployment, record: Record):
    """Add tenants and a route, and see by which manifest requests are handled."""
    site.set_up(record, manifest(7, *RULES))
    second = "Installers Arima" if has_trouble() else "Installers-Arima"
    names = {"pos": "Installers-Pos", "arima": second}
    changed = manifest(9, *RULES, NEW_RULE)
    changed["tenants"] = [
        {"name": name, "apiKeys": [KEYS[domain]]} for domain, name in names.items()
    ]
    record.say(f"tenants of r9: {list(names.values())}")
    site.write_manifest(changed)
    time.sleep(CONFIG_APPLY_S)
    n_sent = n_old = 0
    until_s = time.monotonic() + WATCHED_S
    while time.monotonic() < until_s:
        for name in site.daemons:
            n_sent += 2
            n_old += is_new_route_unknown(site, record, name, n_sent)
            n_old += is_unkeyed_served(site, record, name, n_sent)
            time.sleep(GAP_S)
    record.say(f"{n_sent} requests later than configApply, {n_old} by the old manifest")
    for line in site.daemon_warnings():
        record.add(line)
    return BROKEN if n_old else HELD


def is_new_route_unknown(site, record, daemon, number):
    """Tell whether a route that was added is refused with 404, despite a valid key."""
    headers = [("Authorization", f"Token {KEYS['pos']}")]
    return call(site, record, daemon, f"/quote/{number}", headers) == 404


def is_unkeyed_served(site, record, daemon, number):
    """Tell whether a request without a key is served, which r9 does not allow."""
    return call(site, record, daemon, f"/view/{number}", []) == 200


def call(site, record, daemon, path, headers):
    """Send a request on a new connection; return its status, or what went wrong."""
    request_id = f"{path.strip('/').replace('/', '-')}-{daemon}"
    try:
        connection = Connection(site.daemons[daemon]["front"])
        try:
            connection.send("GET", path, request_id, headers)
            status = connection.read_answer("GET")[0]
        finally:
            connection.close()
    except (OSError, ValueError) as error:
        status = repr(error)
    record.add(f"{request_id} {path} key: {bool(headers)}: {status}")
    return status


if __name__ == "__main__":
    run_case(__file__, play)
