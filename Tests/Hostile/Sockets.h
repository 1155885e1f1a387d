#pragma once

#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace paddle {

/// A socket that is closed with this object.
class Socket
{
public:
  explicit Socket(int aDescriptor = -1)
    : mDescriptor(aDescriptor)
  {
  }
  ~Socket();
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  [[nodiscard]] int Descriptor() const { return mDescriptor; }

private:
  int mDescriptor;
};

/// The address at which the processes of these tests listen. Other tests use
/// 127.0.0.1.
inline constexpr const char* kTestAddress = "127.0.0.21";

/// @return the socket address of a port at kTestAddress
sockaddr_in
AddressOf(std::uint16_t aPort);

/// @return a socket that listens on a free port of kTestAddress
Socket
ListenOnFreePort();

/// @return the port of a socket that listens
std::uint16_t
PortOf(const Socket& aListener);

/// @return a port of kTestAddress on which nothing listens
std::uint16_t
FreePort();

/// @return a connection to a port of kTestAddress; its descriptor is negative
///         if it can't be opened
Socket
ConnectTo(std::uint16_t aPort);

/// Sends bytes and waits until the kernel has taken all of them.
/// @return whether it has; not if the connection was closed
bool
SendAll(const Socket& aSocket, std::string_view aBytes);

} // namespace paddle
