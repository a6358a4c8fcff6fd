#include "edge/target_client.h"
#include "fakes/scripted_target.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <memory>
#include <string>

namespace geraniumpond::edge {

namespace {

constexpr const char* kRefusal =
  "HTTP/1.1 503 Busy\r\nGeraniumpond-Not-Run: yes\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kSuccess = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr SessionNeeds kNonIdempotent{ kSecond, true };
constexpr SessionNeeds kIdempotent{ kSecond, false };

} // namespace

// Guards against a non-idempotent call that the older host runs twice: a late
// second copy of a refusal was taken for the refusal of the next call on the
// connection.
class OlderHostRefusalsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OlderHostRefusalsTest);
  CPPUNIT_TEST(ConnectionThatCarriedARefusalTakesNoNonIdempotentCall);
  CPPUNIT_TEST(ConnectionThatCarriedARefusalTakesIdempotentCalls);
  CPPUNIT_TEST(ConnectionWithoutARefusalTakesAllCalls);
  CPPUNIT_TEST(ConnectionThatIsFitIsFoundBehindOthers);
  CPPUNIT_TEST(ConnectionsThatWereIdleForTooLongAreClosed);
  CPPUNIT_TEST_SUITE_END();

public:
  void ConnectionThatCarriedARefusalTakesNoNonIdempotentCall()
  {
    Use(kRefusal, kSecond);
    CPPUNIT_ASSERT(!mPool.Acquire(kAddress, kNonIdempotent, kSecond));
  }

  void ConnectionThatCarriedARefusalTakesIdempotentCalls()
  {
    Use(kRefusal, kSecond);
    CPPUNIT_ASSERT(mPool.Acquire(kAddress, kIdempotent, kSecond));
  }

  void ConnectionWithoutARefusalTakesAllCalls()
  {
    Use(kSuccess, kSecond);
    CPPUNIT_ASSERT(mPool.Acquire(kAddress, kNonIdempotent, kSecond));
  }

  void ConnectionThatIsFitIsFoundBehindOthers()
  {
    Use(kSuccess, kSecond);
    Use(kRefusal, kSecond);
    const std::unique_ptr<TargetSession> fit =
      mPool.Acquire(kAddress, kNonIdempotent, kSecond);
    CPPUNIT_ASSERT(fit && !fit->MayRepeatRefusal());
    CPPUNIT_ASSERT(mPool.Acquire(kAddress, kIdempotent, kSecond));
  }

  void ConnectionsThatWereIdleForTooLongAreClosed()
  {
    Use(kSuccess, kSecond);
    Use(kSuccess, 100 * kSecond);
    const SessionNeeds any{ 1000 * kSecond, false };
    CPPUNIT_ASSERT(mPool.Acquire(kAddress, any, 100 * kSecond));
    CPPUNIT_ASSERT(!mPool.Acquire(kAddress, any, 100 * kSecond));
  }

private:
  static constexpr const char* kAddress = "target";

  // A connection with one call behind it that is idle since a time.
  void Use(const std::string& aAnswer, Micros aSince)
  {
    mAnswer = aAnswer;
    const Poco::Net::SocketAddress address(mTarget.Address());
    auto session = std::make_unique<TargetSession>(address.host().toString(),
                                                   address.port());
    session->Connect(kSecond);
    Poco::Net::HTTPRequest request("GET", "/", "HTTP/1.1");
    session->sendRequest(request);
    session->flushRequest();
    Poco::Net::HTTPResponse response;
    session->receiveResponse(response);
    CPPUNIT_ASSERT(session->StartBody(response, false));
    mPool.Release(kAddress, std::move(session), aSince);
  }

  std::string mAnswer;
  fakes::ScriptedTarget mTarget{ [this](const std::string&) {
    return fakes::Script{ mAnswer, "" };
  } };
  SessionPool mPool;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OlderHostRefusalsTest);

} // namespace geraniumpond::edge
