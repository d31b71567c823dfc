"""Text form of an answer, for operators.

It is written from the JSON form, in which the answer arrives.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import typing

Document = dict[str, typing.Any]

_MAX_CHOSEN = 10
_MAX_TASKS = 6
_EXPLANATIONS = {
    "evacuated": "the operator evacuates their data centre",
    "evacuations not known": "the operator's evacuations cannot be read",
    "draining": "about to leave",
    "not registered": "the registry does not list them any more",
    "not answering": "no recent answer to the scheduler",
    "refused a start just now": "no starts there for a moment",
    "runs or capacity not known": "they have just restarted or appeared",
    "registry not read for too long": "their capacity may have shrunk",
    "ejected": "they fail or hang; only probes start there",
    "isolated": "a task that may crash its runner is observed there",
    "reserved for a large task": "kept free for a task that goes first",
    "label": "without the label that the step requires",
    "no capacity": "a task does not fit into what is free",
    "limit per runner": "as many tasks of the step as one runner may have",
    "no ticket": "not allowed by the placement policy yet",
    "limit of starts": "they failed or are new; few runs start at once",
    "not proven": "no run has succeeded there, and this is the last attempt",
    "speed": "a task would be too slow beside the serving tasks",
}


def format_answer(document: Document) -> str:
    """Returns the text form of an answer.

    Args:
        document: The JSON form.
    """
    return "\n".join(_format_lines(document)) + "\n"


def _format_lines(document: Document) -> Iterator[str]:
    yield (
        f"Dry run at scheduler {document['scheduler']} (term "
        f"{document['term']}, configuration {document['configuration']}); "
        "nothing was submitted."
    )
    yield (
        f"Queue {document['queue']}: service {document['service']} with "
        f"{_count(document['runners'], 'runner')}, priority "
        f"{document['priority']} (0 is the most urgent)."
    )
    refusal = document.get("refusal")
    if refusal:
        yield f"The job would be refused: {refusal}"
    yield _format_objective(document["objective"])
    yield from _format_earlier_work(document["earlier_work"])
    yield from _format_remarks(document["remarks"], "")
    for step in document["steps"]:
        yield ""
        yield from _format_step(step)
    if document["later_steps"]:
        yield ""
        steps = ", ".join(map(str, document["later_steps"]))
        yield f"Not considered, because they follow other steps: {steps}."


def _format_objective(objective: Document | None) -> str:
    if objective is None:
        return (
            "Objective: none. Of one priority, batch jobs that can meet "
            "theirs go first."
        )
    return (
        f"Objective: done within {_format_ms(objective['latency_ms'])}; for "
        f"its order {_format_ms(objective['order_latency_ms'])} count, since "
        f"estimates may be short. Prospect now: {objective['prospect']}."
    )


def _format_earlier_work(work: Document) -> Iterator[str]:
    if not work["tasks"]:
        yield "Before it: no other waiting task of the service."
        return
    yield (
        f"Before it: {_count(work['tasks'], 'waiting task')} of "
        f"{_count(work['steps'], 'step')}, of which {work['placed']} would "
        "start now:"
    )
    for step in work["first"]:
        yield (
            f"  job {step['job']} step {step['step']}: "
            f"{step['placed']} of {_count(step['tasks'], 'task')} would "
            f"start; goes first because {step['reason']}"
        )
    if work["steps"] > len(work["first"]):
        more = work["steps"] - len(work["first"])
        yield f"  and {_count(more, 'more step')}"


def _format_step(step: Document) -> Iterator[str]:
    head = f"Step {step['step']}: {_format_state(step)}"
    yield head
    yield from _format_remarks(step["remarks"], "  ")
    if step["chosen"]:
        yield "  chosen (score: higher is better):"
        for chosen in step["chosen"][:_MAX_CHOSEN]:
            yield (
                f"    {_format_runner(chosen['rated'])}  "
                f"{_format_tasks(chosen['tasks'])}"
            )
        if len(step["chosen"]) > _MAX_CHOSEN:
            yield f"    and {len(step['chosen']) - _MAX_CHOSEN} more runners"
    if step["next_best"]:
        yield (
            f"  next best of {_count(step['possible'], 'other runner')} that "
            "could get a task:"
        )
        for rated in step["next_best"]:
            yield f"    {_format_runner(rated)}"
    if step["excluded"]:
        yield "  excluded:"
        for excluded in step["excluded"]:
            yield f"    {_format_excluded(excluded)}"


def _format_state(step: Document) -> str:
    wait = step["expected_wait_ms"]
    tasks, placed = step["tasks"], step["placed"]
    if placed == tasks:
        when = f"in {_format_ms(wait)}" if wait else "at once"
        return f"{_count(tasks, 'task')}, all would start {when}."
    start = f"{placed} of {_count(tasks, 'task')} would start now."
    if wait is None:
        return f"{start} When the others fit is not known."
    return (
        f"{start} The next one fits after {_format_ms(wait)} at the earliest, "
        "by the estimated run times."
    )


def _format_runner(rated: Document) -> str:
    place = " ".join(
        f"{name} {rated[key]}"
        for name, key in (("rack", "rack"), ("in", "data_centre"))
        if rated[key]
    )
    percent = rated["speed_limit_percent"]
    limit = "" if percent == 100 else f", speed limit {percent} %"
    return f"{rated['runner']} ({place}) score {rated['score']:z.3f}{limit}"


def _format_tasks(tasks: list[int]) -> str:
    names = ", ".join(map(str, tasks[:_MAX_TASKS]))
    if len(tasks) > _MAX_TASKS:
        return f"{len(tasks)} tasks: {names}, ..."
    return f"{'tasks' if len(tasks) > 1 else 'task'} {names}"


def _format_excluded(excluded: Document) -> str:
    reason, count = excluded["reason"], excluded["count"]
    explanation = _EXPLANATIONS.get(reason)
    text = f"{reason} ({explanation})" if explanation else reason
    examples = ", ".join(excluded["examples"])
    more = ", ..." if count > len(excluded["examples"]) else ""
    return f"{count} {text}: {examples}{more}"


def _format_remarks(
    remarks: Iterable[Document], indentation: str
) -> Iterator[str]:
    for remark in remarks:
        yield f"{indentation}Note: {remark['text']}"


def _format_ms(milliseconds: int) -> str:
    if milliseconds < 1000:
        return f"{milliseconds} ms"
    return f"{milliseconds / 1000:.1f} s"


def _count(number: int, noun: str) -> str:
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
