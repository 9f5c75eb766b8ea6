// Command line client for operators: runs one statement, a file of statements or an interactive
// prompt.
#pragma once

namespace quetzalpaddle {

// Returns the exit status: 0 accepted, 1 refused, 2 host not reached or outcome uncertain, 64 usage
// error.
int runCtl(int argc, char **argv); // NOLINT(readability-identifier-naming)

} // namespace quetzalpaddle
