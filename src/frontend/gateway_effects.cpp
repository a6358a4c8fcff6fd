#include "gateway_process.h"

#include "edge/logging.h"

#include <algorithm>
#include <cstdio>

// Carries out the reducer's effects on sockets, disk and log.
namespace geraniumpond::frontend {

namespace {

/// Targets get a deadline this much before the client's, which leaves time to
/// return the answer.
constexpr Micros kReturnMargin = 2 * kMillisecond;

// Seconds with a fractional part, which the clients accept.
std::string RetryAfterText(Micros aTime)
{
  char text[32];
  std::snprintf(
    text, sizeof(text), "%.3f", static_cast<double>(aTime) / kSecond);
  return text;
}

std::string RequestBytes(const HttpRequest& aRequest,
                         const FieldNames& aNames,
                         const std::string& aTarget,
                         Micros aTimeout)
{
  std::string out;
  out.reserve(512 + aRequest.mBody.size());
  out += aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  bool framed = false;
  for (const auto& [name, value] : aRequest.mFields) {
    if (EqualIgnoringCase(name, "Content-Length") ||
        EqualIgnoringCase(name, "Transfer-Encoding")) {
      framed = true;
      continue;
    }
    if (IsHopByHopField(aRequest.mFields, name) ||
        EqualIgnoringCase(name, aNames.mTimeout) ||
        EqualIgnoringCase(name, aNames.mExpectedTarget)) {
      continue;
    }
    out += name + ": " + value + "\r\n";
  }
  const Micros left = std::max<Micros>(1, aTimeout / kMillisecond);
  out += aNames.mTimeout + ": " + std::to_string(left) + "\r\n";
  out += aNames.mExpectedTarget + ": " + aTarget + "\r\n";
  if (framed) {
    out += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  out += "\r\n";
  out += aRequest.mBody;
  return out;
}

} // namespace

void GatewayProcess::PerformOne(dispatch::ProbeTarget& aEffect)
{
  mTargets.Probe(aEffect);
}

void GatewayProcess::PerformOne(dispatch::SendRequest& aEffect)
{
  const auto found = mExchanges.find(aEffect.mRequest);
  if (found == mExchanges.end()) {
    return;
  }
  const HttpRequest& request = found->second.mRequest;
  const std::string* id =
    FindField(request.mFields, mDialect.mFieldNames.mRequestId);
  OutboundRequest outbound;
  outbound.mRequest = aEffect.mRequest;
  outbound.mAttempt = aEffect.mAttempt;
  outbound.mTarget = aEffect.mTarget;
  outbound.mAddress = aEffect.mAddress;
  outbound.mBytes = RequestBytes(request,
                                 mDialect.mFieldNames,
                                 aEffect.mTargetName,
                                 aEffect.mDeadline - mNow - kReturnMargin);
  outbound.mRequestId = id == nullptr ? "" : *id;
  outbound.mHeadOnly = request.mMethod == "HEAD";
  outbound.mProvenConnection = aEffect.mProvenConnection;
  mTargets.Send(std::move(outbound));
}

void GatewayProcess::PerformOne(dispatch::CancelAttempt& aEffect)
{
  mTargets.Cancel(aEffect.mAttempt);
}

void GatewayProcess::PerformOne(dispatch::DeliverAnswer& aEffect)
{
  const auto found = mExchanges.find(aEffect.mRequest);
  if (found != mExchanges.end() &&
      found->second.mAnsweredBy == aEffect.mAttempt) {
    RespondToClient(aEffect.mRequest, found->second.mAnswer);
  }
}

void GatewayProcess::PerformOne(dispatch::ReplyToClient& aEffect)
{
  HttpResponse response =
    MakeResponse(aEffect.mStatus, "text/plain", aEffect.mReason + "\n");
  if (aEffect.mRetryAfter > 0) {
    response.mFields.emplace_back("Retry-After",
                                  RetryAfterText(aEffect.mRetryAfter));
  }
  RespondToClient(aEffect.mRequest, response);
}

void GatewayProcess::PerformOne(dispatch::LogLine& aEffect)
{
  edge::WriteLog(aEffect.mLevel, aEffect.mText);
}

void GatewayProcess::PerformOne(gateway::AnswerOperation& aEffect)
{
  const auto url = mPolicyReadUrls.find(aEffect.mOperation);
  const bool elsewhere = aEffect.mEnd == gateway::OperationOutcome::Elsewhere;
  RespondToCall(aEffect.mOperation,
                elsewhere && url != mPolicyReadUrls.end()
                  ? RedirectTo(aEffect.mElsewhere, url->second)
                  : mDialect.mMakeOperationResponse(aEffect));
  if (url != mPolicyReadUrls.end()) {
    mPolicyReadUrls.erase(url);
  }
}

void GatewayProcess::PerformOne(gateway::SendPeer& aEffect)
{
  std::string bytes = aEffect.mMessage.SerializeAsString();
  const bool near = fleet::IsInOwnDataCentre(mState.mFleet, aEffect.mAddress);
  const std::string name = std::string("peer_") +
                           fleet::KindOf(aEffect.mMessage) +
                           (near ? "_near" : "_away");
  dispatch::Counters& counters = mState.mDispatch.mCounters;
  ++counters[name + "_messages"];
  counters[name + "_bytes"] += bytes.size();
  mPeers->Send(aEffect.mAddress, std::move(bytes));
}

void GatewayProcess::PerformOne(gateway::Persist& aEffect)
{
  mUnsynced.emplace_back(aEffect.mWrite.mSequence, mNow);
  mDisk->Write(std::move(aEffect.mWrite));
}

void GatewayProcess::PerformOne(gateway::ExitProcess&)
{
  mExited = true;
}

void GatewayProcess::RespondToClient(std::uint64_t aExchange,
                                     const HttpResponse& aResponse)
{
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return;
  }
  mMetrics.Observe("request",
                   std::to_string(aResponse.mStatus),
                   mNow - found->second.mArrivedAt);
  mClientServer->Respond(aExchange, aResponse);
  mExchanges.erase(aExchange);
}

void GatewayProcess::RespondToCall(std::uint64_t aExchange,
                                   const HttpResponse& aResponse)
{
  for (const std::unique_ptr<HttpServer>& server : mCallServers) {
    server->Respond(aExchange, aResponse);
  }
}

} // namespace geraniumpond::frontend
