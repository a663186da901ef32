"""Settings of small deployments, in the form of the gateway's configuration."""


def register():
    """Like registr-kompresoru: one bank of three members, two gateways, a remembered token."""
    return {
        "nInstances": 2,
        "myZone": 0,
        "zones": ["a", "b"],
        "discovery": "pushed",
        "tenants": [{"name": "acme"}],
        "categories": [
            category("register-lookup", "idempotent", 750_000, 2_000_000, 3.0, 0.0),
            category("own-entry-read", "idempotent", 300_000, 750_000, 1.0, 0.2),
            category("inspection-filing", "at_most_once", 600_000, 3_000_000, 3.0, 0.5),
        ],
        "familyInfo": {
            "freshness": ["bounded", "session", "write"],
            "lagAllowed": [800_000, 0, 0],
            "tokenMode": "remembered",
            "checks": "none",
            "listRole": "none",
        },
        "bounds": {
            "tryLimit": 10,
            "cancel": True,
            "mayProbe": True,
            "mayTell": False,
            "parallelTries": True,
            "retryAfter": True,
            "maxRetryAfter": 500_000,
            "idleClose": 30_000_000,
            "connectTimeout": 250_000,
        },
        "invariants": {
            "mustAskIn": 10_000_000,
            "stopSendingWithin": 2_000_000,
            "coldFrom": 0.29,
            "cold": 17_000_000,
            "fallMultiple": 2.0,
            "fall": 1_000_000,
        },
        "report": {"source": "probe", "columns": ["x0", "x1"]},
    }


def category(name, effect, target, deadline, worth, late_worth):
    return {
        "name": name,
        "effect": effect,
        "target": target,
        "deadline": deadline,
        "worth": worth,
        "lateWorth": late_worth,
    }


def pre_orders():
    """Like vorbestellung-ost: one unit, many gateways of little traffic, a list that shows the primary late."""
    write = category("order-write", "deduplicated", 200_000, 2_000_000, 6.0, 0.3)
    write.update(dedupScope="cell", dedupWindow=1_200_000)
    return {
        "nInstances": 400,
        "myZone": 0,
        "zones": ["a", "b"],
        "discovery": "pushed",
        "tenants": [],
        "categories": [
            category("catalogue-read", "idempotent", 200_000, 800_000, 3.0, 0.2),
            category("own-basket-read", "idempotent", 200_000, 500_000, 3.0, 0.2),
            category("history-read", "idempotent", 200_000, 600_000, 1.0, 0.0),
            category("pickup-check", "idempotent", 200_000, 500_000, 1.0, 0.0),
            write,
        ],
        "familyInfo": {
            "freshness": ["bounded", "session", "any", "fresh", "write"],
            "lagAllowed": [500_000, 0, 0, 0, 0],
            "tokenMode": "carried",
            "checks": "none",
            "listRole": "late",
        },
        "bounds": {
            "tryLimit": 10,
            "cancel": True,
            "mayProbe": True,
            "mayTell": False,
            "parallelTries": True,
            "retryAfter": False,
            "maxRetryAfter": 0,
            "idleClose": 15_000_000,
            "connectTimeout": 250_000,
        },
        "invariants": {
            "mustAskIn": 10_000_000,
            "stopSendingWithin": 500_000,
            "coldFrom": 0.16,
            "cold": 13_000_000,
            "fallMultiple": 2.5,
            "fall": 1_000_000,
        },
        "report": {"source": "answers", "columns": ["x0", "x1", "queue", "util"]},
    }
