#pragma once

#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace anvilsaddle {

/// Checks a rapidcheck property as a CppUnit assertion. RC_PARAMS sets the seed.
template <typename Callable>
void checkProperty(const std::string &Description, Callable &&Property) {
  CPPUNIT_ASSERT_MESSAGE(Description, rc::check(Description, std::forward<Callable>(Property)));
}

} // namespace anvilsaddle
