"""Case 11: a configuration takes away the keys of the only tenant."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig3"))
import rig  # noqa: E402

HOST = "square.example"
KEY = "n2ctnfzs989anu6wsjnb"
OTHER_KEY = "anfqasnmgkcuyj8pjbvk"
NEVER_KEY = "neverheldbyanybody00"
REVOKE_S = rig.SMALL_BOUNDS["revokeMs"] / 1000


def configuration(version, tenants):
    return {"version": version, "routes": [rig.route("r-claim", HOST, "/claim/", "square-app")],
            "services": [rig.service("square-app")], "limits": rig.LIMITS, "tenants": tenants}


def case(record, work, rigs):
    cluster = rig.Rig(record, work)
    rigs.append(cluster)
    cluster.start()
    operator = rig.Operator(record, cluster.gateways)
    tenant = {"name": "rival-house", "apiKeys": [KEY], "priority": 1}
    operator.configure(configuration(3, [tenant]))
    worker = rig.Worker(record, cluster.gateways, "i-square1", "square-app", "nbo-a",
                        "127.%d.1.1" % cluster.network)
    cluster.workers.append(worker)
    cluster.wait_ready()
    time.sleep(1.5)

    def send(gateway, key):
        attempt = rig.attempt_id()
        fields = {"Gooseberryvale-Attempt-Id": attempt, "Gooseberryvale-Deadline-Ms": 2000}
        if key:
            fields["X-Api-Key"] = key
        record("client sends", attempt, "to", gateway.name, "key", key)
        answer = rig.call(gateway.front, "POST", "/claim/7", fields, b"x", HOST, 3)
        record("client gets", attempt, answer.status if answer else "nothing")
        return attempt, answer

    for gateway in cluster.gateways:
        _, answer = send(gateway, KEY)
        if not answer or answer.status != 200:
            raise rig.CannotRun("the key isn't served before it is taken away")
        _, answer = send(gateway, NEVER_KEY)
        if not answer or answer.status != 401:
            raise rig.CannotRun("an unknown key isn't refused before")

    # Without the trouble the tenant stays, with another key instead of this one.
    tenants = [] if rig.TROUBLE else [dict(tenant, apiKeys=[OTHER_KEY])]
    acknowledged = operator.configure(configuration(11, tenants))
    time.sleep(max(0.0, acknowledged + REVOKE_S + 1 - time.monotonic()))
    revoked, never = [], []
    for _ in range(10):
        for gateway in cluster.gateways:
            revoked.append(send(gateway, KEY)[0])
            never.append(send(gateway, NEVER_KEY)[0])
    ran = {attempt for _, attempt, _, _ in worker.ran}
    broken = []
    late = [attempt for attempt in revoked if attempt in ran]
    if late:
        broken.append("CONFIG (strictRevocation): %d of %d requests ran that were sent more than "
                      "revokeMs after the acknowledgement of version 11, which took their key away"
                      % (len(late), len(revoked)))
    unknown = [attempt for attempt in never if attempt in ran]
    if unknown:
        broken.append("ROUTE: %d of %d requests ran whose key no configuration ever held"
                      % (len(unknown), len(never)))
    return broken


if __name__ == "__main__":
    rig.main(FOLDER, case)
