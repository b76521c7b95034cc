"""Guards against a renaming in the code that also changes names visible outside the process.

`data/external_names.txt` lists fields, keys, commands and counters on which other programs, stored data and
operators depend. Each of them must be in the code: as a string, as a part of one, or as the name of a
function or field that is written out under its own name.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
NAMES_FILE = Path(__file__).parent / "data" / "external_names.txt"
IDENTIFIER_FIELDS = ("id", "attr", "arg", "name")


def external_names() -> list[str]:
    lines = NAMES_FILE.read_text("utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def documentation(tree: ast.AST) -> set[int]:
    """Return the identities of the nodes of docstrings, which are strings that form a whole statement."""
    statements = [node for node in ast.walk(tree) if isinstance(node, ast.Expr)]
    return {id(statement.value) for statement in statements if isinstance(statement.value, ast.Constant)}


def code_words(tree: ast.AST) -> Iterator[str]:
    """Yield each identifier and each string of a module, except docstrings."""
    skipped = documentation(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in skipped:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
        for field in IDENTIFIER_FIELDS:
            identifier = getattr(node, field, None)
            if isinstance(identifier, str):
                yield identifier


def missing_names(names: list[str], words: set[str]) -> list[str]:
    """Return the names that are neither an identifier or string of the code nor a part of a longer text.

    Click derives the name of a command from that of its function, with dashes for underscores.
    """
    texts = "\n".join(word for word in words if not word.isidentifier())
    return [n for n in names if n not in words and n not in texts and n.replace("-", "_") not in words]


def test_every_external_name_is_in_the_code() -> None:
    words: set[str] = set()
    for path in sorted((ROOT / "weldbend").rglob("*.py")):
        words.update(code_words(ast.parse(path.read_text("utf-8"))))
    names = external_names()
    assert len(names) > 500  # guards against a list that was emptied or not read
    assert missing_names(names, words) == []


def test_a_renamed_field_is_reported_as_missing() -> None:
    """The field `sight` was renamed to `reach`; only a docstring, which is skipped, has the old name."""
    words = set(code_words(ast.parse('"""sight"""\nreply = {"reach": 1, "state": 2}')))
    assert missing_names(["sight", "state"], words) == ["sight"]
