#pragma once

#include <geraniumpond/settings.h>

#include <string>
#include <string_view>
#include <vector>

namespace geraniumpond {

/// \brief What one gateway process reads at its start; see docs/OPERATIONS.md.
struct GatewaySettings
{
  std::string mId;
  std::string mDataCentre;
  /// Empty on a host without a disk; a host with one votes.
  std::string mDataFolder;

  std::string mCallerAddress;
  /// Where targets, operators and directory clients call; may repeat.
  std::vector<std::string> mCallAddresses;
  std::string mPeerAddress;
  /// Bound in its place where connections to it are forwarded; may be empty.
  std::string mPeerBindAddress;
  std::string mMetricsAddress;

  /// Addresses of a few hosts that vote. Hosts listen for each other at one
  /// port, so that only the IP counts.
  std::vector<std::string> mSeeds;
  /// True when the whole fleet starts for the first time, with empty disks.
  bool mFounding = false;
  int mToleratedLosses = 0;

  /// Speed of the host's own link, in megabits a second.
  double mLinkMbps = 0;

  Micros mAnswerKeep = 0;
  Micros mStopGrace = 0;
  double mExtraRatio = 0;
  double mExtraFloor = 0;
  Micros mExtraWindow = 0;
  double mProbesPerTarget = 0;

  /// Fields of a request that tell who asks.
  std::vector<std::string> mCallerFields;

  std::string mLogFormat;
  std::string mLogLevel;
};

/// \brief Checks the text of a gateway's settings file.
[[nodiscard]] Checked<GatewaySettings> ParseGatewaySettings(
  std::string_view aText,
  const std::string& aFile);

/// \brief Peer addresses of the seeds: their IPs at the own peer port.
[[nodiscard]] std::vector<std::string> SeedPeerAddresses(
  const GatewaySettings& aSettings);

} // namespace geraniumpond
