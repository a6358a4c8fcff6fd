#include "edge/peers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/ServerSocket.h>

#include <chrono>
#include <zmq.hpp>

namespace geraniumpond::edge {

namespace {

std::string FreeAddress()
{
  const Poco::Net::ServerSocket socket(
    Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().toString();
}

} // namespace

/// \brief Messages to hosts that cannot be connected to yet.
class PeersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeersTest);
  CPPUNIT_TEST(PeerThatConnectedIsAnsweredWithoutAConnectBack);
  CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);

} // namespace geraniumpond::edge
