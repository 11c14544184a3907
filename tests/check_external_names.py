#!/usr/bin/env python3
"""check_external_names.py ROOT: fails when a name of tests/external-names.txt is no longer spelled in
the files that its section gives. The head of that file describes its form."""
import pathlib
import re
import sys

LITERAL = re.compile(r'"((?:\\.|[^"\\\n])*)"')
COMMENT = re.compile(r'/\*.*?\*/|//[^\n]*|"(?:\\.|[^"\\\n])*"', re.DOTALL)
SUFFIXES = (".c", ".h", ".sh", ".proto", ".toml", ".txt")


def without_comments(text):
    """The text of a source; comments are taken out, string literals stay."""
    return COMMENT.sub(lambda m: m.group() if m.group().startswith('"') else " ", text)


def searched_text(root, places, how):
    """What the names of a section are looked up in: string literals, one a line, or the sources."""
    texts = []
    for place in places:
        path = root / place
        files = sorted(path.rglob("*")) if path.is_dir() else [path]
        for file in files:
            if file.suffix not in SUFFIXES or file.name == "external-names.txt":
                continue
            text = file.read_text()
            if file.suffix in (".c", ".h"):
                text = without_comments(text)
            texts += LITERAL.findall(text) if how == "text" else [" ".join(text.split())]
    return "\n".join(texts)


def is_spelled(name, text):
    """Whether the name stands in the text by itself, not as a part of a longer word."""
    before = r"(?<!\w)" if re.match(r"\w", name) else ""
    after = r"(?!\w)" if re.search(r"\w$", name) else ""
    return re.search(before + re.escape(name) + after, text) is not None


def main():
    root = pathlib.Path(sys.argv[1])
    missing = count = 0
    title = text = None
    for line in (root / "tests/external-names.txt").read_text().splitlines():
        if not line or line.startswith("# "):
            continue
        header = re.fullmatch(r"\[(.+) \| (.+) \| (text|source)\]", line)
        if header:
            title, text = header[1], searched_text(root, header[2].split(), header[3])
            continue
        count += 1
        if not is_spelled(line, text):
            missing += 1
            print(f"FAILED: {title}: {line}")
    print(f"{count} external names, {missing} of them not found")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
