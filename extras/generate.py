"""Generate the frozen data classes in ``peridotdock/schema`` from the schemas beside them.

Run ``make generate`` after a change of a schema. ``make check-generated`` only compares them.
"""

import subprocess
import sys
import tempfile
from pathlib import Path

SCHEMA_DIR = Path(__file__).resolve().parent.parent / "peridotdock" / "schema"
NAMES = ("settings", "messages", "manifest")
OPTIONS = (
    "--input-file-type=jsonschema",
    "--output-model-type=dataclasses.dataclass",
    "--frozen-dataclasses",
    "--use-schema-description",
    "--use-field-description",
    "--disable-timestamp",
    "--target-python-version=3.11",
    "--use-standard-collections",
    "--use-union-operator",
    "--strict-nullable",
    "--enum-field-as-literal=all",
    "--formatters=black",
)


def render(name: str) -> str:
    """Return the generated module for the schema called ``name``."""
    with tempfile.TemporaryDirectory() as folder:
        output = Path(folder) / f"{name}.py"
        command = [sys.executable, "-m", "datamodel_code_generator", *OPTIONS]
        command += ["--input", str(SCHEMA_DIR / f"{name}.json"), "--output", str(output)]
        subprocess.run(command, check=True, stderr=subprocess.DEVNULL)
        return output.read_text()


def main() -> int:
    """Write the modules, or with ``--check`` report those that differ."""
    check = "--check" in sys.argv
    stale = []
    for name in NAMES:
        target = SCHEMA_DIR / f"{name}.py"
        text = render(name)
        if check and (not target.exists() or target.read_text() != text):
            stale.append(target.name)
        if not check:
            target.write_text(text)
    for name in stale:
        print(f"{name} does not match its schema: run make generate", file=sys.stderr)
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
