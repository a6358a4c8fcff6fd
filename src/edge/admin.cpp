#include "admin.h"

#include <geraniumpond/views.h>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <vector>

namespace geraniumpond::edge {

namespace {

using Poco::JSON::Object;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr const char* kJson = "application/json";
constexpr std::size_t kMaxName = 63;

ConnectionAction SendError(Call& aCall,
                           int aStatus,
                           const std::string& aMessage)
{
  Object object;
  object.set("error",
             aStatus == kUnauthorized ? "unauthorized"
             : aStatus == kNotFound   ? "not-found"
                                      : "invalid-argument");
  object.set("message", aMessage);
  std::ostringstream text;
  object.stringify(text);
  SendText(aCall, aStatus, kJson, text.str());
  return ConnectionAction::KeepOpen;
}

std::string QueryParameter(const Call& aCall, const std::string& aName)
{
  for (const auto& [name, value] :
       Poco::URI(aCall.mRequest.getURI()).getQueryParameters()) {
    if (name == aName) {
      return value;
    }
  }
  return "";
}

std::uint64_t ParseNumber(const std::string& aText)
{
  Poco::UInt64 number = 0;
  return Poco::NumberParser::tryParseUnsigned64(aText, number) ? number : 0;
}

ConnectionAction SendResult(Call& aCall, const wire::OperationAnswer& aAnswer)
{
  SendText(aCall, static_cast<int>(aAnswer.status()), kJson, aAnswer.body());
  return ConnectionAction::KeepOpen;
}

ConnectionAction Apply(Runtime& aRuntime, Call& aCall)
{
  std::string body;
  HeldBytes held;
  const BodyResult read = ReadBody(aCall, body, held);
  if (read != BodyResult::Whole) {
    return EndUnread(aCall, read);
  }
  const std::string token = TokenDigest(aCall.mRequest);
  return SendResult(
    aCall, aRuntime.RunOperation([&](wire::Event& aEvent, std::uint64_t aId) {
      wire::OperatorApply& apply = *aEvent.mutable_apply();
      apply.set_operation(aId);
      apply.set_token_sha256(token);
      apply.mutable_apply()->set_change_id(
        aCall.mRequest.get("Geraniumpond-Change-Id", ""));
      apply.mutable_apply()->set_operator_name(
        aCall.mRequest.get("Geraniumpond-Operator", "operator"));
      apply.mutable_apply()->set_expected_version(
        ParseNumber(aCall.mRequest.get("Geraniumpond-Expect-Version", "0")));
      apply.mutable_apply()->set_text(body);
    }));
}

ConnectionAction Drain(Runtime& aRuntime, Call& aCall)
{
  const std::string token = TokenDigest(aCall.mRequest);
  return SendResult(
    aCall, aRuntime.RunOperation([&](wire::Event& aEvent, std::uint64_t aId) {
      wire::OperatorDrain& drain = *aEvent.mutable_drain();
      drain.set_operation(aId);
      drain.set_token_sha256(token);
      drain.set_what(QueryParameter(aCall, "what"));
      drain.set_service(QueryParameter(aCall, "service"));
      drain.set_id(QueryParameter(aCall, "id"));
      drain.set_undrain(QueryParameter(aCall, "undrain") == "yes");
    }));
}

bool IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxName &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
           std::string::npos;
}

bool IsAddress(const std::string& aText)
{
  try {
    const std::size_t colon = aText.rfind(':');
    if (colon == std::string::npos) {
      return false;
    }
    Poco::Net::IPAddress address;
    return Poco::Net::IPAddress::tryParse(aText.substr(0, colon), address) &&
           ParseNumber(aText.substr(colon + 1)) > 0 &&
           ParseNumber(aText.substr(colon + 1)) < 65536;
  } catch (const Poco::Exception&) {
    return false;
  }
}

// Fills the event from the body; returns an error message, empty on success.
std::string FillAnnounce(const std::string& aBody, wire::TargetAnnounced& aOut)
{
  try {
    const auto object =
      Poco::JSON::Parser().parse(aBody).extract<Object::Ptr>();
    aOut.set_address(object->optValue<std::string>("address", ""));
    aOut.set_data_centre(object->optValue<std::string>("data_centre", ""));
    aOut.set_slots(object->optValue<unsigned>("slots", 0));
    aOut.set_incarnation(object->optValue<Poco::UInt64>("incarnation", 0));
    aOut.set_draining(object->optValue<bool>("draining", false));
    aOut.set_leaving(object->optValue<bool>("leaving", false));
    if (object->has("in_flight")) {
      aOut.mutable_load()->set_in_flight(
        object->getValue<unsigned>("in_flight"));
      aOut.mutable_load()->set_slots(aOut.slots());
      aOut.mutable_load()->set_present(true);
    }
  } catch (const std::exception&) {
    return "the body is not the JSON object of an announce";
  }
  if (!IsAddress(aOut.address())) {
    return "address must be ip:port";
  }
  if (!IsName(aOut.data_centre())) {
    return "data_centre must be a name";
  }
  if (aOut.slots() == 0 || aOut.slots() > 1024) {
    return "slots must be from 1 to 1024";
  }
  if (aOut.incarnation() == 0) {
    return "incarnation must be a positive number that grows at each start";
  }
  return "";
}

ConnectionAction Announce(Runtime& aRuntime,
                          Call& aCall,
                          const std::string& aService,
                          const std::string& aId)
{
  wire::TargetAnnounced announced;
  if (!IsName(aService) || !IsName(aId)) {
    return SendError(aCall, kBadRequest, "service and id must be names");
  }
  std::string body;
  HeldBytes held;
  const BodyResult read = ReadBody(aCall, body, held);
  if (read != BodyResult::Whole) {
    return EndUnread(aCall, read);
  }
  const std::string error = FillAnnounce(body, announced);
  if (!error.empty()) {
    return SendError(aCall, kBadRequest, error);
  }
  announced.set_service(aService);
  announced.set_id(aId);
  announced.set_token_sha256(TokenDigest(aCall.mRequest));
  return SendResult(
    aCall,
    aRuntime.RunOperation([&](wire::Event& aEvent, std::uint64_t aOperation) {
      announced.set_operation(aOperation);
      *aEvent.mutable_announced() = announced;
    }));
}

using View = std::string (*)(const node::State&,
                             const views::Viewer&,
                             const Call&,
                             Micros);

struct ViewRoute
{
  const char* mPath;
  bool mOperatorOnly;
  View mView;
};

const std::vector<ViewRoute>& ViewRoutes()
{
  using S = const node::State&;
  using V = const views::Viewer&;
  using C = const Call&;
  static const std::vector<ViewRoute> routes = {
    { "/v1/hosts",
      true,
      [](S aState, V, C, Micros aNow) { return views::Hosts(aState, aNow); } },
    { "/v1/targets",
      false,
      [](S aState, V aViewer, C, Micros aNow) {
        return views::Targets(aState, aViewer, aNow);
      } },
    { "/v1/calls",
      false,
      [](S aState, V aViewer, C, Micros) {
        return views::Calls(aState, aViewer);
      } },
    { "/v1/budget",
      true,
      [](S aState, V, C, Micros aNow) { return views::Budget(aState, aNow); } },
    { "/v1/config",
      true,
      [](S aState, V, C aCall, Micros) {
        return views::Config(aState,
                             ParseNumber(QueryParameter(aCall, "version")));
      } },
    { "/v1/burn",
      false,
      [](S aState, V aViewer, C, Micros aNow) {
        return views::Burn(aState, aViewer, aNow);
      } },
  };
  return routes;
}

ConnectionAction ServeView(Runtime& aRuntime,
                           Call& aCall,
                           const ViewRoute& aRoute)
{
  const std::string token = TokenDigest(aCall.mRequest);
  bool allowed = false;
  const std::string body =
    aRuntime.Read([&](const node::State& aState, Micros aNow) -> std::string {
      const views::Viewer viewer = views::FindViewer(aState, token);
      allowed =
        viewer.mOperator || (!aRoute.mOperatorOnly && !viewer.mCaller.empty());
      return allowed ? aRoute.mView(aState, viewer, aCall, aNow) : "";
    });
  if (!allowed) {
    return SendError(aCall, kUnauthorized, "a token that may see this");
  }
  SendText(aCall, kOk, kJson, body);
  return ConnectionAction::KeepOpen;
}

ConnectionAction Health(Runtime& aRuntime, Call& aCall, bool aReadiness)
{
  bool ready = false;
  const std::string body =
    aRuntime.Read([&](const node::State& aState, Micros) {
      ready = node::IsReady(aState) && !aState.mStopping;
      return views::Health(aState);
    });
  SendText(aCall, ready || !aReadiness ? kOk : kUnavailable, kJson, body);
  return ConnectionAction::KeepOpen;
}

std::vector<std::string> Segments(const Call& aCall)
{
  std::vector<std::string> segments;
  Poco::URI(aCall.mRequest.getURI()).getPathSegments(segments);
  return segments;
}

} // namespace

