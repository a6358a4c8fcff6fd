#include "open_connections.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <tuple>

namespace geraniumpond::edge {

namespace {

constexpr std::chrono::milliseconds kCheckInterval{ 200 };
/// One in so many threads is kept free for new connections.
constexpr std::size_t kFreeParts = 8;

} // namespace

OpenConnections::OpenConnections(std::size_t aMost)
  : mMost(aMost - aMost / kFreeParts)
  , mThread([this] { Run(); })
{
}

OpenConnections::~OpenConnections()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
  }
  mStopChanged.notify_all();
  mThread.join();
}

std::uint64_t OpenConnections::Add(const Poco::Net::StreamSocket& aSocket)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mEntries.size() >= mMost) {
    MakeRoom();
  }
  Entry entry;
  entry.mSocket = aSocket;
  entry.mSince = Clock::now();
  mEntries.emplace(++mLast, entry);
  return mLast;
}

void OpenConnections::Remove(std::uint64_t aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mEntries.erase(aId);
}

void OpenConnections::SetState(std::uint64_t aId,
                               ConnectionState aState,
                               std::chrono::seconds aMost)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mEntries.find(aId);
  if (found == mEntries.end()) {
    return;
  }
  Entry& entry = found->second;
  const Clock::time_point now = Clock::now();
  if (entry.mState != aState) {
    entry.mState = aState;
    entry.mSince = now;
  }
  entry.mUntil = aMost.count() == 0 ? Clock::time_point::max() : now + aMost;
}

// Its thread then finds the connection ended, and lets it go.
void OpenConnections::Shutdown(Entry& aEntry)
{
  aEntry.mIsClosed = true;
  try {
    aEntry.mSocket.shutdown();
  } catch (const Poco::Exception&) {
    // The peer has closed the connection already.
  }
}

void OpenConnections::MakeRoom()
{
  const auto key = [](const Entry& aEntry) {
    return std::make_tuple(aEntry.mIsClosed, aEntry.mState, aEntry.mSince);
  };
  const auto first =
    std::min_element(mEntries.begin(),
                     mEntries.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return key(aLeft.second) < key(aRight.second);
                     });
  if (first != mEntries.end() && !first->second.mIsClosed &&
      first->second.mState != ConnectionState::Handling) {
    Shutdown(first->second);
  }
}

void OpenConnections::CloseLate()
{
  const Clock::time_point now = Clock::now();
  for (auto& [id, entry] : mEntries) {
    if (now > entry.mUntil && !entry.mIsClosed) {
      Shutdown(entry);
    }
  }
}

void OpenConnections::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (
    !mStopChanged.wait_for(lock, kCheckInterval, [this] { return mStopped; })) {
    CloseLate();
  }
}

void OpenConnections::ShutdownAll()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (auto& [id, entry] : mEntries) {
    Shutdown(entry);
  }
}

} // namespace geraniumpond::edge
