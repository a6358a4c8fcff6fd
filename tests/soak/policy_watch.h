#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \brief Policies whose effect callers can see, and which of them a host may
/// act by.
namespace geraniumpond::soak {

using TimePoint = std::chrono::steady_clock::time_point;

/// \brief A policy's text: each version adds a route of its own, drops an old
/// one, and moves one to another service.
[[nodiscard]] std::string PolicyText(std::uint64_t aVersion,
                                     std::uint64_t aBase);

/// \brief What a request shows of the policy that a host acts by.
enum class Sign
{
  Added,
  Dropped,
  Moved,
};

/// \brief A request that shows whether a host acts by a version or a later one.
struct Probe
{
  Sign mSign = Sign::Added;
  std::string mPath;
  std::uint64_t mVersion = 0;
};

/// \brief How a probe ended.
struct ProbeAnswer
{
  int mStatus = 0;
  /// The target that ran it; empty for none.
  std::string mTarget;
};

/// \brief Remembers changes and troubles, and judges what hosts do.
class PolicyWatch
{
public:
  void Sending(std::uint64_t aVersion);
  void Acknowledged(std::uint64_t aVersion);

  /// \brief Hosts that something is done to; with a control host among them
  /// that goes for the whole group.
  void BeginTrouble(const std::set<std::size_t>& aHosts, bool aControl);
  void EndTrouble();

  /// \brief A probe for a host that nothing was done to lately; none where
  /// there is nothing to show.
  [[nodiscard]] std::optional<Probe> NextProbe(std::size_t aHost,
                                               std::uint64_t aRandom);
  /// \brief What the answer says against the host; empty for nothing.
  [[nodiscard]] std::string Judge(const Probe& aProbe,
                                  const ProbeAnswer& aAnswer);

private:
  [[nodiscard]] bool IsCalm(std::size_t aHost, TimePoint aNow) const;

  std::mutex mMutex;
  std::map<std::uint64_t, TimePoint> mAcknowledged;
  std::uint64_t mMostSent = 0;
  std::set<std::size_t> mTroubled;
  bool mGroupTroubled = false;
  std::map<std::size_t, TimePoint> mTroubleEndedAt;
  TimePoint mGroupEndedAt;
};

} // namespace geraniumpond::soak
