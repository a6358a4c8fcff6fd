#include "peer_proxy.h"

#include "frontend/socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>

#include <chrono>
#include <condition_variable>

namespace geraniumpond::soak {

namespace {

constexpr Micros kStep = 50 * kMillisecond;
/// A connection names its host within its first bytes, or never.
constexpr std::size_t kNamedWithin = 1024;

Micros Now()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

} // namespace

/// \brief One connection between two hosts.
class PeerProxy::Link
{
public:
  Link(PeerProxy& aProxy,
       std::uint64_t aId,
       std::string aTo,
       const Poco::Net::StreamSocket& aNear,
       const Poco::Net::StreamSocket& aFar)
    : mProxy(aProxy)
    , mId(aId)
    , mTo(std::move(aTo))
    , mNear(*this, aNear)
    , mFar(*this, aFar)
  {
    mNear.mSocket.Watch(mNear, false);
    mFar.mSocket.Watch(mFar, true);
  }

  [[nodiscard]] bool IsCut() const { return mProxy.IsCut(mFrom, mTo); }
  [[nodiscard]] bool LostBytes() const noexcept { return mLostBytes; }

private:
  struct Side : public frontend::Handler
  {
    Side(Link& aLink, const Poco::Net::StreamSocket& aSocket)
      : mLink(aLink)
      , mSocket(aLink.mProxy.mLoop, aSocket)
    {
    }
    void OnReadable() override { mLink.Pass(*this); }
    void OnWritable() override
    {
      if (!mSocket.Flush()) {
        mLink.End();
      }
    }

    Link& mLink;
    frontend::BufferedSocket mSocket;
  };

  void Pass(Side& aFrom)
  {
    const frontend::ReceiveResult received = aFrom.mSocket.Receive();
    std::string bytes = std::exchange(aFrom.mSocket.Input(), {});
    if (&aFrom == &mNear && mFrom.empty() && mFirst.size() < kNamedWithin) {
      mFirst += bytes;
      mFrom = mProxy.HostNamedIn(mFirst);
    }
    Side& other = &aFrom == &mNear ? mFar : mNear;
    if (IsCut()) {
      mLostBytes = true;
    } else if (!bytes.empty() && !other.mSocket.Send(std::move(bytes))) {
      End();
    }
    const bool open = received == frontend::ReceiveResult::Data ||
                      received == frontend::ReceiveResult::WouldBlock;
    if (!open) {
      End();
    }
  }

  void End() { mProxy.mEnded.push_back(mId); }

  PeerProxy& mProxy;
  std::uint64_t mId = 0;
  std::string mFrom;
  std::string mTo;
  std::string mFirst;
  bool mLostBytes = false;
  Side mNear;
  Side mFar;
};

/// \brief Takes the connections to one host.
class PeerProxy::Door : public frontend::Handler
{
public:
  Door(PeerProxy& aProxy, std::string aTold, std::string aListens)
    : mProxy(aProxy)
    , mTold(std::move(aTold))
    , mListens(std::move(aListens))
    , mSocket(Poco::Net::SocketAddress(mTold))
  {
    mSocket.setBlocking(false);
    mProxy.mLoop.Add(mSocket.impl()->sockfd(), *this);
  }
  ~Door() override { mProxy.mLoop.Remove(mSocket.impl()->sockfd(), *this); }

  void OnReadable() override
  {
    try {
      Poco::Net::StreamSocket near = mSocket.acceptConnection();
      near.setBlocking(false);
      near.setNoDelay(true);
      Poco::Net::StreamSocket far;
      far.connectNB(Poco::Net::SocketAddress(mListens));
      far.setNoDelay(true);
      const std::uint64_t id = ++mProxy.mLastLink;
      mProxy.mLinks[id] = std::make_unique<Link>(mProxy, id, mTold, near, far);
    } catch (const Poco::Exception&) {
      // The host is down, as its caller finds out.
    }
  }
  void OnWritable() override {}

  [[nodiscard]] const std::string& Told() const noexcept { return mTold; }

private:
  PeerProxy& mProxy;
  std::string mTold;
  std::string mListens;
  Poco::Net::ServerSocket mSocket;
};

PeerProxy::PeerProxy()
  : mThread([this] { Run(); })
{
}

PeerProxy::~PeerProxy()
{
  mStopping = true;
  mLoop.Wake();
  mThread.join();
}

void PeerProxy::Run()
{
  while (!mStopping) {
    std::vector<std::function<void()>> calls;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      calls.swap(mCalls);
    }
    for (const std::function<void()>& call : calls) {
      call();
    }
    const Micros now = Now();
    mLoop.RunOnce(now, now + kStep);
    for (const std::uint64_t id : std::exchange(mEnded, {})) {
      mLinks.erase(id);
    }
  }
  mLinks.clear();
  mDoors.clear();
}

// Sockets belong to the thread of the loop.
void PeerProxy::Take(const std::function<void()>& aCall)
{
  std::mutex mutex;
  std::condition_variable taken;
  bool done = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCalls.emplace_back([&] {
      aCall();
      const std::lock_guard<std::mutex> own(mutex);
      done = true;
      taken.notify_all();
    });
  }
  mLoop.Wake();
  std::unique_lock<std::mutex> lock(mutex);
  taken.wait(lock, [&] { return done; });
}

void PeerProxy::Forward(const std::string& aTold, const std::string& aListens)
{
  Take([&] { mDoors[aTold] = std::make_unique<Door>(*this, aTold, aListens); });
}

void PeerProxy::Cut(const std::set<HostPair>& aPairs)
{
  Take([&] {
    mCut = aPairs;
    for (auto it = mLinks.begin(); it != mLinks.end();) {
      const bool over = it->second->LostBytes() && !it->second->IsCut();
      it = over ? mLinks.erase(it) : std::next(it);
    }
  });
}

bool PeerProxy::IsCut(const std::string& aLeft, const std::string& aRight) const
{
  return mCut.count({ aLeft, aRight }) != 0 ||
         mCut.count({ aRight, aLeft }) != 0;
}

// Hosts name themselves by their address when they connect.
std::string PeerProxy::HostNamedIn(const std::string& aBytes) const
{
  for (const auto& [told, door] : mDoors) {
    if (aBytes.find(told) != std::string::npos) {
      return told;
    }
  }
  return "";
}

} // namespace geraniumpond::soak
