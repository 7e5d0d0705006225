"""Prints the JSON schema of release notes: ``python -m geraniumshore``."""

import json

from geraniumshore import ReleaseNote

if __name__ == "__main__":
    print(json.dumps(ReleaseNote.model_json_schema(), indent=2, sort_keys=True))
