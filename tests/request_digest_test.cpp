#include "frontend/request_digest.h"

#include <geraniumpond/hash.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::frontend {

namespace {

HttpRequest MakeRequest()
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/signatures";
  request.mFields = { { "Host", "permits.example" },
                      { "Request-Id", "1" },
                      { "authorization", "Bearer anna" } };
  request.mBody = "signed";
  request.mBodyDigest = Hash64(request.mBody);
  return request;
}

} // namespace

class RequestDigestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestDigestTest);
  CPPUNIT_TEST(RetryHasTheSameDigest);
  CPPUNIT_TEST(DifferentMethodBodyOrCallerHasDifferentDigest);
  CPPUNIT_TEST(CallerIsIdentifiedByConfiguredFields);
  CPPUNIT_TEST_SUITE_END();

public:
  void RetryHasTheSameDigest()
  {
    HttpRequest retry = MakeRequest();
    retry.mFields[1].second = "2";
    retry.mFields.emplace_back("Deadline-Ms", "700");
    retry.mFields.emplace_back("Connection", "close");
    CPPUNIT_ASSERT_EQUAL(DigestOf(MakeRequest()), DigestOf(retry));
  }

  void DifferentMethodBodyOrCallerHasDifferentDigest()
  {
    HttpRequest method = MakeRequest();
    method.mMethod = "PUT";
    HttpRequest body = MakeRequest();
    body.mBodyDigest = Hash64("withdrawn");
    HttpRequest caller = MakeRequest();
    caller.mFields[2].second = "Bearer omar";
    HttpRequest anonymous = MakeRequest();
    anonymous.mFields.pop_back();
    for (const HttpRequest& other : { method, body, caller, anonymous }) {
      CPPUNIT_ASSERT(DigestOf(MakeRequest()) != DigestOf(other));
    }
  }

  void CallerIsIdentifiedByConfiguredFields()
  {
    HttpRequest other = MakeRequest();
    other.mFields[2].second = "Bearer omar";
    CPPUNIT_ASSERT_EQUAL(ContentDigest(MakeRequest(), { "Cookie" }),
                         ContentDigest(other, { "Cookie" }));
  }

private:
  static std::uint64_t DigestOf(const HttpRequest& aRequest)
  {
    return ContentDigest(aRequest, { "Authorization", "Cookie" });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestDigestTest);

} // namespace geraniumpond::frontend
