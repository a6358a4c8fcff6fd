#include <geraniumpond/fair_queue.h>

#include <algorithm>

namespace geraniumpond::fair_queue {

namespace {

// An account whose next turn is not later than that of any newcomer need not be
// remembered.
void ForgetPastTurns(Turns& aTurns)
{
  while (!aTurns.mByTurn.empty() &&
         aTurns.mByTurn.begin()->first <= aTurns.mNow) {
    aTurns.mNext.erase(aTurns.mByTurn.begin()->second);
    aTurns.mByTurn.erase(aTurns.mByTurn.begin());
  }
}

void SetNextTurn(Turns& aTurns, const std::string& aAccount, double aTurn)
{
  const auto [next, isNew] = aTurns.mNext.try_emplace(aAccount, aTurn);
  if (!isNew) {
    aTurns.mByTurn.erase({ next->second, aAccount });
    next->second = aTurn;
  }
  aTurns.mByTurn.emplace(aTurn, aAccount);
  ForgetPastTurns(aTurns);
}

double NextTurn(const Turns& aTurns, const Entry& aEntry)
{
  if (aEntry.mWeight <= 0) {
    return aTurns.mNow;
  }
  const auto found = aTurns.mNext.find(aEntry.mAccount);
  return found == aTurns.mNext.end() ? aTurns.mNow
                                     : std::max(aTurns.mNow, found->second);
}

double NextTurn(const Queue& aQueue, const Entry& aEntry)
{
  const auto turns = aQueue.mTurns.find(aEntry.mPriority);
  return turns == aQueue.mTurns.end() ? 0 : NextTurn(turns->second, aEntry);
}

} // namespace

void Add(Queue& aQueue, Entry aEntry)
{
  if (aQueue.mWaiters.get<1>().count(aEntry.mRequest) != 0) {
    return;
  }
  Turns& turns = aQueue.mTurns[aEntry.mPriority];
  const double turn = NextTurn(turns, aEntry);
  if (aEntry.mWeight > 0) {
    SetNextTurn(turns, aEntry.mAccount, turn + 1 / aEntry.mWeight);
  }
  aQueue.mWaiters.insert({ std::move(aEntry), turn });
}

void Serve(Queue& aQueue, std::uint64_t aRequest)
{
  auto& byRequest = aQueue.mWaiters.get<1>();
  const auto found = byRequest.find(aRequest);
  if (found == byRequest.end()) {
    return;
  }
  Turns& turns = aQueue.mTurns[found->mEntry.mPriority];
  turns.mNow = std::max(turns.mNow, found->mTurn);
  ForgetPastTurns(turns);
  byRequest.erase(found);
}

void Remove(Queue& aQueue, std::uint64_t aRequest)
{
  auto& byRequest = aQueue.mWaiters.get<1>();
  const auto found = byRequest.find(aRequest);
  if (found == byRequest.end()) {
    return;
  }
  const Entry& entry = found->mEntry;
  Turns& turns = aQueue.mTurns[entry.mPriority];
  const auto next = turns.mNext.find(entry.mAccount);
  if (entry.mWeight > 0 && next != turns.mNext.end()) {
    SetNextTurn(turns, entry.mAccount, next->second - 1 / entry.mWeight);
  }
  byRequest.erase(found);
}

std::size_t CountAhead(const Queue& aQueue, const Entry& aEntry)
{
  return aQueue.mWaiters.lower_bound_rank(Place{ aEntry.mPriority,
                                                 NextTurn(aQueue, aEntry),
                                                 aEntry.mDeadline,
                                                 aEntry.mRequest });
}

} // namespace geraniumpond::fair_queue
