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

/// Versions in which a key of the client account stays.
constexpr std::uint64_t kKeysKept = 6;

/// \brief A policy's text: each version adds a route of its own, drops an old
/// one, moves one to another service, and replaces a key of a client account.
[[nodiscard]] std::string PolicyText(std::uint64_t aVersion,
                                     std::uint64_t aBase,
                                     std::uint64_t aKeysKept = kKeysKept);

/// The data centre that is evacuated.
constexpr const char* kEvacuated = "dc-1";

/// \brief The data centre of a target.
[[nodiscard]] std::string DataCentreOf(const std::string& aTarget);

/// \brief What a request shows of the policy that a host acts by, or of an
/// evacuation.
enum class Sign
{
  Added,
  Dropped,
  Moved,
  KeyAdded,
  KeyDropped,
  Evacuated,
};

/// \brief A request that shows whether a host acts by a version or a later one,
/// or by the evacuation of this number.
struct Probe
{
  Sign mSign = Sign::Added;
  std::string mPath;
  std::uint64_t mVersion = 0;
  std::string mKey;
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
  void EvacuationAcknowledged();
  /// \brief The evacuation is about to be lifted.
  void Lifting();

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
  [[nodiscard]] bool IsEvacuated(TimePoint aNow) const;
  [[nodiscard]] bool ShowsOldPolicy(const Probe& aProbe,
                                    const ProbeAnswer& aAnswer) const;

  std::mutex mMutex;
  std::map<std::uint64_t, TimePoint> mAcknowledged;
  std::uint64_t mMostSent = 0;
  std::uint64_t mEvacuations = 0;
  std::optional<TimePoint> mEvacuatedAt;
  std::set<std::size_t> mTroubled;
  bool mGroupTroubled = false;
  std::map<std::size_t, TimePoint> mTroubleEndedAt;
  TimePoint mGroupEndedAt;
};

} // namespace geraniumpond::soak
