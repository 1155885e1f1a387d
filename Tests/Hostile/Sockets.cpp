#include "Sockets.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace paddle {

Socket::~Socket()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
  }
}

Socket::Socket(Socket&& aOther) noexcept
  : mDescriptor(std::exchange(aOther.mDescriptor, -1))
{
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  std::swap(mDescriptor, aOther.mDescriptor);
  return *this;
}

sockaddr_in
AddressOf(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, kTestAddress, &address.sin_addr);
  return address;
}

Socket
ListenOnFreePort()
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = AddressOf(0);
  // A failure shows when nothing can be connected to the port.
  (void)::bind(socket.Descriptor(),
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address);
  ::listen(socket.Descriptor(), SOMAXCONN);
  return socket;
}

std::uint16_t
PortOf(const Socket& aListener)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(
    aListener.Descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::uint16_t
FreePort()
{
  return PortOf(ListenOnFreePort());
}

Socket
ConnectTo(std::uint16_t aPort)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = AddressOf(aPort);
  if (::connect(socket.Descriptor(),
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    return Socket();
  }
  return socket;
}

bool
SendAll(const Socket& aSocket, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t count =
      ::send(aSocket.Descriptor(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

} // namespace paddle