ConnectionAction ServeAdmin(Runtime& aRuntime, Call& aCall)
{
  const std::string path = Poco::URI(aCall.mRequest.getURI()).getPath();
  const std::string& method = aCall.mRequest.getMethod();
  const std::vector<std::string> segments = Segments(aCall);
  if (method == "PUT" && segments.size() == 4 && segments[1] == "targets") {
    return Announce(aRuntime, aCall, segments[2], segments[3]);
  }
  if (method == "PUT" && path == "/v1/deployment") {
    return Apply(aRuntime, aCall);
  }
  if (method == "POST" && path == "/v1/drain") {
    return Drain(aRuntime, aCall);
  }
  if (method != "GET") {
    return SendError(aCall, kNotFound, "unknown path or method");
  }
  if (path == "/healthz" || path == "/readyz") {
    return Health(aRuntime, aCall, path == "/readyz");
  }
  if (path == "/metrics") {
    const std::string body =
      aRuntime.Read([](const node::State& aState, Micros aNow) {
        return views::Metrics(aState, aNow);
      });
    SendText(aCall, kOk, "text/plain; version=0.0.4", body);
    return ConnectionAction::KeepOpen;
  }
  for (const ViewRoute& route : ViewRoutes()) {
    if (path == route.mPath) {
      return ServeView(aRuntime, aCall, route);
    }
  }
  return SendError(aCall, kNotFound, "unknown path");
}

} // namespace geraniumpond::edge
