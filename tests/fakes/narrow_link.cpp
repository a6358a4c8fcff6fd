#include "fakes/narrow_link.h"

#include <Poco/Exception.h>

#include <array>
#include <chrono>

namespace geraniumpond::fakes {

namespace {

constexpr std::size_t kWindow = 64 * 1024;
constexpr int kPieceBytes = 1460;
constexpr double kBytesPerMegabit = 125000;
const Poco::Timespan kPatience(0, 50000);

} // namespace

NarrowLink::NarrowLink(const Poco::Net::SocketAddress& aHost, double aMbps)
  : mHost(aHost)
  , mBytesPerSecond(aMbps * kBytesPerMegabit)
  , mServer(Poco::Net::SocketAddress("127.0.0.1", 0))
{
  mThreads.emplace_back([this] { SendAnswers(); });
  mThreads.emplace_back([this] { Accept(); });
}

NarrowLink::~NarrowLink()
{
  mStop = true;
  mChanged.notify_all();
  mThreads[1].join();
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

Poco::Net::SocketAddress NarrowLink::Address() const
{
  return mServer.address();
}

void NarrowLink::Accept()
{
  while (!mStop) {
    if (!mServer.poll(kPatience, Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    auto link = std::make_shared<Link>();
    link->mClient = mServer.acceptConnection();
    link->mClient.setNoDelay(true);
    link->mHost.connect(mHost);
    link->mHost.setNoDelay(true);
    mThreads.emplace_back([this, link] { CarryRequests(link); });
    mThreads.emplace_back([this, link] { QueueAnswers(link); });
  }
}

void NarrowLink::CarryRequests(const std::shared_ptr<Link>& aLink) const
{
  std::array<char, kPieceBytes> bytes{};
  try {
    while (!mStop) {
      if (!aLink->mClient.poll(kPatience, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      const int count = aLink->mClient.receiveBytes(bytes.data(), kPieceBytes);
      if (count <= 0) {
        break;
      }
      aLink->mHost.sendBytes(bytes.data(), count);
    }
    aLink->mHost.shutdownSend();
  } catch (const Poco::Exception&) {
    // The connection is over.
  }
}

void NarrowLink::QueueAnswers(const std::shared_ptr<Link>& aLink)
{
  std::array<char, kPieceBytes> bytes{};
  try {
    while (!mStop) {
      if (!aLink->mHost.poll(kPatience, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      const int count = aLink->mHost.receiveBytes(bytes.data(), kPieceBytes);
      if (count <= 0) {
        break;
      }
      const auto size = static_cast<std::size_t>(count);
      std::unique_lock<std::mutex> lock(mMutex);
      mChanged.wait(lock,
                    [&] { return mStop || aLink->mQueued + size <= kWindow; });
      aLink->mQueued += size;
      mQueue.push_back({ aLink, std::string(bytes.data(), size) });
      mChanged.notify_all();
    }
  } catch (const Poco::Exception&) {
    // The connection is over.
  }
}

void NarrowLink::SendAnswers()
{
  auto free = std::chrono::steady_clock::now();
  while (true) {
    std::unique_lock<std::mutex> lock(mMutex);
    mChanged.wait(lock, [&] { return mStop || !mQueue.empty(); });
    if (mStop) {
      return;
    }
    const Piece piece = mQueue.front();
    mQueue.pop_front();
    lock.unlock();
    const std::chrono::duration<double> takes(
      static_cast<double>(piece.mBytes.size()) / mBytesPerSecond);
    free = std::max(free, std::chrono::steady_clock::now()) +
           std::chrono::duration_cast<std::chrono::nanoseconds>(takes);
    std::this_thread::sleep_until(free);
    try {
      piece.mLink->mClient.sendBytes(piece.mBytes.data(),
                                     static_cast<int>(piece.mBytes.size()));
    } catch (const Poco::Exception&) {
      // The client has left.
    }
    lock.lock();
    piece.mLink->mQueued -= piece.mBytes.size();
    mChanged.notify_all();
  }
}

} // namespace geraniumpond::fakes
