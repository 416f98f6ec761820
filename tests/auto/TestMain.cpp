#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int main() {
  CppUnit::TestResult Controller;
  CppUnit::TestResultCollector Results;
  CppUnit::BriefTestProgressListener Progress;
  Controller.addListener(&Results);
  Controller.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Controller);
  CppUnit::CompilerOutputter(&Results, std::cerr).write();
  return Results.wasSuccessful() && Results.runTests() > 0 ? 0 : 1;
}
