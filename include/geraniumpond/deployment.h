#pragma once

#include <geraniumpond/settings.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace geraniumpond {

/// \brief Order in which waiting requests are served, most urgent first.
enum class Priority
{
  Urgent,
  Normal,
  Bulk
};

/// \brief Name of a priority as written in deployment files.
[[nodiscard]] const char* ToString(Priority aPriority) noexcept;

/// \brief One kind of request of a service, with the rules for it.
struct Kind
{
  std::string mName;
  std::set<std::string> mMethods;
  std::string mPathPrefix;
  bool mIdempotent = false;
  bool mKeyRequired = false;
  Priority mPriority = Priority::Normal;
  Micros mDeadline = 0;
  std::uint64_t mMaxBodyBytes = 0;
  /// Service-level objective: this share of calls within this time.
  Micros mObjectiveTime = 0;
  double mObjectiveShare = 0.99;
};

/// \brief A group of interchangeable targets and how calls to it are limited.
struct Service
{
  std::string mName;
  int mEntries = 4;
  int mSlots = 4;
  std::string mTargetTokenSha256;
  double mRetryBudget = 0.05;
  bool mHedge = false;
  double mMaxEjected = 0.3;
  /// Largest share of this entry's concurrency that bulk kinds may hold
  /// while other kinds wait.
  double mBulkShare = 0.5;
  Micros mSlowStart = 10 * kSecond;
  Micros mLease = 5 * kSecond;
  int mQueueLimit = 1000;
  std::vector<Kind> mKinds;
};

/// \brief Someone who sends requests, and the services that they may reach.
struct Caller
{
  std::string mName;
  std::string mTokenSha256;
  std::set<std::string> mServices;
  /// Guaranteed share of an entry's waiting places and slots, 0 to 1.
  double mShare = 1.0;
};

/// \brief What measuring may cost.
struct MeasuringBudget
{
  double mReportsPerTarget = 4.0;
  double mBytesPerHost = 14.0 * 1024;
};

/// \brief The whole configuration; replaced as a whole.
struct Deployment
{
  std::string mName;
  Micros mKeyRetention = 24 * 3600 * kSecond;
  MeasuringBudget mBudget;
  std::map<std::string, Service> mServices;
  std::map<std::string, Caller> mCallers;
  /// Token digest to caller name.
  std::map<std::string, std::string> mCallerByToken;
};

/// \brief Checks the text of a deployment file and reports every fault.
[[nodiscard]] Checked<Deployment> ParseDeployment(std::string_view aText,
                                                  const std::string& aFile);

/// \brief The kind with the longest path prefix that takes the method, or null.
[[nodiscard]] const Kind* FindKind(const Service& aService,
                                   std::string_view aMethod,
                                   std::string_view aPath) noexcept;

/// \brief First segment of a path: the service that a request names.
[[nodiscard]] std::string ServiceOfPath(std::string_view aPath);

} // namespace geraniumpond
