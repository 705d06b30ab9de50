"""Reads and writes the bench's site and day files; enlarges sites or shortens process restarts."""

import json
import math
import tomllib

ENLARGEMENT_FACTOR = 1.5  # for machines, and for jobs and team limits accordingly
QUICK_RESTART_DELAY_S = 0.3  # from the exit of a process to its restart


class InvalidInput(Exception):
    """Invalid input, described in one line that names the file and the key. Exit code 2."""


def parse_number(value, location):
    ok = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not ok or not math.isfinite(value):
        raise InvalidInput(f"{location}: not a finite number")
    return float(value)


def require_field(entry, key, kind, location):
    value = entry.get(key)
    if not isinstance(value, kind):
        raise InvalidInput(f"{location}: {key}: missing or of the wrong type")
    return value


def read_toml(path):
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as e:
        raise InvalidInput(f"{path.name}: {e}") from e


def format_toml(value):
    """Formats a value as inline TOML."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, list):
        return "[" + ", ".join(map(format_toml, value)) + "]"
    return "{ " + ", ".join(f"{json.dumps(k)} = {format_toml(v)}" for k, v in value.items()) + " }"


def write_toml(path, table):
    lines = [
        f"{json.dumps(k)} = {format_toml(v)}"
        for k, v in table.items()
        if not isinstance(v, dict) and not (isinstance(v, list) and v and isinstance(v[0], dict))
    ]
    for key, value in table.items():
        rows = value if isinstance(value, list) else [value]
        if not rows or not isinstance(rows[0], dict):
            continue
        for row in rows:
            lines += ["", f"[[{key}]]" if isinstance(value, list) else f"[{key}]"]
            lines += [f"{json.dumps(k)} = {format_toml(v)}" for k, v in row.items()]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def enlarge_fields(row, *keys):
    for key in keys:
        value = row.get(key)
        if isinstance(value, int):
            row[key] = math.ceil(ENLARGEMENT_FACTOR * value)
        elif isinstance(value, float):
            row[key] = ENLARGEMENT_FACTOR * value


def enlarge_jobs(rows):
    for row in rows:
        enlarge_fields(row, "initial")
        enlarge_fields(row.get("arrivals", {}), "rate")


def enlarge_teams(rows):
    for row in rows:
        enlarge_fields(row, "cpus", "cpus_max", "gpus", "gpus_max")


def enlarge_day(day):
    for fault in day.get("faults", []):
        kind = str(fault.get("kind", ""))
        if kind.startswith("machine_") or kind == "cancel_now":
            enlarge_fields(fault, "count")
    enlarge_jobs(day.get("jobs", []))
    enlarge_teams(day.get("teams", []))


def enlarge_site(site):
    """Enlarges the numbers of machines, and jobs, team limits and faults accordingly."""
    for table, keys in (("capacity", ("count", "spot")), ("machines", ("count",))):
        for row in site.get(table, []):
            enlarge_fields(row, *keys)
    enlarge_teams(site.get("teams", []))
    enlarge_jobs(site.get("jobs", []))
    for day in site.get("day", []):
        enlarge_day(day)


def shorten_restarts(site):
    site["nodes"]["restart_delay_s"] = QUICK_RESTART_DELAY_S


CHANGES = {"larger": enlarge_site, "back": shorten_restarts}


def write_changed_site(site, verb, folder):
    """Writes the site, changed as the verb says, to the folder under its name; returns the path.

    Each copy needs its own folder, because the wire files of different sites may share a name.
    """
    table = read_toml(site)
    if not isinstance(table.get("nodes"), dict):
        raise InvalidInput(f"{site.name}: nodes: missing or of the wrong type")
    CHANGES[verb](table)
    folder.mkdir(exist_ok=True)
    write_toml(folder / site.name, table)
    wire = site.parent / str(table.get("wire", "wire.json"))
    if wire.is_file():
        (folder / wire.name).write_bytes(wire.read_bytes())
    return folder / site.name


def day_fits_site(day, site):
    """Returns whether the site has all classes and zones that the day names."""
    classes = {job.get("name") for job in site.get("jobs", [])}
    zones = set(site.get("nodes", {}).get("zones", []))
    # A row without a kind modifies a class of the site; a row with a kind defines a new class.
    if any("kind" not in row and row.get("name") not in classes for row in day.get("jobs", [])):
        return False
    for fault in day.get("faults", []):
        named_zones = set(fault.get("zones", [])) | ({fault["zone"]} if "zone" in fault else set())
        if not named_zones <= zones or fault.get("class", next(iter(classes), None)) not in classes:
            return False
    return True
