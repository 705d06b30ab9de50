"""A job that is accepted is submitted again to a controller that the state service refuses."""
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standin2 import Case, job, mechelen, run_case  # noqa: E402

REFUSED_FOR_S = 25


def main(case):
    case.start()
    case.wait_ready()
    leader = case.leader()
    other = next(c.label for c in case.controllers if c.label != leader)
    # The user's tool adds notes, which the controllers must ignore.
    spec = job("j-000412", "donor-care", flight_s=20.0)
    spec["notes"] = {f"donor-{i:04d}": f"slot-{i:04d}" for i in range(2300)}
    size = len(json.dumps(spec))
    case.record("body of the submission:", size, "bytes of", 64 * 1024)
    assert size <= 64 * 1024
    first = case.submit(spec, nodes=[leader])
    if first[0] not in (200, 201):
        raise RuntimeError(f"not accepted: {first}")
    if case.trouble:
        case.record("the state service refuses", other, "alone")
        case.state.fault = lambda node, *_: "refuse" if node == other else None
    broken = None
    end = time.monotonic() + REFUSED_FOR_S
    while time.monotonic() < end:
        healthy = case.healthy(other)
        status, answer = case.call(other, "POST", "/v2/runs", spec)
        if status in (400, 422) and not broken:
            broken = (f"forgotten: repeated submission of an accepted job got {status} {answer} "
                      f"from {other} (healthy: {healthy})")
        time.sleep(1.0)
    case.state.fault = lambda *_: None
    return broken


run_case(main, Case(HERE, mechelen()))
