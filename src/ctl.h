// Command line client for operators: runs one statement, a file of statements or an interactive
// prompt.
#pragma once

namespace quetzalpaddle {

// Returns the exit status: 0 accepted, 1 refused, 2 host not reached or outcome uncertain, 64 usage
// error.
int runCtl(int argc, char **argv); // NOLINT(readability-identifier-naming)

// Runs "ctl where", which asks a host of the line protocol at its admin address. argv[0] is
// "where".
int runCtlWhere(int argc, char **argv); // NOLINT(readability-identifier-naming)

} // namespace quetzalpaddle
