#include "gateway_sinks.h"

#include "request_digest.h"

#include "edge/logging.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace geraniumpond::frontend {

namespace {

dispatch::Arrival ArrivalOf(const HttpRequest& aRequest,
                            const FieldNames& aNames,
                            const std::vector<std::string>& aCallerFields,
                            RelayFields aRelay)
{
  dispatch::Arrival arrival;
  const std::string* id = FindField(aRequest.mFields, aNames.mRequestId);
  arrival.mClientRequestId = id == nullptr ? "" : *id;
  arrival.mHostName = *FindField(aRequest.mFields, "Host");
  arrival.mPath = aRequest.mTarget;
  arrival.mContentDigest = ContentDigest(aRequest, aCallerFields);
  const std::string* timeout = FindField(aRequest.mFields, aNames.mTimeout);
  Poco::Int64 milliseconds = 0;
  if (timeout != nullptr &&
      Poco::NumberParser::tryParse64(*timeout, milliseconds)) {
    arrival.mPatience = std::max<Micros>(1, milliseconds * kMillisecond);
  }
  arrival.mHasRelayFields = aRelay.mAny;
  arrival.mRelayFieldsUnsound = aRelay.mUnsound;
  arrival.mRelayedAfter = aRelay.mAfter;
  arrival.mRelayedIdentity = aRelay.mIdentity;
  arrival.mAccount = std::move(aRelay.mAccount);
  arrival.mIsForFastLink = aRelay.mBytesPerSecond > 0;
  arrival.mSender = aRequest.mSender;
  arrival.mKey = ParseKey(aRequest.mFields, aNames);
  return arrival;
}

} // namespace

void GatewayProcess::ClientSink::OnRequest(std::uint64_t aExchange,
                                           HttpRequest aRequest)
{
  RelayFields relay =
    ParseRelayFields(aRequest.mFields, mProcess.mDialect.mFieldNames);
  const double bytesPerSecond = relay.mBytesPerSecond;
  dispatch::Arrival arrival = ArrivalOf(aRequest,
                                        mProcess.mDialect.mFieldNames,
                                        mProcess.mSettings.mCallerFields,
                                        std::move(relay));
  arrival.mId = aExchange;
  Exchange& exchange = mProcess.mExchanges[aExchange];
  exchange.mBytesPerSecond = bytesPerSecond;
  exchange.mRequest = std::make_shared<const HttpRequest>(std::move(aRequest));
  exchange.mArrivedAt = mProcess.mNow;
  mProcess.Post(std::move(arrival));
}

void GatewayProcess::ClientSink::OnClientDisconnected(std::uint64_t aExchange)
{
  mProcess.mExchanges.erase(aExchange);
  mProcess.Post(gateway::ClientGone{ aExchange });
}

void GatewayProcess::ClientSink::OnMalformed(int aStatus,
                                             const std::string& aReason)
{
  edge::WriteLog(2,
                 "event=malformed_request status=" + std::to_string(aStatus) +
                   " reason=\"" + aReason + "\"");
  ++mProcess.mState.mDispatch.mCounters["malformed_requests"];
}

void GatewayProcess::ClientSink::OnAnswerGivenUp(const char* aReason,
                                                 std::uint64_t aUnsent)
{
  edge::WriteLog(2,
                 std::string("event=answer_given_up reason=") + aReason +
                   " unsent=" + std::to_string(aUnsent) + " held=" +
                   std::to_string(mProcess.mClientMemory.HeldBytes()));
  ++mProcess.mState.mDispatch.mCounters["answers_given_up"];
}

// Another host that passed the request on tries a further one, as after any
// answer that says that it has not run.
HttpResponse GatewayProcess::ClientSink::Refuse(const HttpRequest& aRequest,
                                                const std::string& aReason)
{
  edge::WriteLog(2,
                 "event=refused_for_memory reason=\"" + aReason + "\" held=" +
                   std::to_string(mProcess.mClientMemory.HeldBytes()));
  ++mProcess.mState.mDispatch.mCounters["refused_for_memory"];
  HttpResponse response = RequestSink::Refuse(aRequest, aReason);
  mProcess.MarkForRelay(aRequest, response);
  return response;
}

void GatewayProcess::CallSink::OnRequest(std::uint64_t aExchange,
                                         HttpRequest aRequest)
{
  mProcess.HandleCall(aExchange, aRequest);
}

void GatewayProcess::CallSink::OnMalformed(int aStatus,
                                           const std::string& aReason)
{
  edge::WriteLog(2,
                 "event=malformed_call status=" + std::to_string(aStatus) +
                   " reason=\"" + aReason + "\"");
  ++mProcess.mState.mDispatch.mCounters["malformed_calls"];
}

} // namespace geraniumpond::frontend
