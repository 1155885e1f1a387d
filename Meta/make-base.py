#!/usr/bin/env python3
"""Writes the host lists and the settings of processes under Base/.

The service documents, places and jobs under Base/ are written by hand; only
files with one entry per host are made here, so that their addresses agree.
"""

import json
import pathlib

BASE = pathlib.Path(__file__).resolve().parent.parent / "Base"

# Entry hosts, runners and workers are listed per data centre.
DEPLOYMENTS = {
    "cooperativa": {
        "platform": "127.10.0.1:18000",
        "service": "press-desk",
        "worker": {"cores": 16, "memoryMb": 61440},
        "per_rack": 8,
        "places": [
            ("valle-1", "valle-central", "127.11", 3, 17, 16),
            ("valle-2", "valle-central", "127.12", 3, 17, 16),
            ("norte-1", "zona-norte", "127.13", 2, 16, 16),
        ],
    },
    "madhurya": {
        "platform": "127.20.0.1:18000",
        "service": "honey-orders",
        "worker": {"cores": 32, "memoryMb": 128000},
        "per_rack": 11,
        "places": [
            ("kochi-1", "kochi", "127.21", 3, 22, 22),
            ("kochi-2", "kochi", "127.22", 3, 22, 22),
            ("kozhikode-1", "kozhikode", "127.23", 2, 21, 22),
        ],
    },
}

ENTRY, RUNNER, WORKER = 1, 2, 3  # third part of an address
PORTS = {"gateway": 18010, "scheduler": 18020, "runner": 18030, "worker": 18040}


def address(block, kind, index, port):
    return f"{block}.{kind}.{index}:{port}"


def host_entries(deployment):
    entries = []
    for centre, region, block, _, runners, workers in deployment["places"]:
        place = {"dataCentre": centre, "region": region}
        for i in range(1, runners + 1):
            entries.append({
                "name": f"runner-{centre}-{i}", "kind": "runner",
                "state": "live",
                "address": address(block, RUNNER, i, PORTS["runner"]),
                **place, "rack": f"{centre}-entry",
                "service": deployment["service"]})
        for i in range(1, workers + 1):
            rack = (i - 1) // deployment["per_rack"] + 1
            entries.append({
                "name": f"worker-{centre}-{i}", "kind": "worker",
                "state": "live",
                "address": address(block, WORKER, i, PORTS["worker"]),
                **place, "rack": f"{centre}-rack-{rack}",
                **deployment["worker"], "accelerators": 0})
    return entries


def write_hosts(directory, deployment):
    lines = ",\n  ".join(json.dumps(e) for e in host_entries(deployment))
    text = "[\n  " + lines + "\n]\n"
    (directory / "hosts.json").write_text(text)


SETTINGS = """// Settings of one {role}; docs/operations.md describes each field.
{{
  "member": "{role}-{number}",
  "dataCentre": "{centre}",
  "region": "{region}",
  "listen": "{listen}",
  "platform": {{
    "table": "{platform}",
    "objects": "{platform}",
    "hosts": "{platform}"
  }}
}}
"""


def write_settings(directory, deployment):
    number = 0
    for centre, region, block, hosts, _, _ in deployment["places"]:
        for i in range(1, hosts + 1):
            number += 1
            for role in ("gateway", "scheduler"):
                text = SETTINGS.format(
                    role=role, number=number, centre=centre, region=region,
                    listen=address(block, ENTRY, i, PORTS[role]),
                    platform=deployment["platform"])
                (directory / f"{role}-{number}.jsonc").write_text(text)


def main():
    for name, deployment in DEPLOYMENTS.items():
        directory = BASE / name
        directory.mkdir(parents=True, exist_ok=True)
        write_hosts(directory, deployment)
        write_settings(directory, deployment)


main()
