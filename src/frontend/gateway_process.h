#pragma once

#include "dialect.h"
#include "disk_writer.h"
#include "event_loop.h"
#include "http_server.h"
#include "load_monitor.h"
#include "metrics.h"
#include "request_fields.h"
#include "target_pool.h"

#include "edge/peers.h"

#include <geraniumpond/fleet_inbox.h>
#include <geraniumpond/gateway.h>
#include <geraniumpond/gateway_settings.h>

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Connects the gateway reducer to the operating system: carries out
/// its effects and feeds it events. It makes no decisions itself.
class GatewayProcess : private TargetSink
{
public:
  GatewayProcess(const GatewaySettings& aSettings, const Dialect& aDialect);
  ~GatewayProcess() override;

  /// \brief Recovers state from disk, opens the listeners, and starts the
  /// reducer.
  [[nodiscard]] Result<bool> Start();

  /// \brief Runs one iteration of the event loop; false once the process
  /// should exit.
  [[nodiscard]] bool RunOnce();

  /// \brief Starts a graceful shutdown that was asked for at a time of the
  /// steady clock; later calls have no effect.
  void RequestStop(Micros aAskedAt);

private:
  /// \brief A client's request that has not been answered yet.
  struct Exchange
  {
    /// Shared with the attempts that send its body.
    std::shared_ptr<const HttpRequest> mRequest;
    Micros mArrivedAt = 0;
    HttpResponse mAnswer;
    std::uint64_t mAnsweredBy = 0;
    /// Pace at which another host wants the answer; 0 for none.
    double mBytesPerSecond = 0;
  };

  /// \brief The host and request target of a policy read, kept for a redirect.
  struct PolicyReadUrl
  {
    std::string mHost;
    std::string mTarget;
  };

  class ClientSink;
  class CallSink;

  void OnProbeResult(const dispatch::ProbeEnd& aEnd) override;
  void OnAttemptResult(dispatch::AttemptEnd aEnd,
                       HttpResponse aResponse) override;

  template<class Body>
  void Post(Body aBody);
  void Perform(gateway::Effects aEffects);
  void PerformOne(dispatch::ProbeTarget& aEffect);
  void PerformOne(dispatch::SendRequest& aEffect);
  void PerformOne(dispatch::RelayRequest& aEffect);
  void PerformOne(dispatch::CancelAttempt& aEffect);
  void PerformOne(dispatch::DeliverAnswer& aEffect);
  void PerformOne(dispatch::ReplyToClient& aEffect);
  void PerformOne(dispatch::LogLine& aEffect);
  void PerformOne(gateway::AnswerOperation& aEffect);
  void PerformOne(gateway::SendPeer& aEffect);
  void PerformOne(gateway::Persist& aEffect);
  void PerformOne(gateway::ExitProcess& aEffect);

  [[nodiscard]] Result<consensus::Recovered> OpenStorage(
    const fleet::Settings& aFleet);
  void ProcessInbox();
  void HandleSynced(std::uint64_t aSequence);
  void ProcessPeerMessages();
  void YieldToMessageThread(Micros aDueAt);
  void TickConnections();
  /// \brief True while answers to clients, operators or targets are being sent.
  /// Only clients are waited for until they have closed.
  [[nodiscard]] bool HasUnsentAnswers() const;
  void HandleCall(std::uint64_t aExchange, const HttpRequest& aRequest);
  void HandlePolicyRead(std::uint64_t aExchange, const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse RedirectTo(const std::string& aPeerAddress,
                                        const PolicyReadUrl& aUrl) const;
  void RespondToCall(std::uint64_t aExchange, const HttpResponse& aResponse);
  [[nodiscard]] std::string MetricsText();
  [[nodiscard]] Micros Now() const;
  [[nodiscard]] std::uint64_t NextRandom();
  void Send(OutboundRequest aOutbound,
            Forwarding aForwarding,
            Micros aDeadline);
  void MarkForRelay(const HttpRequest& aRequest, HttpResponse& aResponse) const;
  void RespondToClient(std::uint64_t aExchange, const HttpResponse& aResponse);
  void UpdateLimits();

  GatewaySettings mSettings;
  Dialect mDialect;
  Micros mClockOffset = 0;
  Micros mTimeOfDayOffset = 0;
  std::uint64_t mRandom = 0;
  Micros mNow = 0;
  /// Longest time that a message had waited when messages were last handled.
  Micros mMessageDelay = 0;
  bool mExited = false;

  EventLoop mLoop;
  /// One for each direction of the link.
  LinkPacer mOutgoingPacer;
  LinkPacer mIncomingPacer;
  ClientMemory mClientMemory;
  gateway::State mState;
  bool mOpened = false;
  TargetPool mTargets;
  Metrics mMetrics;
  LoadMonitor mLoadMonitor{ mMetrics };
  /// Writes that are not yet synced: sequence and start time.
  std::deque<std::pair<std::uint64_t, Micros>> mUnsynced;
  std::unique_ptr<ClientSink> mClientSink;
  std::unique_ptr<CallSink> mCallSink;
  std::unique_ptr<HttpServer> mClientServer;
  std::vector<std::unique_ptr<HttpServer>> mCallServers;
  std::unordered_map<std::uint64_t, Exchange> mExchanges;
  /// By exchange, for policy reads that are still in progress.
  std::unordered_map<std::uint64_t, PolicyReadUrl> mPolicyReadUrls;
  std::uint64_t mPolicyVersion = 0;

  /// Results posted by other threads, guarded by mInboxMutex.
  struct Inbox
  {
    std::uint64_t mSynced = 0;
    std::vector<std::string> mDiskErrors;
    std::uint64_t mUnreadable = 0;
  };
  std::mutex mInboxMutex;
  Inbox mInbox;
  fleet::Inbox mPeerInbox;
  std::unique_ptr<DiskWriter> mDisk;
  std::unique_ptr<edge::Peers> mPeers;
  /// When the loop last yielded to the thread that carries peer messages.
  Micros mYieldedAt = 0;
};

template<class Body>
void GatewayProcess::Post(Body aBody)
{
  gateway::Event event;
  event.mNow = mNow;
  event.mRandom = NextRandom();
  event.mMessageDelay = mMessageDelay;
  event.mBody = std::move(aBody);
  gateway::Effects effects = gateway::Step(mState, event);
  for (const std::unique_ptr<HttpServer>& server : mCallServers) {
    server->SetStep(mState.mSteps);
  }
  Perform(std::move(effects));
}

} // namespace geraniumpond::frontend
