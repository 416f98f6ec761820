#pragma once

#include <iosfwd>

namespace anvilsaddle {

/// Runs the command-line tool and returns its exit code.
int runTool(int ArgumentCount, const char *const *Arguments, std::ostream &Out,
            std::ostream &ErrorOut);

} // namespace anvilsaddle
