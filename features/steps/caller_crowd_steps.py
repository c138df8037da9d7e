"""Steps that send crowds of callers outside the limits to one entry host."""

from __future__ import annotations

from behave import given, then, when
from caller_crowd_builders import FEW_DESCRIPTORS, MACHINE_MEMORY_MB, start_entry


def _start(context, mode, **options):
    context.entry = start_entry(mode, **options)
    context.add_cleanup(context.entry.close)


@given("an entry host of the {mode} mode on a small machine")
def start_on_small_machine(context, mode):
    _start(context, mode)


@given("an entry host of the {mode} mode on a machine with few descriptors")
def start_with_few_descriptors(context, mode):
    _start(context, mode, descriptors=FEW_DESCRIPTORS)


@when("crowds send {kinds} and stay connected")
def send_crowds(context, kinds):
    context.entry.run(context.entry.send_crowds(kinds.split(", ")))


@when("crowds at its {names} addresses send {kinds}")
def send_crowds_to_others(context, kinds, names):
    entry = context.entry
    addresses = {name: address for name, (address, _) in entry.other_addresses.items()}
    addresses["callers"] = entry.address
    chosen = [addresses[name] for name in names.split(" and ")]
    entry.run(entry.send_crowds(kinds.split(", "), chosen))


@then("its {name} address answers one ordinary request")
def check_other_address(context, name):
    entry = context.entry
    status = entry.run(entry.call_other(name))
    assert status == 200, f"status {status} after {entry.most_memory_mb:.0f} MB"


@then("it listens on no port without a bound")
def check_listeners(context):
    entry = context.entry
    listening, bounded = entry.list_listening_ports(), entry.list_bounded_ports()
    assert listening == bounded, f"listens on {listening}, bounds are known for {bounded}"


@then("the entry host serves one ordinary request")
def check_served(context):
    entry = context.entry
    context.status = entry.run(entry.call_until_served())
    entry.measure()
    figures = (
        f"memory {entry.most_memory_mb:.0f} MB, descriptors {entry.most_descriptors}, "
        f"status {context.status}, running: {entry.process.is_running()}"
    )
    print(figures)
    assert entry.process.is_running(), entry.process.read_log_tail()
    assert context.status == 200, figures


@then("it has stayed within its machine")
def check_machine(context):
    entry = context.entry
    memory, descriptors = entry.most_memory_mb, entry.most_descriptors
    assert memory <= MACHINE_MEMORY_MB, f"{memory:.0f} of {MACHINE_MEMORY_MB} MB"
    assert descriptors <= entry.descriptors, f"{descriptors} of {entry.descriptors} descriptors"
