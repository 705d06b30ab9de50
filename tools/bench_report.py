"""Evaluates one bench day from the bench's report and the status lines of the leaders' logs.

The report lacks some facts, so these are not evaluated: whether a waiting job was limited by its
team's quota or by free capacity, and when each job of a class started. The share of jobs that
started in time is interpolated from the quantiles in the report.
"""

import json

MIN_SERVED_SHARE = 0.5  # for each class, each team and the largest jobs of each class
START_LIMIT_S = 240.0
QUANTILES = (("p50", 0.5), ("p80", 0.8), ("p90", 0.9), ("p95", 0.95), ("p98", 0.98), ("max", 1.0))
START_STEPS = ("reached", "leads", "read", "first_order", "half", "most", "calm")


def parse_json_lines(log, name, parse):
    """Yields the line number and the parsed value of each JSON line with this name in the log.

    The value of a malformed line is the exception raised by parsing it.
    """
    for number, line in enumerate(log.splitlines(), 1):
        begin = line.find(f'{{"{name}":')
        if begin < 0:
            continue
        try:
            yield number, parse(json.loads(line[begin:])[name])
        except (ValueError, KeyError, TypeError) as e:
            yield number, e


def served_share_by_team(log):
    """Returns the share of served jobs of each team, from the leaders' status lines.

    Each leader counts only jobs that end after its takeover, so the last lines of all terms are
    added up. The newest line gives the open jobs. An open job counts as served once one of its
    tasks runs, because services do not end.
    """
    newest_lines = []  # the last status line of each leader's term, in order
    for _, line in parse_json_lines(
        log, "served", lambda served: (served["leader"], served["teams"])
    ):
        if isinstance(line, Exception):
            continue
        leader, teams = line
        same_term = (
            newest_lines
            and newest_lines[-1][0] == leader
            and all(
                ended_jobs(teams.get(team, {})) >= ended_jobs(row)
                for team, row in newest_lines[-1][1].items()
            )
        )
        if same_term:
            newest_lines[-1] = (leader, teams)
        else:  # another leader, or a new term of the same one
            newest_lines.append((leader, teams))
    if not newest_lines:
        return {}
    newest_rows = newest_lines[-1][1]
    ended = {}
    for _, teams in newest_lines:
        for team, row in teams.items():
            ended[team] = ended.get(team, 0) + ended_jobs(row)
    shares = {}
    for team in ended:
        row = newest_rows.get(team, {})
        waiting, open_jobs = row.get("waiting", 0), row.get("open", 0)
        jobs = ended[team] + open_jobs
        if jobs:
            shares[team] = (jobs - waiting) / jobs
    return shares


def ended_jobs(row):
    return row.get("done", 0) + row.get("withdrawn", 0)


def served_share_by_class(report):
    """Returns the share of completed jobs of each class; for services, the share that was up."""
    shares = {}
    for name, row in report.get("classes", {}).items():
        jobs = row["jobs"] - (0 if "up" in row else row["cancelled"])
        if jobs > 0:
            started = row["started"] / jobs
            shares[name] = (
                min(started, row["up"]) if row.get("up") is not None else row["done"] / jobs
            )
    return shares


def share_started_in_time(waits):
    """Returns the share of the started jobs that waited at most START_LIMIT_S.

    Interpolates linearly between the given quantiles; returns None if there are none.
    """
    share, wait = 0.0, 0.0
    has_quantile = False
    for key, quantile in QUANTILES:
        quantile_wait = waits.get(key)
        if quantile_wait is None:
            continue
        has_quantile = True
        if quantile_wait > START_LIMIT_S:
            return share + (quantile - share) * (START_LIMIT_S - wait) / (quantile_wait - wait)
        share, wait = quantile, quantile_wait
    return share if has_quantile else None


def started_share_by_class(report):
    """Returns the share of jobs of each class that started within START_LIMIT_S."""
    shares = {}
    for name, row in report.get("classes", {}).items():
        jobs = row["jobs"] - (0 if "up" in row else row["cancelled"])
        in_time = share_started_in_time(row.get("wait_s") or {})
        if jobs > 0 and in_time is not None:
            shares[f"begun {name}"] = min(1.0, in_time * row["started"] / jobs)
    return shares


def started_share_by_team(report):
    """Returns the share of started jobs of each team, as counted in the report."""
    return {
        f"team {name}": min(1.0, row["started"] / row["jobs"])
        for name, row in report.get("teams", {}).items()
        if row["jobs"] > 0
    }


def started_share_of_largest(report):
    """Returns the share of the largest jobs of each class that started within START_LIMIT_S.

    The bench defines the largest jobs as those with the most tasks in a class and reports how
    many there are, but not how many of them were cancelled. They are assumed to be cancelled
    at the same rate as the whole class.
    """
    shares = {}
    classes = report.get("classes", {})
    for name, row in report.get("largest", {}).items():
        class_row = classes.get(name, {})
        not_cancelled = 1.0
        if class_row.get("jobs") and "up" not in class_row:
            not_cancelled -= class_row.get("cancelled", 0) / class_row["jobs"]
        jobs = row["jobs"] * not_cancelled
        if jobs > 0:
            shares[f"largest {name}"] = min(1.0, row["started"] / jobs)
    return shares


def served_shares(report, log):
    """Returns all shares of a day that must reach MIN_SERVED_SHARE, by name."""
    return {
        **served_share_by_class(report),
        **started_share_by_class(report),
        **started_share_of_largest(report),
        **started_share_by_team(report),
        **served_share_by_team(log),
    }


def find_faults(report, shares):
    """Returns a short text for each fault of the day; empty if there is none."""
    broken_rules = report["rules_broken"]
    faults = [f"{rule} {n}" for rule, n in broken_rules["by_kind"].items()]
    if broken_rules["total"] and not faults:
        faults.append(f"{broken_rules['total']} broken rules")
    exits = sum(node["panics"] for node in report["node_stats"])
    if exits:
        faults.append(f"{exits} process exits")
    neglected = report.get("idle", {}).get("neglected", 0)
    if neglected:
        faults.append(f"{neglected} jobs waiting despite free capacity")
    faults += [
        f"{name} {share:.2f} served"
        for name, share in sorted(shares.items())
        if share < MIN_SERVED_SHARE
    ]
    return faults


def parse_starts(log, path):
    """Returns a table row for each start in the log; prints and skips malformed lines."""

    def row_of(start):
        steps = [start[f"{step}_s"] for step in START_STEPS]
        return [str(start["node"]), str(start["machines"]), str(start["orders"])] + [
            "-" if at is None else f"{at:.2f}" for at in steps
        ]

    rows = []
    for number, row in parse_json_lines(log, "start", row_of):
        if isinstance(row, Exception):
            print(f"{path}:{number}: malformed start line: {row}")
        else:
            rows.append(row)
    return rows


def format_resource_use(nodes, report):
    """Formats the maximum resource use of any controller with the limits of the site's `nodes`."""
    maximum = {
        key: max((node.get(key) or 0) for node in report["node_stats"])
        for key in ("memory_peak_mb", "connections_peak", "cpu_mean", "cpu_peak")
    }
    return (
        f"{maximum['memory_peak_mb']:.1f} of {nodes.get('memory_mb', 0):g} MB, "
        f"{maximum['connections_peak']} of {nodes.get('max_connections', 0)} connections, "
        f"CPU {maximum['cpu_mean']:.2f}, peak {maximum['cpu_peak']:.2f} of its share"
    )
