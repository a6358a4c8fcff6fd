#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace {

// Tests that KNOWN-RED.txt names in full are printed as failed, and do not fail
// the run.
bool IsKnownRed(const CppUnit::TestFailure* aFailure)
{
  std::ifstream file(GERANIUMPOND_SOURCE "/KNOWN-RED.txt");
  const std::string known{ std::istreambuf_iterator<char>(file), {} };
  return known.find(aFailure->failedTestName() + " ") != std::string::npos;
}

} // namespace

// An argument is the path of one suite or test, as the listener prints it.
int main(int aCount, char** aArguments)
{
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, aCount > 1 ? aArguments[1] : "");
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  const int failed = collector.testFailuresTotal();
  std::cout << collector.runTests() - failed << " passed, " << failed
            << " failed" << std::endl;
  const auto& failures = collector.failures();
  const bool onlyKnown =
    std::all_of(failures.begin(), failures.end(), IsKnownRed);
  if (failed > 0 && onlyKnown) {
    std::cout << "known red: all that failed is listed" << std::endl;
  }
  return onlyKnown ? 0 : 1;
}
