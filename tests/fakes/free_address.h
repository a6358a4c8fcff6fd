#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <string>

namespace geraniumpond::fakes {

/// \brief An address of this machine at which nobody listens yet.
inline std::string FreeAddress()
{
  const Poco::Net::ServerSocket socket(
    Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().toString();
}

} // namespace geraniumpond::fakes
