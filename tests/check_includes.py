#!/usr/bin/env python3
"""check_includes.py SOURCES: checks the dependencies between folders and files.

Fails when, below SOURCES,
  * a file includes a header of a folder that its own folder may not include (ALLOWED_FOLDERS,
    ALLOWED_HEADERS);
  * headers include each other in a cycle;
  * a cycle of calls spans more .c files than the limits below allow.

Calls are found in the text: a file depends on another one when it names a function that the other one
defines without `static`, even if it only passes it on as a pointer. Prints the sizes of the cycles.
"""
import collections
import pathlib
import re
import sys

# Maximum number of .c files in a dependency cycle.
MAX_CYCLE_FILES = 6
# The same for cycles with files of COORDINATION_MODULES. It may only be lowered.
MAX_COORDINATION_CYCLE_FILES = 6
COORDINATION_MODULES = (
    "coordination/agents/",
    "coordination/jobs/",
    "coordination/leadership/",
    "coordination/membership/",
    "coordination/scaling/",
    "coordination/scheduling/",
)

# The folders whose headers each folder may include. The key "" is the daemon's main file.
COORDINATION_FOLDERS = ("protocol", "policy", "bookkeeping", "coordination")
ALLOWED_FOLDERS = {
    "protocol": ("protocol",),
    "policy": ("protocol", "policy"),
    "bookkeeping": ("protocol", "bookkeeping"),
    "coordination": COORDINATION_FOLDERS,
    "transport": ("protocol", "transport"),
    "client": ("protocol", "client"),
    "emulator": None,  # any, including the tests' simulated machines
    "": COORDINATION_FOLDERS + ("transport",),
}
# Further single headers: the messages that the transport carries between users, controllers and the core.
ALLOWED_HEADERS = {
    "transport": ("coordination/command.h", "coordination/membership/peer_status.h", "peer.pb-c.h"),
}

INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)
COMMENT_OR_TEXT = re.compile(r'/\*.*?\*/|//[^\n]*|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])*\'', re.DOTALL)
# GNU layout: the return type on its own line, the name at the start of the next one.
DEFINITION = re.compile(r"^(\w[^\n;}]*)\n([a-z_]\w*) \(", re.MULTILINE)
# Names that are not members of a struct or union.
IDENTIFIER = re.compile(r"(?<![\w.>])[A-Za-z_]\w*")


def folder_of(path):
    """Returns the folder of ALLOWED_FOLDERS that a path relative to the sources belongs to."""
    return path.split("/")[0] if "/" in path else ""


def components(graph):
    """Returns the strongly connected components of a graph {node: set of nodes} (Tarjan)."""
    index, low, stack, on_stack, found = {}, {}, [], set(), []

    def visit(node):
        index[node] = low[node] = len(index)
        stack.append(node)
        on_stack.add(node)
        for target in sorted(graph[node]):
            if target not in index:
                visit(target)
                low[node] = min(low[node], low[target])
            elif target in on_stack:
                low[node] = min(low[node], index[target])
        if low[node] == index[node]:
            component = []
            while not component or component[-1] != node:
                component.append(stack.pop())
                on_stack.discard(component[-1])
            found.append(sorted(component))

    for node in sorted(graph):
        if node not in index:
            visit(node)
    return sorted(found, key=len, reverse=True)


def forbidden_includes(texts):
    """Returns a message for each include that ALLOWED_FOLDERS and ALLOWED_HEADERS don't allow."""
    problems = []
    for path, text in sorted(texts.items()):
        folder = folder_of(path)
        if folder not in ALLOWED_FOLDERS:
            problems.append(f"{path}: the folder {folder} is not in ALLOWED_FOLDERS")
            continue
        if ALLOWED_FOLDERS[folder] is None:
            continue
        for header in INCLUDE.findall(text):
            allowed = header in texts and folder_of(header) in ALLOWED_FOLDERS[folder]
            if not allowed and header not in ALLOWED_HEADERS.get(folder, ()):
                problems.append(f"{path}: may not include {header}")
    return problems


def header_cycles(texts):
    """Returns the groups of headers that include each other."""
    headers = {path for path in texts if path.endswith(".h")}
    graph = {path: set(INCLUDE.findall(texts[path])) & headers for path in headers}
    cycles = [group for group in components(graph) if len(group) > 1]
    return cycles + [[path] for path in sorted(headers) if path in graph[path]]


def call_graph(texts):
    """Returns {.c file: the .c files that define functions which it names}."""
    code = {path: COMMENT_OR_TEXT.sub(" ", text) for path, text in texts.items() if path.endswith(".c")}
    definers = collections.defaultdict(set)
    own_names = collections.defaultdict(set)
    for path, text in code.items():
        for before, name in DEFINITION.findall(text):
            own_names[path].add(name)
            if not before.startswith("static") and name != "main":
                definers[name].add(path)
    return {
        path: {
            definer
            for name in set(IDENTIFIER.findall(text)) - own_names[path]
            for definer in definers.get(name, ())
        }
        for path, text in code.items()
    }


def main():
    sources = pathlib.Path(sys.argv[1])
    texts = {
        path.relative_to(sources).as_posix(): path.read_text()
        for path in sorted(sources.rglob("*.[ch]"))
    }
    problems = forbidden_includes(texts)
    problems += ["headers include each other in a cycle: " + ", ".join(group) for group in header_cycles(texts)]

    largest = {"coordination": 0, "elsewhere": 0}
    for group in components(call_graph(texts)):
        coordination = any(path.startswith(COORDINATION_MODULES) for path in group)
        within = "coordination" if coordination else "elsewhere"
        limit = MAX_COORDINATION_CYCLE_FILES if coordination else MAX_CYCLE_FILES
        if len(group) == 1:
            continue
        largest[within] = max(largest[within], len(group))
        print(f"{len(group)} files call each other: {' '.join(group)}")
        if len(group) > limit:
            problems.append(f"{len(group)} files call each other, above the limit of {limit}")
    print(
        f"{len(texts)} files; the largest cycle of .c files has {largest['coordination']} in"
        f" coordination (at most {MAX_COORDINATION_CYCLE_FILES}) and {largest['elsewhere']} elsewhere"
        f" (at most {MAX_CYCLE_FILES})"
    )
    for problem in problems:
        print(f"FAILED: {problem}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
