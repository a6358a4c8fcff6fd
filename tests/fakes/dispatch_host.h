#pragma once

#include <geraniumpond/dispatch.h>

#include <cppunit/TestAssert.h>

#include <map>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \brief One host's dispatch state with targets t1, t2, ... of one service, in
/// virtual time; the test answers its probes and requests.
namespace geraniumpond::fakes {

constexpr Micros kRouteTimeout = 1 * kSecond;

/// \brief A policy with the routes `/safe/` and `/unsafe/`.
inline std::shared_ptr<const policy::TrafficPolicy> TwoRoutePolicy()
{
  auto made = std::make_shared<policy::TrafficPolicy>();
  made->mVersion = 1;
  for (const bool safe : { true, false }) {
    policy::Route route;
    route.mName = safe ? "safe" : "unsafe";
    route.mHostName = "host";
    route.mPathPrefix = safe ? "/safe/" : "/unsafe/";
    route.mKind = safe ? policy::RouteKind::Safe : policy::RouteKind::Unsafe;
    route.mTimeout = kRouteTimeout;
    route.mObjective = 300 * kMillisecond;
    route.mAttempts = 2;
    route.mBackends = { { "service", 1 } };
    made->mRoutes.push_back(route);
  }
  made->mServices["service"] = { "service", "/health", 100 };
  policy::BuildIndex(*made);
  return made;
}

class DispatchHost
{
public:
  explicit DispatchHost(int aTargets)
  {
    mState.mHostId = "10.0.0.9:1";
    mState.mDataCentre = "dc";
    mState.mBounds = { 0.2, 60, 10 * kSecond, 100 };
    dispatch::SetPolicy(mState, mNow, TwoRoutePolicy());
    for (int i = 1; i <= aTargets; ++i) {
      wire::TargetRecord& target = mCatalog["t" + std::to_string(i)];
      target.set_id("t" + std::to_string(i));
      target.set_service("service");
      target.set_address("10.9.0." + std::to_string(i) + ":80");
      target.set_slots(2);
      target.set_sequence(1);
    }
    RefreshCatalog();
    mEffects.clear();
  }

  void RefreshCatalog()
  {
    dispatch::SetTargets(mState, mNow, mCatalog, mEffects);
  }

  void Arrive(const std::string& aPath,
              std::optional<Micros> aRelayedAfter = std::nullopt)
  {
    dispatch::Arrival arrival;
    arrival.mId = ++mLastId;
    arrival.mHostName = "host";
    arrival.mPath = aPath;
    arrival.mPatience = 5 * kSecond;
    arrival.mRelayedAfter = aRelayedAfter;
    dispatch::HandleArrival(mState, mNow, arrival, mEffects);
  }

  void Advance(Micros aTime)
  {
    const Micros end = mNow + aTime;
    while (mNow < end) {
      mNow += kMillisecond;
      dispatch::Tick(mState, mNow, mEffects);
    }
  }

  /// \brief Each target that was probed answers that it is idle.
  void AnswerProbes()
  {
    std::vector<std::string> probed;
    for (const auto& [id, target] : mState.mTargets) {
      if (target.mProbing) {
        probed.push_back(id);
      }
    }
    for (const std::string& id : probed) {
      dispatch::ProbeEnd end;
      end.mTarget = id;
      end.mAnswered = true;
      end.mHealthy = true;
      end.mAnsweredBy = mState.mTargets.at(id).mName;
      end.mReport = dispatch::Report{ 0, 0, 2, 1 };
      dispatch::HandleProbeEnd(mState, mNow, end, mEffects);
    }
  }

  /// \brief The last request that was sent ends.
  void EndLastSent(dispatch::AttemptEnd aEnd)
  {
    const dispatch::SendRequest sent = All<dispatch::SendRequest>().back();
    aEnd.mRequest = sent.mRequest;
    aEnd.mAttempt = sent.mAttempt;
    dispatch::HandleAttemptEnd(mState, mNow, aEnd, mEffects);
  }

  /// \brief The last request that was passed on ends.
  void EndLastRelay(dispatch::AttemptEnd aEnd)
  {
    const dispatch::RelayRequest sent = All<dispatch::RelayRequest>().back();
    aEnd.mRequest = sent.mRequest;
    aEnd.mAttempt = sent.mAttempt;
    dispatch::HandleAttemptEnd(mState, mNow, aEnd, mEffects);
  }

  template<class Kind>
  [[nodiscard]] std::vector<Kind> All() const
  {
    std::vector<Kind> found;
    for (const dispatch::Effect& effect : mEffects) {
      if (const auto* one = std::get_if<Kind>(&effect)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  [[nodiscard]] dispatch::ReplyToClient OnlyReply() const
  {
    const auto replies = All<dispatch::ReplyToClient>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), replies.size());
    return replies.front();
  }

  Micros mNow = 1000 * kSecond;
  dispatch::State mState;
  dispatch::Effects mEffects;
  std::map<std::string, wire::TargetRecord> mCatalog;
  std::uint64_t mLastId = 0;
};

} // namespace geraniumpond::fakes
