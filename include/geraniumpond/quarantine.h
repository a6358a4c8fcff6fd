#pragma once

#include <geraniumpond/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// \brief Which requests end the targets that run them ("queries of death").
///
/// A request is suspected from the first target that ended under it, and
/// quarantined once enough different ones have. Whatever else was at work at a
/// target is suspected with it, and cleared by an answer: a request that
/// targets answer does not end them. A crash beside an answer of the last
/// seconds does not count either; so many targets may end at once without a
/// request that is often asked being condemned.
///
/// A plain struct and free functions: no clock, thread, socket or file.
namespace geraniumpond::quarantine {

/// \brief What is to be done with a request.
enum class Verdict
{
  Clear,
  /// To be tried with care: at one target, once.
  Suspected,
  /// To be tried with care by one host, since what ended is no longer run.
  OnTrial,
  /// To be refused.
  Quarantined
};

[[nodiscard]] const char* ToString(Verdict aVerdict) noexcept;

/// \brief A target ended while it had the request.
struct Crash
{
  std::string mTarget;
  /// Version of the target's program; empty where it is not known.
  std::string mRelease;
  Micros mAt = 0;
};

/// \brief What is known of one request.
struct Record
{
  std::vector<Crash> mCrashes;
  /// Last answer of a target; 0 for none.
  Micros mAnsweredAt = 0;
  /// An operator let it go; crashes up to then do not count.
  Micros mReleasedAt = 0;
};

/// \brief When requests were answered lately, in two halves of that time.
struct RecentAnswers
{
  std::array<std::unordered_map<std::uint64_t, Micros>, 2> mHalves;
  std::size_t mCurrent = 0;
  Micros mTurnAt = 0;
};

/// \brief Everything that one host knows of such requests.
struct State
{
  std::unordered_map<std::uint64_t, Record> mRecords;
  RecentAnswers mAnswers;
  /// Records that gave way to others.
  std::uint64_t mDropped = 0;
};

/// \brief Notes that a target ended while it had the request.
void NoteCrash(State& aState, std::uint64_t aIdentity, const Crash& aCrash);

/// \brief Notes that a target has answered the request.
void NoteAnswer(State& aState, std::uint64_t aIdentity, Micros aAt);

/// \brief Notes that an operator lets the request go.
void NoteRelease(State& aState, std::uint64_t aIdentity, Micros aAt);

/// \brief Remembers an answer of this host, in case of a crash.
void RememberAnswer(State& aState, std::uint64_t aIdentity, Micros aNow);
/// \brief When this host answered the request last; 0 if not lately.
[[nodiscard]] Micros LastAnswer(const State& aState, std::uint64_t aIdentity);

/// \brief Judges a request to a service that runs the given releases. Crashes
/// of releases that are gone do not suffice to refuse it, but one more does.
[[nodiscard]] Verdict Judge(const State& aState,
                            std::uint64_t aIdentity,
                            Micros aNow,
                            const std::set<std::string>& aReleases);

/// \brief The same as if the releases that ended were still run.
[[nodiscard]] Verdict JudgeAnyRelease(const State& aState,
                                      std::uint64_t aIdentity,
                                      Micros aNow);

/// \brief A request was refused: it is still asked for, so that its evidence
/// counts from now on. Gives what has been renewed; nothing where that was done
/// lately.
[[nodiscard]] std::vector<Crash> Renew(State& aState,
                                       std::uint64_t aIdentity,
                                       Micros aNow);

/// \brief What of a record counts against its request now, oldest first.
[[nodiscard]] std::vector<Crash> Evidence(const Record& aRecord, Micros aNow);

/// \brief Forgets what is old.
void Expire(State& aState, Micros aNow);

} // namespace geraniumpond::quarantine
