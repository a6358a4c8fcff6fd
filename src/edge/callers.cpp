#include "callers.h"

#include <geraniumpond/hash.h>
#include <geraniumpond/views.h>

#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <thread>

namespace geraniumpond::edge {

namespace {

constexpr const char* kEntriesPath = "/geraniumpond/v1/entries";
constexpr Micros kMillisecondsInSecond = 1000;

bool IsForwarded(const std::string& aName)
{
  static const std::vector<std::string> excluded = {
    "connection",       "keep-alive",
    "proxy-connection", "te",
    "trailer",          "transfer-encoding",
    "upgrade",          "host",
    "authorization",    "proxy-authorization",
    "expect",           "content-length",
  };
  const std::string name = Poco::toLower(aName);
  return name.rfind("geraniumpond-", 0) != 0 &&
         std::find(excluded.begin(), excluded.end(), name) == excluded.end();
}

std::vector<std::string> ConnectionHeaderNames(
  const Poco::Net::HTTPServerRequestImpl& aRequest)
{
  std::vector<std::string> names;
  std::string list = Poco::toLower(aRequest.get("Connection", ""));
  std::string name;
  for (const char next : list + ",") {
    if (next == ',') {
      names.push_back(Poco::trim(name));
      name.clear();
    } else {
      name.push_back(next);
    }
  }
  return names;
}

BodyResult ReadRequest(Call& aCall, CallerRequest& aOut)
{
  Poco::Net::HTTPServerRequestImpl& request = aCall.mRequest;
  aOut.mMethod = request.getMethod();
  aOut.mUri = request.getURI();
  aOut.mClientSocket = aCall.mSession.socket().impl()->sockfd();
  const std::vector<std::string> connectionHeaders =
    ConnectionHeaderNames(request);
  for (const auto& [name, value] : request) {
    const bool isHopByHop =
      std::find(connectionHeaders.begin(),
                connectionHeaders.end(),
                Poco::toLower(name)) != connectionHeaders.end();
    if (IsForwarded(name) && !isHopByHop) {
      aOut.mHeaders.emplace_back(name, value);
    }
  }
  return ReadBody(aCall, aOut.mBody, aOut.mHeld);
}

std::uint32_t DeadlineOf(const Poco::Net::HTTPServerRequestImpl& aRequest)
{
  unsigned deadline = 0;
  const std::string text = aRequest.get("Geraniumpond-Deadline-Ms", "0");
  return Poco::NumberParser::tryParseUnsigned(text, deadline) ? deadline : 0;
}

wire::Event MakeArrivalEvent(const Call& aCall, const Exchange& aExchange)
{
  const CallerRequest& request = aExchange.mRequest;
  wire::Event event;
  wire::RequestArrived& arrived = *event.mutable_request();
  arrived.set_request(aExchange.Id());
  arrived.set_token_sha256(TokenDigest(aCall.mRequest));
  arrived.set_method(request.mMethod);
  arrived.set_path(request.mUri);
  arrived.set_idempotency_key(aCall.mRequest.get("Idempotency-Key", ""));
  arrived.set_body_bytes(request.mBody.size());
  if (!arrived.idempotency_key().empty()) {
    arrived.set_body_digest(Sha256Hex(request.mBody));
  }
  arrived.set_deadline_ms(DeadlineOf(aCall.mRequest));
  arrived.set_has_range(aCall.mRequest.has("Range"));
  return event;
}

ConnectionAction WriteAnswer(Call& aCall, const wire::Answer& aAnswer)
{
  Poco::Net::HTTPServerResponseImpl& response = aCall.mResponse;
  if (aAnswer.close_connection()) {
    response.setKeepAlive(false);
  }
  if (aAnswer.has_stored()) {
    SendStored(aCall, aAnswer.stored(), aAnswer.outcome());
    return ConnectionAction::KeepOpen;
  }
  response.set("Geraniumpond-Outcome", aAnswer.outcome());
  if (aAnswer.retry_after_ms() > 0) {
    const auto seconds =
      (aAnswer.retry_after_ms() + kMillisecondsInSecond - 1) /
      kMillisecondsInSecond;
    response.set("Retry-After", std::to_string(seconds));
    response.set("Geraniumpond-Retry-After-Ms",
                 std::to_string(aAnswer.retry_after_ms()));
  }
  SendText(aCall,
           static_cast<int>(aAnswer.status()),
           "text/plain",
           aAnswer.reason() + "\n");
  return ConnectionAction::KeepOpen;
}

ConnectionAction WriteBufferedAnswer(Call& aCall,
                                     Exchange& aExchange,
                                     std::uint64_t aAttempt)
{
  if (aExchange.CloseAfterResponse()) {
    aCall.mResponse.setKeepAlive(false);
  }
  SendStored(aCall, aExchange.TakeAnswer(aAttempt), "ran");
  return ConnectionAction::KeepOpen;
}

void RunOnWorker(AttemptContext& aContext,
                 const std::shared_ptr<Exchange>& aExchange,
                 Call* aCall,
                 const wire::Dispatch& aDispatch)
{
  std::thread([&aContext, aExchange, aCall, aDispatch] {
    RunAttempt(aContext, aExchange, aCall, aDispatch);
    aContext.mRunning.Done();
  }).detach();
}

ConnectionAction Serve(AttemptContext& aContext,
                       Call& aCall,
                       const std::shared_ptr<Exchange>& aExchange)
{
  aExchange->SetWorker([&aContext,
                        weak = std::weak_ptr<Exchange>(aExchange),
                        &aCall](const wire::Dispatch& aDispatch) {
    aContext.mRunning.Add();
    RunOnWorker(aContext, weak.lock(), &aCall, aDispatch);
  });
  aContext.mRuntime.Post(MakeArrivalEvent(aCall, *aExchange));
  while (true) {
    const wire::Effect effect = aExchange->WaitForEffect();
    switch (effect.body_case()) {
      case wire::Effect::kDispatch:
        RunAttempt(aContext, aExchange, &aCall, effect.dispatch());
        break;
      case wire::Effect::kAnswer:
        return WriteAnswer(aCall, effect.answer());
      case wire::Effect::kAccept:
        return WriteBufferedAnswer(
          aCall, *aExchange, effect.accept().attempt());
      case wire::Effect::kBreakConnection:
        return ConnectionAction::Break;
      default:
        return aExchange->CallerGone() ? ConnectionAction::Break
                                       : ConnectionAction::KeepOpen;
    }
  }
}

ConnectionAction ServeEntries(AttemptContext& aContext, Call& aCall)
{
  std::string service;
  for (const auto& [name, value] :
       Poco::URI(aCall.mRequest.getURI()).getQueryParameters()) {
    if (name == "service") {
      service = value;
    }
  }
  const std::string body =
    aContext.mRuntime.Read([&](const node::State& aState, Micros) {
      return views::Entries(aState, service);
    });
  SendText(aCall, 200, "application/json", body);
  return ConnectionAction::KeepOpen;
}

} // namespace

ConnectionAction ServeCaller(AttemptContext& aContext, Call& aCall)
{
  if (aCall.mRequest.getURI().rfind(kEntriesPath, 0) == 0) {
    return ServeEntries(aContext, aCall);
  }
  const std::shared_ptr<Exchange> exchange = aContext.mRuntime.NewExchange();
  ConnectionAction action = ConnectionAction::Break;
  try {
    // A request with a truncated body is dropped.
    const BodyResult body = ReadRequest(aCall, exchange->mRequest);
    action = body == BodyResult::Whole ? Serve(aContext, aCall, exchange)
                                       : EndUnread(aCall, body);
  } catch (const Poco::Exception&) {
    action = ConnectionAction::Break;
  }
  aContext.mRuntime.EndExchange(exchange);
  return action;
}

} // namespace geraniumpond::edge
