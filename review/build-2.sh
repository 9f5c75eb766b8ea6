#!/bin/sh
# The scripts of the cases 6 to 10 start the program of the deploy file only; their stand-ins are
# Python, those of testing/ and of common-2/, and need no build. This checks that they can be loaded.
cd "$(dirname "$0")" && exec python3 -B -c "
import ast, pathlib, sys
files = [*pathlib.Path('common-2').glob('*.py'), *pathlib.Path('../testing').glob('line_*.py')]
files += [path for case in ('6', '7', '8', '9', '10') for path in pathlib.Path(case).glob('*.py')]
[ast.parse(path.read_text(), str(path)) for path in files]
print(len(files), 'files of the stand-ins can be loaded')"
