#pragma once

#include <string_view>

namespace anvilsaddle {

/// Checks the lines of a response head against the grammar of RFC 9112, including rules that
/// lenient parsers waive: a status outside 100 to 599, a field name that is empty or holds blanks
/// or control bytes, a control byte in a value, and a line that continues the one before it. Each
/// function returns what is wrong, or an empty text. Thread-safe.
namespace headgrammar {

/// Precondition: the line is complete, without its end.
std::string_view findProblemOfStatusLine(std::string_view Line);
/// Precondition: the line is complete, without its end, and not empty.
std::string_view findProblemOfField(std::string_view Line);
/// Checks the part of a status line that has arrived, so that bytes which are no response at all
/// are found before their first line ends.
std::string_view findProblemOfStatusLineStart(std::string_view Start);

} // namespace headgrammar

} // namespace anvilsaddle
