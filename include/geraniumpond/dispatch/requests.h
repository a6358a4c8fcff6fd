#pragma once

#include <geraniumpond/accounts.h>
#include <geraniumpond/policy.h>
#include <geraniumpond/regions.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \brief Requests of clients, from their arrival to their end.
namespace geraniumpond::dispatch {

/// \brief One send of a request to one target.
struct Attempt
{
  std::uint64_t mNumber = 0;
  std::string mTarget;
  Micros mSentAt = 0;
  Micros mExpected = 0;
  /// Expected bytes of a large answer, charged to the host's link; 0 for a
  /// small answer.
  double mLargeBytes = 0;
  /// State of the target at the choice, for learning and the log.
  double mSlowness = 1;
  int mOccupancy = 0;
  int mSlots = 1;
  Micros mReportAge = 0;
  /// The target was still warming up.
  bool mCold = false;
  /// Caller address of the host that the request was passed on to; empty if it
  /// was sent to a target.
  std::string mHost;
};

/// \brief What is kept of a request so that a new policy can be applied to it
/// while it is under way.
struct Credentials
{
  /// Digest of the key that its client sent.
  std::optional<accounts::KeyDigest> mKey;
  bool mIsPublic = false;
  int mRoutePriority = 0;
  /// Its key or its account was taken away: it may not be sent any more.
  bool mIsRevoked = false;
};

/// \brief A request from its arrival to its end.
struct Request
{
  std::uint64_t mId = 0;
  std::string mClientRequestId;
  /// Equal for requests with the same content, whoever sends them and when.
  std::uint64_t mIdentity = 0;
  std::string mRoute;
  std::string mService;
  policy::RouteKind mKind = policy::RouteKind::Safe;
  int mPriority = 0;
  int mMaxAttempts = 1;
  Micros mArrivedAt = 0;
  Micros mObjectiveAt = 0;
  Micros mDeadline = 0;

  bool mWaiting = false;
  int mProbeRound = 0;
  std::set<std::string> mProbed;
  Micros mProbesAwaitedUntil = 0;
  Micros mRecheckAt = 0;

  std::vector<Attempt> mAttempts;
  std::set<std::string> mTried;
  int mSent = 0;
  int mConnectFailures = 0;
  bool mMayHaveRun = false;
  /// Waits for a second target while the first attempt runs.
  bool mHedging = false;
  Micros mHedgeAt = 0;
  /// Time for which its timer is set; 0 if none is.
  Micros mTimerAt = 0;
  /// The client has its answer or has disconnected, while the attempt runs to
  /// its end.
  bool mDetached = false;
  /// Another host passed it on to this one.
  bool mIsRelayed = false;
  /// Hosts that it was passed on to.
  std::set<std::string> mHostsTried;
  /// Name of its client account; empty if it has none.
  std::string mAccount;
  Credentials mCredentials;
  /// Regions that its route and account bind it to.
  regions::Homes mHomes;
  /// It is counted in its account's limit and has not been sent yet.
  bool mHoldsQuota = false;
};

/// \brief A client's request that has been read completely.
struct Arrival
{
  std::uint64_t mId = 0;
  std::string mClientRequestId;
  std::string mHostName;
  std::string mPath;
  /// Digest of its content beside host name and path, without the fields that
  /// change with each try.
  std::uint64_t mContentDigest = 0;
  /// Timeout that the client states; 0 if none.
  Micros mPatience = 0;
  /// Time that it spent at the host that passed it on; none if it comes from a
  /// client.
  std::optional<Micros> mRelayedAfter;
  /// It was passed on because of the size of its answer.
  bool mIsForFastLink = false;
  /// Digest of the key that the client sent.
  std::optional<accounts::KeyDigest> mKey;
  /// It has fields that only hosts of the fleet set, whoever sent it.
  bool mHasRelayFields = false;
  /// One of them is repeated or unreadable.
  bool mRelayFieldsUnsound = false;
  /// Address that the connection comes from, without the port.
  std::string mSender;
  /// A known host of the fleet is at that address.
  bool mIsFromHost = false;
  /// Name of the account, from the host that passed it on; empty if none.
  std::string mAccount;
  /// Identity of the request at the host that passed it on.
  std::optional<std::uint64_t> mRelayedIdentity;
};

/// \brief A request that arrived before the first policy.
struct Unrouted
{
  Arrival mArrival;
  Micros mArrivedAt = 0;
  Micros mGiveUpAt = 0;
};

} // namespace geraniumpond::dispatch
