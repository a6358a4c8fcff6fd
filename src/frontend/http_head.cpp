#include "http_head.h"

// POCO reads HTTP fields as those of mail: it decodes encoded words, which may
// hold line breaks, and bounds each value by 8 KB.
#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <limits>

namespace geraniumpond::frontend {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr int kHttp11 = 11;

template<bool isRequest>
using Head = std::conditional_t<isRequest, RequestHead, ResponseHead>;

/// \brief Collects the start line and the fields of one head. Bodies are read
/// elsewhere.
template<bool isRequest>
class HeadParser : public http::basic_parser<isRequest>
{
public:
  HeadParser()
  {
    this->skip(true);
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
  }

  [[nodiscard]] Result<Head<isRequest>> Parse(std::string_view aBytes)
  {
    error_code error;
    const std::size_t read =
      this->put(boost::asio::const_buffer(aBytes.data(), aBytes.size()), error);
    if (error || read != aBytes.size() || !this->is_header_done()) {
      return Fail(ErrorCode::InvalidArgument,
                  error ? error.message() : "incomplete head");
    }
    mHead.mKeepAlive = !HasToken(mHead.mFields, "Connection", "close") &&
                       (mVersion == kHttp11 ||
                        HasToken(mHead.mFields, "Connection", "keep-alive"));
    return std::move(mHead);
  }

private:
  void on_request_impl(http::verb,
                       string_view aMethod,
                       string_view aTarget,
                       int aVersion,
                       error_code&) override
  {
    if constexpr (isRequest) {
      mHead.mMethod.assign(aMethod.data(), aMethod.size());
      mHead.mTarget.assign(aTarget.data(), aTarget.size());
    }
    mVersion = aVersion;
  }

  void on_response_impl(int aStatus,
                        string_view aReason,
                        int aVersion,
                        error_code&) override
  {
    if constexpr (!isRequest) {
      mHead.mStatus = aStatus;
      mHead.mReason.assign(aReason.data(), aReason.size());
    }
    mVersion = aVersion;
  }

  void on_field_impl(http::field,
                     string_view aName,
                     string_view aValue,
                     error_code&) override
  {
    mHead.mFields.emplace_back(std::string(aName), std::string(aValue));
  }

  void on_header_impl(error_code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override
  {
  }
  std::size_t on_body_impl(string_view, error_code&) override { return 0; }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 string_view,
                                 error_code&) override
  {
    return 0;
  }
  void on_finish_impl(error_code&) override {}

  Head<isRequest> mHead;
  int mVersion = 0;
};

} // namespace

Result<RequestHead> ParseRequestHead(std::string_view aBytes)
{
  return HeadParser<true>().Parse(aBytes);
}

Result<ResponseHead> ParseResponseHead(std::string_view aBytes)
{
  return HeadParser<false>().Parse(aBytes);
}

} // namespace geraniumpond::frontend
