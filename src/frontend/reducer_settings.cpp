#include "reducer_settings.h"

namespace geraniumpond::frontend {

namespace {

constexpr double kBytesPerMegabit = 125000;

} // namespace

double LinkBytesPerSecond(const GatewaySettings& aSettings) noexcept
{
  return aSettings.mLinkMbps * kBytesPerMegabit;
}

gateway::Settings ReducerSettings(const GatewaySettings& aSettings,
                                  gateway::PolicyDecoder aDecodePolicy,
                                  std::uint64_t aIncarnation)
{
  gateway::Settings settings;
  settings.mFleet.mPeerAddress = aSettings.mPeerAddress;
  settings.mFleet.mCallerAddress = aSettings.mCallerAddress;
  settings.mFleet.mDataCentre = aSettings.mDataCentre;
  settings.mFleet.mIncarnation = aIncarnation;
  settings.mFleet.mControl = !aSettings.mDataFolder.empty();
  settings.mFleet.mSeeds = SeedPeerAddresses(aSettings);
  settings.mFleet.mToleratedLosses = aSettings.mToleratedLosses;
  settings.mFleet.mLinkMbps = aSettings.mLinkMbps;
  settings.mDataCentres = aSettings.mDataCentres;
  settings.mRegions = aSettings.mRegions;
  settings.mBounds.mExtraRatio = aSettings.mExtraRatio;
  settings.mBounds.mExtraFloor = aSettings.mExtraFloor;
  settings.mBounds.mExtraWindow = aSettings.mExtraWindow;
  settings.mBounds.mProbesPerTarget = aSettings.mProbesPerTarget;
  settings.mBounds.mWarmUpRatio = aSettings.mWarmUpRatio;
  settings.mBounds.mWarmUpFloor = aSettings.mWarmUpFloor;
  settings.mFairAcrossHosts = aSettings.mFairAcrossHosts;
  settings.mQuota.mWindow = aSettings.mQuotaWindow;
  settings.mQuota.mOverage = aSettings.mQuotaOverage;
  settings.mQuota.mSlack = aSettings.mQuotaSlack;
  settings.mDecodePolicy = aDecodePolicy;
  settings.mLinkBytesPerSecond = LinkBytesPerSecond(aSettings);
  settings.mStrictRevocation = aSettings.mStrictRevocation;
  settings.mRevokeWithin = aSettings.mRevokeWithin;
  settings.mAnswerKeep = aSettings.mAnswerKeep;
  settings.mStopGrace = aSettings.mStopGrace;
  return settings;
}

} // namespace geraniumpond::frontend
