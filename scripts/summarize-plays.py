#!/usr/bin/env python3
"""Sums up entries of the journal for each deployment, and ends with 1 if a rule was broken or a process ended by itself.

usage: summarize-plays.py ENTRY...   (files of journal/)
"""

import collections
import json
import os
import sys


class Site:
    def __init__(self):
        self.plays = 0
        self.scores = []
        self.gates_failed = 0
        self.broken = []
        self.own_ends = []
        self.faults = []

    def add(self, entry, day):
        play = f'{day["name"]} (seed {day["seed"]}, entry {entry["id"]})'
        self.plays += 1
        self.scores.append(day["score"])
        self.gates_failed += 0 if day["gate"] else 1
        if day["rules"]:
            self.broken.append(f'{play}: {", ".join(sorted(day["rules"]))}')
        if day.get("restarts"):
            self.own_ends.append(f'{play}: {day["restarts"]:g} processes')
        if day["fault"]:
            self.faults.append(f'{play}: {day["fault"]}')


def read(paths):
    sites = collections.defaultdict(Site)
    for path in paths:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if not entry.get("ok") or not entry.get("days"):
            print(f"{os.path.basename(path)}: no day was played: {entry.get('error')}")
            sites[entry.get("site") or "unknown"].faults.append(f'{entry["id"]}: not played')
            continue
        for day in entry["days"]:
            sites[entry["site"]].add(entry, day)
    return sites


def main(paths):
    if not paths:
        sys.exit(__doc__)
    sites = read(paths)
    print(f'{"site":32} {"plays":>5} {"mean":>6} {"broken":>6} {"own ends":>8} {"faults":>6} {"gates failed":>12}')
    for name, site in sorted(sites.items()):
        mean = sum(site.scores) / len(site.scores) if site.scores else 0
        print(
            f"{name:32} {site.plays:5} {mean:6.3f} {len(site.broken):6} {len(site.own_ends):8} {len(site.faults):6}"
            f" {site.gates_failed:12}"
        )
    failed = False
    for name, site in sorted(sites.items()):
        for title, found in (("rule broken", site.broken), ("ended by itself", site.own_ends), ("fault", site.faults)):
            for line in found:
                failed = True
                print(f"{title}: {name} {line}")
    sys.exit(1 if failed else 0)


main(sys.argv[1:])
