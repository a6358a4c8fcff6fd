#include "edge/peers.h"
#include "fakes/free_address.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>
#include <unistd.h>
#include <zmq.hpp>

namespace geraniumpond::edge {

namespace {

using fakes::FreeAddress;

} // namespace

/// \brief Messages to hosts that cannot be connected to yet.
class PeersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeersTest);
  CPPUNIT_TEST(PeerThatConnectedIsAnsweredWithoutAConnectBack);
  CPPUNIT_TEST(ReaderThatStoodStillTakesAllThatCameMeanwhile);
  CPPUNIT_TEST(ConnectionThatIsNoLongerUsedIsClosed);
  CPPUNIT_TEST(MessageHasLeftAfterATurn);
  CPPUNIT_TEST(SignalsDoNotEndTheThreadOfMessages);
  CPPUNIT_TEST_SUITE_END();

public:
  // A loop that always has work lets the thread of messages pass: what was
  // queued before has been handed to its connection then.
  void MessageHasLeftAfterATurn()
  {
    Peers peers(FreeAddress(), [](std::string_view) {});
    for (int i = 0; i < 50; ++i) {
      peers.Send(FreeAddress(), "heartbeat");
      CPPUNIT_ASSERT(peers.WaitForIteration(std::chrono::seconds(5)));
      (void)peers.TakeLongestQueueTime();
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      // Nothing is left to wait.
      CPPUNIT_ASSERT(peers.TakeLongestQueueTime() ==
                     std::chrono::microseconds(0));
    }
  }

  // Nobody listens at the address that the peer goes by, as while a connect to
  // a host that has just started still hangs.
  void PeerThatConnectedIsAnsweredWithoutAConnectBack()
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

  // The connection is given up and made again while its queue is full: with a
  // receive mark the library ends the process when the reader goes on.
  void ReaderThatStoodStillTakesAllThatCameMeanwhile()
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
      peer.send(zmq::buffer(std::string("word")), zmq::send_flags::none);
    }
    for (int wait = 0; wait < 500 && heard < kMessages; ++wait) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(kMessages, heard.load());
  }

  // A host speaks to few others at a time, but to many over its life.
  void ConnectionThatIsNoLongerUsedIsClosed()
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

  // Only the thread of messages takes the signal.
  void SignalsDoNotEndTheThreadOfMessages()
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
