#pragma once

#include "emulation.h"

#include <geraniumpond/node.h>

#include <set>

namespace geraniumpond::bench {

/// \brief The entries' reducers, driven by the emulated targets.
class Entries
{
public:
  explicit Entries(Emulation& aWorld);
  void Arrive(std::uint64_t aCall);

private:
  void Start(std::size_t aEntry);
  void IntroduceOthers(std::size_t aEntry);
  void Hear(std::size_t aEntry);
  void Take(std::size_t aEntry, wire::Event aEvent);
  void Perform(std::size_t aEntry, const wire::Effect& aEffect);
  void SetTimer(std::size_t aEntry, Micros aAt);
  void Dispatch(std::size_t aEntry, const wire::Dispatch& aDispatch);
  void Return(std::size_t aEntry, const Work& aWork, bool aOk, int aInFlight);
  void EndAttempt(std::size_t aEntry,
                  const Work& aWork,
                  wire::AttemptEnd aEnd,
                  bool aOk,
                  int aInFlight);

  Emulation& mWorld;
  std::vector<node::State> mStates;
  std::vector<Micros> mTimers;
  std::set<std::uint64_t> mAccepted;
};

} // namespace geraniumpond::bench
