#include "Http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <set>
#include <thread>

namespace review {

namespace {

std::mutex sMutex;
std::map<int, std::set<int>> sConnections; ///< Open ones, by server port.

constexpr std::size_t kBufferBytes = 65536;

sockaddr_in
LoopbackAddress(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int
BoundSocket(int& aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  if (socket < 0 ||
      ::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) !=
        0) {
    std::perror("bind");
    std::exit(2);
  }
  aPort = ntohs(address.sin_port);
  return socket;
}

std::string
Decoded(const std::string& aText)
{
  constexpr int kHexadecimal = 16;
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(
        std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, kHexadecimal));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

/// Reads one message: the first line, the headers and the body.
/// @param aPending bytes received but not used yet
bool
ReadMessage(int aSocket,
            std::string& aPending,
            std::string& aFirstLine,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody)
{
  std::string buffer(kBufferBytes, '\0');
  const auto receive = [&] {
    const ssize_t count = ::recv(aSocket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return false;
    }
    aPending.append(buffer, 0, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = aPending.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!receive()) {
      return false;
    }
    end = aPending.find("\r\n\r\n");
  }
  std::size_t at = aPending.find("\r\n");
  aFirstLine = aPending.substr(0, at);
  aHeaders.clear();
  while (at < end) {
    const std::size_t next = aPending.find("\r\n", at + 2);
    const std::string line = aPending.substr(at + 2, next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](char aChar) {
        return static_cast<char>(std::tolower(aChar));
      });
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      aHeaders[name] =
        value == std::string::npos ? std::string() : line.substr(value);
    }
    at = next;
  }
  aPending.erase(0, end + 4);
  const auto length = aHeaders.find("content-length");
  const std::size_t size =
    length == aHeaders.end()
      ? 0
      : static_cast<std::size_t>(std::atoll(length->second.c_str()));
  while (aPending.size() < size) {
    if (!receive()) {
      return false;
    }
  }
  aBody = aPending.substr(0, size);
  aPending.erase(0, size);
  return true;
}

bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

HttpRequest
ParseRequest(const std::string& aFirstLine)
{
  HttpRequest request;
  const std::size_t first = aFirstLine.find(' ');
  const std::size_t second = aFirstLine.find(' ', first + 1);
  request.mMethod = aFirstLine.substr(0, first);
  const std::string target = aFirstLine.substr(first + 1, second - first - 1);
  const std::size_t mark = target.find('?');
  request.mPath = target.substr(0, mark);
  std::size_t at = mark;
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request.mQuery[pair.substr(0, equals)] = Decoded(pair.substr(equals + 1));
    }
    at = next;
  }
  return request;
}

void
ServeConnection(int aPort, int aSocket, const Handler& aHandler)
{
  {
    const std::lock_guard lock(sMutex);
    sConnections[aPort].insert(aSocket);
  }
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string pending;
  std::string firstLine;
  std::map<std::string, std::string> headers;
  std::string body;
  while (ReadMessage(aSocket, pending, firstLine, headers, body)) {
    HttpRequest request = ParseRequest(firstLine);
    request.mHeaders = headers;
    request.mBody = body;
    const HttpResponse response = aHandler(request);
    if (response.mStatus == 0) {
      const linger reset{ 1, 0 };
      ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      break;
    }
    const std::string text =
      "HTTP/1.1 " + std::to_string(response.mStatus) +
      " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(response.mBody.size()) + "\r\n\r\n" + response.mBody;
    if (!SendAll(aSocket, text)) {
      break;
    }
  }
  const std::lock_guard lock(sMutex);
  sConnections[aPort].erase(aSocket);
  ::close(aSocket);
}

} // namespace

void
ResetConnections(int aPort)
{
  const std::lock_guard lock(sMutex);
  for (const int socket : sConnections[aPort]) {
    const linger reset{ 1, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::shutdown(socket, SHUT_RDWR);
  }
}

int
Serve(Handler aHandler)
{
  int port = 0;
  const int socket = BoundSocket(port);
  constexpr int kBacklog = 256;
  ::listen(socket, kBacklog);
  std::thread([socket, port, handler = std::move(aHandler)] {
    while (true) {
      const int connection = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection >= 0) {
        std::thread(ServeConnection, port, connection, std::cref(handler))
          .detach();
      }
    }
  }).detach();
  return port;
}

int
FreePort()
{
  int port = 0;
  ::close(BoundSocket(port));
  return port;
}

HttpResponse
Call(int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aHost,
     const std::string& aBody,
     int aTimeoutMs)
{
  constexpr int kMillisPerSecond = 1000;
  HttpResponse response{ 0, {} };
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{ aTimeoutMs / kMillisPerSecond,
                   static_cast<suseconds_t>(aTimeoutMs % kMillisPerSecond) *
                     kMillisPerSecond };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address = LoopbackAddress(aPort);
  std::string text = aMethod;
  text += ' ';
  text += aPath;
  text += " HTTP/1.1\r\nHost: ";
  text += aHost;
  text += "\r\nX-Request-Deadline: ";
  text += std::to_string(aTimeoutMs);
  text += "\r\nContent-Type: application/json\r\nContent-Length: ";
  text += std::to_string(aBody.size());
  text += "\r\n\r\n";
  text += aBody;
  std::string pending;
  std::string firstLine;
  std::map<std::string, std::string> headers;
  if (::connect(
        socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      SendAll(socket, text) &&
      ReadMessage(socket, pending, firstLine, headers, response.mBody)) {
    constexpr std::size_t kStatusAt = 9; // Behind "HTTP/1.1 ".
    response.mStatus = firstLine.size() > kStatusAt
                         ? std::atoi(firstLine.c_str() + kStatusAt)
                         : 0;
  }
  ::close(socket);
  return response;
}

} // namespace review
