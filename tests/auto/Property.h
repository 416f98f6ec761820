#pragma once

#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace anvilsaddle {

/// Runs a rapidcheck property as a CppUnit assertion. The seed comes from RC_PARAMS.
template <typename Callable>
void checkProperty(const std::string &Description, Callable &&Property) {
  CPPUNIT_ASSERT_MESSAGE(Description, rc::check(Description, std::forward<Callable>(Property)));
}

} // namespace anvilsaddle
