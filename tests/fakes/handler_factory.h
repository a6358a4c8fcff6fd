#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <functional>
#include <utility>

namespace geraniumpond::fakes {

/// \brief Has a function make the handler of each request to a test's target.
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  using Make = std::function<Poco::Net::HTTPRequestHandler*()>;

  explicit HandlerFactory(Make aMake)
    : mMake(std::move(aMake))
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return mMake();
  }

private:
  Make mMake;
};

} // namespace geraniumpond::fakes
