// Compares what callers were told with what the targets ran: every signed key
// must have run exactly once, and no key more than once.
#include "options.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <fstream>
#include <iostream>

namespace {

using Poco::JSON::Object;

void Collect(const std::string& aTarget, std::map<std::string, int>& aRuns)
{
  const Poco::Net::SocketAddress address(aTarget);
  Poco::Net::HTTPClientSession session(address);
  Poco::Net::HTTPRequest request("GET", "/control", "HTTP/1.1");
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::string text;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
  const auto runs =
    Poco::JSON::Parser().parse(text).extract<Object::Ptr>()->getObject("runs");
  for (const std::string& key : runs->getNames()) {
    aRuns[key.substr(key.find('/') + 1)] += runs->getValue<int>(key);
  }
}

} // namespace

int main(int aCount, char** aWords)
{
  const auto options = geraniumpond::fakes::ParseOptions(aCount, aWords);
  std::map<std::string, int> runs;
  for (const std::string& target : options.List("targets")) {
    Collect(target, runs);
  }
  long doubled = 0;
  for (const auto& [key, count] : runs) {
    doubled += count > 1 ? 1 : 0;
  }
  long lost = 0;
  long told = 0;
  std::ifstream file(options.Text("signed"));
  std::string key;
  while (std::getline(file, key)) {
    ++told;
    lost += runs.count(key) == 0 ? 1 : 0;
  }
  std::cout << "signed " << told << ", run " << runs.size() << ", lost " << lost
            << ", doubled " << doubled << std::endl;
  return told > 0 && lost == 0 && doubled == 0 ? 0 : 1;
}
