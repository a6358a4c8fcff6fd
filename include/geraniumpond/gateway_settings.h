#pragma once

#include <geraniumpond/regions.h>
#include <geraniumpond/settings.h>

#include <string>
#include <string_view>
#include <vector>

namespace geraniumpond {

/// \brief Settings of a gateway process, read at startup; see
/// docs/OPERATIONS.md.
struct GatewaySettings
{
  std::string mId;
  std::string mDataCentre;
  /// Folder of the consensus log. A host that has one is a voter; empty on
  /// other hosts.
  std::string mDataFolder;

  /// Memory of the host, which bounds what it holds of answers; 0 if it is not
  /// known.
  std::uint64_t mMemoryBytes = 0;

  /// Descriptors that the process may open; 0 for the system's limit.
  std::size_t mMaxDescriptors = 0;

  /// Where clients send requests.
  std::string mCallerAddress;
  /// Where targets, operators and directory clients make API calls.
  std::vector<std::string> mCallAddresses;
  /// Where other hosts connect.
  std::string mPeerAddress;
  /// Bound instead of mPeerAddress if connections to that address are
  /// forwarded; may be empty.
  std::string mPeerBindAddress;
  std::string mMetricsAddress;

  /// Addresses of some of the voters. All hosts use the same peer port, so only
  /// the IPs matter.
  std::vector<std::string> mSeeds;
  /// True if the whole fleet starts for the first time, with empty disks.
  bool mFounding = false;
  /// All data centres; if there are none, an operator may name any.
  std::vector<std::string> mDataCentres;
  /// Region of each data centre; empty if all are one region.
  regions::Map mRegions;
  /// Disks that may be lost at once without losing acknowledged changes.
  int mToleratedLosses = 0;

  /// Bandwidth of the host's network link, in megabits per second.
  double mLinkMbps = 0;

  /// How long clients may cache the addresses that a lookup returns.
  Micros mAnswerKeep = 0;
  /// Time from the request to stop until the process must have exited.
  Micros mStopGrace = 0;
  /// Retries and hedges allowed per service and window: a ratio of its requests
  /// plus a fixed number.
  double mExtraRatio = 0;
  double mExtraFloor = 0;
  Micros mExtraWindow = 0;
  /// Probes per target and second.
  double mProbesPerTarget = 0;
  /// Largest body of a target's answer; as large as that of a request may be.
  std::uint64_t mMaxAnswerBytes = 64ULL * 1024 * 1024;

  /// Requests at a cold target in any second: a ratio of the rate that the
  /// policy states plus a fixed number.
  double mWarmUpRatio = 1;
  double mWarmUpFloor = 0;

  /// Whether a host that gets no confirmations of the control group refuses
  /// requests that need a key, and within which time a key that is taken away
  /// must be refused.
  bool mStrictRevocation = false;
  Micros mRevokeWithin = 5 * kSecond;
  /// In any window, an account's requests may reach (rate x window + burst) x
  /// (1 + overage) + slack.
  Micros mQuotaWindow = 0;
  double mQuotaOverage = 0;
  double mQuotaSlack = 0;

  /// Less urgent requests make room for more urgent ones at other hosts.
  bool mFairAcrossHosts = false;

  /// Header fields of a request that identify the caller.
  std::vector<std::string> mCallerFields;

  std::string mLogFormat;
  std::string mLogLevel;
};

/// \brief Parses and validates the text of a gateway's settings file.
[[nodiscard]] Checked<GatewaySettings> ParseGatewaySettings(
  std::string_view aText,
  const std::string& aFile);

/// \brief Peer addresses of the seeds: their IPs with this host's peer port.
[[nodiscard]] std::vector<std::string> SeedPeerAddresses(
  const GatewaySettings& aSettings);

} // namespace geraniumpond
