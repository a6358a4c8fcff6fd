#include "edge/peers.h"
#include "fakes/free_address.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/ServerSocket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>
#include <zmq.hpp>

namespace geraniumpond::edge {

namespace {

using fakes::FreeAddress;

/// \brief Takes all descriptors of the process for as long as it lives; lowers
/// their number so that there are few.
class AllDescriptors
{
public:
  AllDescriptors()
  {
    constexpr rlim_t kFew = 256;
    ::getrlimit(RLIMIT_NOFILE, &mLimit);
    rlimit few = mLimit;
    few.rlim_cur = std::min<rlim_t>(kFew, mLimit.rlim_cur);
    ::setrlimit(RLIMIT_NOFILE, &few);
    for (int taken = ::dup(STDERR_FILENO); taken >= 0;
         taken = ::dup(STDERR_FILENO)) {
      mTaken.push_back(taken);
    }
  }
  ~AllDescriptors()
  {
    for (const int taken : mTaken) {
      ::close(taken);
    }
    ::setrlimit(RLIMIT_NOFILE, &mLimit);
  }
  AllDescriptors(const AllDescriptors&) = delete;
  AllDescriptors& operator=(const AllDescriptors&) = delete;

private:
  rlimit mLimit{};
  std::vector<int> mTaken;
};

} // namespace

/// \brief Messaging between hosts: unreachable, blocked and idle peers.
class PeersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeersTest);
  CPPUNIT_TEST(MessageUsesTheConnectionThatThePeerOpened);
  CPPUNIT_TEST(BlockedReceiverGetsAllQueuedMessages);
  CPPUNIT_TEST(UnusedConnectionIsClosed);
  CPPUNIT_TEST(QueueIsEmptyAfterAnIteration);
  CPPUNIT_TEST(SignalsDoNotEndTheMessagingThread);
  CPPUNIT_TEST(MessageWithoutAFreeDescriptorIsDroppedAndTheNextOneArrives);
  CPPUNIT_TEST_SUITE_END();

public:
  // A busy event loop must let the messaging thread run: afterwards, all
  // messages queued before have been handed to their connections.
  void QueueIsEmptyAfterAnIteration()
  {
    Peers peers(FreeAddress(), [](std::string_view) {});
    for (int i = 0; i < 50; ++i) {
      peers.Send(FreeAddress(), "heartbeat");
      CPPUNIT_ASSERT(peers.WaitForIteration(std::chrono::seconds(5)));
      (void)peers.TakeLongestQueueTime();
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      // No message is queued any more.
      CPPUNIT_ASSERT(peers.TakeLongestQueueTime() ==
                     std::chrono::microseconds(0));
    }
  }

  // Guards against the end of the process: a host without a free descriptor had
  // to reach another one anew.
  void MessageWithoutAFreeDescriptorIsDroppedAndTheNextOneArrives()
  {
    const std::string address = FreeAddress();
    std::atomic<int> heard{ 0 };
    Peers receiver(address, [&](std::string_view) { ++heard; });
    Peers sender(FreeAddress(), [](std::string_view) {});
    {
      const AllDescriptors taken;
      sender.Send(address, "lost");
      CPPUNIT_ASSERT(sender.WaitForIteration(std::chrono::seconds(5)));
    }
    for (int i = 0; i < 500 && heard == 0; ++i) {
      sender.Send(address, "arrives");
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT(heard > 0);
  }

  // Nothing listens on the peer's advertised address, as if a connect to a host
  // that has just started still hung.
  void MessageUsesTheConnectionThatThePeerOpened()
  {
    const std::string listen = FreeAddress();
    const std::string unreachable = FreeAddress();
    std::mutex mutex;
    std::string heard;
    Peers peers(listen, [&](std::string_view aMessage) {
      const std::lock_guard<std::mutex> lock(mutex);
      heard = aMessage;
    });
    zmq::context_t context{ 1 };
    zmq::socket_t peer(context, zmq::socket_type::dealer);
    peer.set(zmq::sockopt::routing_id, unreachable);
    peer.set(zmq::sockopt::rcvtimeo, 3000);
    peer.set(zmq::sockopt::linger, 0);
    peer.connect("tcp://" + listen);
    peer.send(zmq::buffer(std::string("here")), zmq::send_flags::none);
    for (int wait = 0; wait < 300; ++wait) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      const std::lock_guard<std::mutex> lock(mutex);
      if (heard == "here") {
        break;
      }
    }
    peers.Send(unreachable, "answer");
    zmq::message_t answer;
    CPPUNIT_ASSERT(peer.recv(answer, zmq::recv_flags::none));
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), answer.to_string());
  }

  // The connection is dropped and reestablished while its queue is full. With a
  // receive high-water mark, ZeroMQ aborts the process when the receiver
  // continues.
  void BlockedReceiverGetsAllQueuedMessages()
  {
    constexpr int kMessages = 3000;
    zmq::context_t context{ 1 };
    zmq::socket_t peer(context, zmq::socket_type::router);
    const std::string address = FreeAddress();
    const std::string own = FreeAddress();
    peer.set(zmq::sockopt::sndhwm, 0);
    peer.set(zmq::sockopt::linger, 0);
    peer.set(zmq::sockopt::rcvtimeo, 3000);
    peer.bind("tcp://" + address);
    std::atomic<int> heard{ 0 };
    Peers peers(own, [&](std::string_view) {
      if (heard++ == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
      }
    });
    peers.Send(address, "here");
    zmq::message_t from;
    zmq::message_t body;
    CPPUNIT_ASSERT(peer.recv(from, zmq::recv_flags::none));
    CPPUNIT_ASSERT(peer.recv(body, zmq::recv_flags::none));
    for (int i = 0; i < kMessages; ++i) {
      peer.send(zmq::buffer(own), zmq::send_flags::sndmore);
      peer.send(zmq::buffer(std::string("message")), zmq::send_flags::none);
    }
    for (int wait = 0; wait < 500 && heard < kMessages; ++wait) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(kMessages, heard.load());
  }

  // A host talks to few others at a time, but to many over its lifetime.
  void UnusedConnectionIsClosed()
  {
    Peers peers(
      FreeAddress(), [](std::string_view) {}, std::chrono::milliseconds(200));
    peers.Send(FreeAddress(), "to a host that is not there");
    peers.Send(FreeAddress(), "to another one");
    for (int wait = 0; wait < 200 && peers.OutgoingConnections() != 2; ++wait) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), peers.OutgoingConnections());
    for (int wait = 0; wait < 400 && peers.OutgoingConnections() != 0; ++wait) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), peers.OutgoingConnections());
  }

  // The test thread blocks the signal, so that the messaging thread receives
  // it.
  void SignalsDoNotEndTheMessagingThread()
  {
    struct sigaction ignore = {};
    struct sigaction before = {};
    ignore.sa_handler = [](int) {};
    sigemptyset(&ignore.sa_mask);
    sigaction(SIGUSR1, &ignore, &before);
    const std::string listen = FreeAddress();
    std::atomic<int> taken{ 0 };
    Peers peers(listen, [&](std::string_view) { ++taken; });
    sigset_t signals;
    sigset_t previous;
    sigemptyset(&signals);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, &previous);
    for (int i = 0; i < 200; ++i) {
      ::kill(::getpid(), SIGUSR1);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
    sigaction(SIGUSR1, &before, nullptr);
    Peers other(FreeAddress(), [](std::string_view) {});
    other.Send(listen, "message");
    for (int i = 0; i < 200 && taken == 0; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(1, taken.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);

} // namespace geraniumpond::edge
