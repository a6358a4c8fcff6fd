#pragma once

#include <geraniumpond/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// \brief Detects requests that crash the targets that run them ("queries of
/// death").
///
/// A request is suspected from the first target that crashes while running it,
/// and quarantined once enough different targets have. All requests that a
/// crashed target was running are suspected; an answer to a request clears it,
/// since requests that targets answer do not crash them. A crash within seconds
/// of an answer does not count either, so that many targets can crash at once
/// without a frequent request being quarantined.
///
/// A plain struct and free functions: no clock, thread, socket or file.
namespace geraniumpond::quarantine {

/// \brief How a request is to be handled.
enum class Verdict
{
  Clear,
  /// Try it on a single target, once.
  Suspected,
  /// Try it in the same way, but only from one host: the releases that crashed
  /// are no longer deployed.
  OnTrial,
  /// Refuse it.
  Quarantined
};

[[nodiscard]] const char* ToString(Verdict aVerdict) noexcept;

/// \brief A crash of a target while it was running the request.
struct Crash
{
  std::string mTarget;
  /// Release that the target was running; empty if unknown.
  std::string mRelease;
  Micros mAt = 0;
};

/// \brief The crashes and answers of one request.
struct Record
{
  std::vector<Crash> mCrashes;
  /// Time of a target's last answer; 0 for none.
  Micros mAnsweredAt = 0;
  /// When an operator last released it; crashes up to then do not count.
  Micros mReleasedAt = 0;
};

/// \brief Times of recent answers, in two generations that take turns.
struct RecentAnswers
{
  std::array<std::unordered_map<std::uint64_t, Micros>, 2> mGenerations;
  std::size_t mCurrent = 0;
  Micros mRotateAt = 0;
};

/// \brief Quarantine state of one host.
struct State
{
  std::unordered_map<std::uint64_t, Record> mRecords;
  RecentAnswers mAnswers;
  /// Number of records evicted to make room for others.
  std::uint64_t mDropped = 0;
};

/// \brief Records that a target crashed while running the request.
void RecordCrash(State& aState, std::uint64_t aIdentity, const Crash& aCrash);

/// \brief Records that a target answered the request.
void RecordAnswer(State& aState, std::uint64_t aIdentity, Micros aAt);

/// \brief Records that an operator released the request.
void RecordRelease(State& aState, std::uint64_t aIdentity, Micros aAt);

/// \brief Keeps the time of an answer from this host for a while, in case a
/// target crashes.
void TrackRecentAnswer(State& aState, std::uint64_t aIdentity, Micros aNow);
/// \brief When this host last answered the request; 0 if not recently.
[[nodiscard]] Micros LastAnswer(const State& aState, std::uint64_t aIdentity);

/// \brief The verdict on a request to a service that runs the given releases.
/// Crashes of releases no longer deployed do not suffice for a quarantine, but
/// one more crash of a deployed release does.
[[nodiscard]] Verdict Evaluate(const State& aState,
                               std::uint64_t aIdentity,
                               Micros aNow,
                               const std::set<std::string>& aReleases);

/// \brief The verdict as if all releases that crashed were still deployed.
[[nodiscard]] Verdict EvaluateAnyRelease(const State& aState,
                                         std::uint64_t aIdentity,
                                         Micros aNow);

/// \brief Renews the evidence against a request that was refused, since clients
/// still send it.
/// \return The renewed crashes; empty if they were renewed recently.
[[nodiscard]] std::vector<Crash> RenewEvidence(State& aState,
                                               std::uint64_t aIdentity,
                                               Micros aNow);

/// \brief The crashes that currently count against a request, oldest first.
[[nodiscard]] std::vector<Crash> Evidence(const Record& aRecord, Micros aNow);

/// \brief Removes expired records.
void Expire(State& aState, Micros aNow);

} // namespace geraniumpond::quarantine
