"""Steps that run the operators' command and check the examples and reference pages."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from builders import build_configuration
from command_builders import (
    Deployment,
    finish_command,
    interrupt,
    run_command,
    start_command,
)

from carawayctl.registry import list_subcommands
from carawayd.process import dump
from carawayd.process.metrics import Metrics
from carawayd.request.answers import Reason

ROOT = Path(__file__).resolve().parent.parent.parent
# Members of the dump that are named by tuples or records, not by literals in its module.
DUMP_VALUES = {"fleet", "applied"}
UNUSED_ADDRESS = "127.0.0.1:1"


def _build_publish_arguments(context, name, author, member, version):
    option = context.deployment.get_operator_option(member)
    path = str(context.documents[name][0])
    options = ["--base-version", str(version), "--author", author]
    return ["config", "publish", path, *options, "--json", *option]


def _build_arguments(context, words, *members):
    options = [o for m in members for o in context.deployment.get_operator_option(m)]
    return [*words.split(), "--json", *options]


@given("a document with the faults short_share 7, member bogus, pool nowhere")
def write_bad_document(context):
    document = build_configuration(bogus=1)
    document["pools"]["booking"] = {"short_share": 7}
    document["services"]["x"] = {"pool": "nowhere"}
    context.deployment = Deployment()
    context.document = context.deployment.write_document("bad", document)


@given("a deployment of umea-1 and umea-2")
def start_deployment(context):
    context.deployment = Deployment()
    context.add_cleanup(context.deployment.stop)
    context.deployment.start()
    assert context.deployment.launcher.list_members() == ["umea-1", "umea-2"]


@given("documents first with max_waiting {first:d} and second with max_waiting {second:d}")
def write_documents(context, first, second):
    context.documents = {}
    for name, value in (("first", first), ("second", second)):
        document = build_configuration(data_centres=["umea"])
        document["pools"]["booking"] = {"max_waiting": value}
        path = context.deployment.write_document(name, document)
        context.documents[name] = (path, path.read_bytes())


@given("{name:S} is cut off from the log")
def cut_off(context, name):
    deployment = context.deployment
    deployment.call(deployment.launcher.set_faults("log", drop_listeners=[name]))
    deployment.wait_for(name, lambda status: not status["log_reachable"])


@when("{name:S} reaches the log again")
def reconnect(context, name):
    deployment = context.deployment
    deployment.call(deployment.launcher.set_faults("log"))
    deployment.wait_for(name, lambda status: status["log_reachable"])


@given("{name:S} is paused")
def pause(context, name):
    context.deployment.launcher.pause(name)


@when("{name:S} continues")
def resume(context, name):
    context.deployment.launcher.resume(name)


@when("an operator runs config check on it")
def check_document(context):
    context.result = run_command("config", "check", str(context.document), "--json")


@when("an operator runs status at an address where nothing listens")
def run_at_unused_address(context):
    context.result = run_command("status", "--json", "--entry-host", UNUSED_ADDRESS)


@when("{author:S} publishes {name:S} at {member:S} based on version {version:d}")
def publish_document(context, author, name, member, version):
    context.result = run_command(*_build_publish_arguments(context, name, author, member, version))


@when("{author} at {member} and {other} at {second} publish at once based on version {version:d}")
def publish_at_once(context, author, member, other, second, version):
    first = start_command(*_build_publish_arguments(context, "first", author, member, version))
    last = start_command(*_build_publish_arguments(context, "second", other, second, version))
    context.results = [finish_command(first), finish_command(last)]


@when("an operator runs {words} at {member:S}")
def run_at(context, words, member):
    context.result = run_command(*_build_arguments(context, words, member))


@when("an operator runs {words} at {member:S}, then {other:S}")
def run_at_two(context, words, member, other):
    context.result = run_command(*_build_arguments(context, words, member, other))


@when("an operator starts {words} at {member:S}")
def start_at(context, words, member):
    context.process = start_command(*_build_arguments(context, words, member))


@when("the operator interrupts it while it waits for {member:S}")
def interrupt_command(context, member):
    line = context.process.stderr.readline()
    assert "waits until every entry host has applied the drain" in line, line
    interrupt(context.process)
    context.result = finish_command(context.process)


@then("the command ends with status {status:d}")
def expect_status(context, status):
    assert context.result.status == status, context.result


@then("the command ends with status 1 or 4, depending on whether it was withdrawn or sent")
def expect_refused_or_unknown(context):
    assert context.result.status in (1, 4), context.result
    assert context.result.errors.count("cut off from the log") >= 1, context.result
    context.first_result = context.result


@then("second is in force if first was refused, and exactly one of them is")
def expect_one_in_force(context):
    assert context.result.status in (0, 1), context.result
    assert context.first_result.status == 4 or context.result.status == 0, (
        context.first_result,
        context.result,
    )
    arguments = _build_arguments(context, "config show", "umea-2")
    shown = json.loads(run_command(*arguments).output)
    expected = {0: "bo", 1: "kim"}[context.result.status]
    assert (shown["version"], shown["author"]) == (2, expected), shown


@then("the JSON findings are at {pointers}")
def expect_findings(context, pointers):
    findings = json.loads(context.result.errors)["findings"]
    assert [item["pointer"] for item in findings] == pointers.split(", "), findings


@then("each finding has the value found and the values accepted")
def expect_found_and_accepted(context):
    findings = json.loads(context.result.errors)["findings"]
    assert [item["found"] for item in findings] == [1, 7, "nowhere"], findings
    assert all(item["accepted"] for item in findings), findings


@then("the error names version {version:d} by {author:S} and the change {change}")
def expect_conflict(context, version, author, change):
    error = json.loads(context.result.errors)
    assert (error["current_version"], error["current_author"]) == (version, author), error
    assert f"changed since version 1:\n  {change}" in error["error"], error
    assert error["accepted"] == f"--base-version {version}", error


@then("the document {name:S} is unchanged")
def expect_unchanged(context, name):
    path, content = context.documents[name]
    assert path.read_bytes() == content


@then("{member:S} has version {version:d} in force")
def expect_version_in_force(context, member, version):
    deployment = context.deployment
    deployment.wait_for(member, lambda status: status["versions"][member] >= version)
    assert deployment.read_status(member)["versions"][member] == version


@then("one command ended with status {first:d} and the other with status {second:d}")
def expect_statuses(context, first, second):
    assert sorted(result.status for result in context.results) == [first, second], context.results


@then("the JSON entry host is {member:S} and {state}")
def expect_entry_host(context, member, state):
    entry_host = json.loads(context.result.output)["entry_host"]
    assert entry_host["member"] == member, entry_host
    assert entry_host["cut_off"] == {"cut off": True, "not cut off": False}[state], entry_host


@then("the errors say that {member:S} is cut off from the log")
def expect_cut_off(context, member):
    text = context.result.errors
    assert f"entry host {member} (" in text and "is cut off from the log" in text, text


@then("the JSON budget of {service:S} has {used:d} of {limit:d} used and is exceeded")
def expect_budget(context, service, used, limit):
    (budget,) = json.loads(context.result.output)["budgets"]
    found = (budget["service"], budget["unavailable_then"], budget["max_unavailable"])
    assert found == (service, used, limit) and not budget["within"], budget


@then("the error names the value given, the values accepted and the next step")
def expect_refusal(context):
    error = json.loads(context.result.errors)
    assert error["given"] and error["accepted"] and error["next_step"], error


def _list_draining(status):
    return [host for pool in status["pools"].values() for host in pool["draining"]]


@then("host {host:S} is not draining")
def expect_serving(context, host):
    draining = _list_draining(context.deployment.read_status("umea-1"))
    assert host not in draining and "umea-w1" in draining, draining


@then("host {host:S} joins pool {pool:S}")
def expect_joined(context, host, pool):
    context.deployment.wait_for("umea-1", lambda status: host in status["pools"][pool]["hosts"])


@when("the command checks the configuration of {deployment:S}")
def check_configuration_example(context, deployment):
    context.example = ROOT / "examples" / deployment
    context.result = run_command("config", "check", str(context.example / "configuration.json"))


@when("the daemon checks the settings of {deployment:S}")
def check_settings_example(context, deployment):
    path = str(context.example / "settings.json")
    command = [sys.executable, "-m", "carawayd", "--settings", path, "--check"]
    context.checked = subprocess.run(command, capture_output=True, text=True, timeout=60)


@then("both checks end with status 0")
def expect_no_findings(context):
    assert context.result.status == 0, context.result
    assert context.checked.returncode == 0, context.checked


@then("the configuration of {deployment:S} has {count:d} data centres and {services:d} services")
def expect_sizes(context, deployment, count, services):
    document = json.loads((context.example / "configuration.json").read_text())
    assert len(document["data_centres"]) == count, document
    assert len(document["services"]) == services, document


@then("its settings name {entry_hosts:d} entry hosts in {count:d} data centres")
def expect_entry_hosts(context, entry_hosts, count):
    document = json.loads((context.example / "settings.json").read_text())
    members = {(p["member"], p["data_centre"]) for p in [document, *document["peers"]]}
    assert len(members) == entry_hosts, members
    named = json.loads((context.example / "configuration.json").read_text())["data_centres"]
    assert {data_centre for _, data_centre in members} == set(named), members
    assert len(named) == count, named


@when("the reference pages are checked")
def check_reference(context):
    command = [sys.executable, str(ROOT / "tools" / "reference.py"), "--check"]
    context.checked = subprocess.run(command, capture_output=True, text=True, timeout=60)


@then("no page is out of date")
def expect_current_pages(context):
    assert context.checked.returncode == 0, context.checked.stdout + context.checked.stderr


@when("the names on the page for the person on call are collected")
def collect_names(context):
    context.page = (ROOT / "docs" / "operators" / "oncall.md").read_text()


@then("each counter, reason, dump member and subcommand exists")
def expect_names(context):
    page = context.page
    metrics = Metrics().format_text().decode()
    counters = set(re.findall(r"`(caraway_\w+)`", page))
    unknown = {n for n in counters if f"# TYPE {n} " not in metrics}
    reasons = {n for part in re.findall(r"Callers get ([^|]*)", page) for n in _find_names(part)}
    unknown |= reasons - set(Reason) - {"unknown"}
    source = Path(dump.__file__).read_text()
    members = {
        n for part in re.findall(r"^\|.*?dump ([^|;]*)", page, re.M) for n in _find_names(part)
    }
    unknown |= {n for n in members if f'"{n}"' not in source} - DUMP_VALUES
    paths = {" ".join(item.path) for item in list_subcommands()}
    words = re.findall(r"`((?:config|hosts|jobs|maintenance) [a-z]+)", page)
    unknown |= set(words) - paths
    assert counters and reasons and members and words, page
    assert not unknown, unknown


def _find_names(text):
    return re.findall(r"`([\w-]+)`", text)
