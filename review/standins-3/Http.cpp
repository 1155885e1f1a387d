#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

const sockaddr*
Generic(const sockaddr_in& aAddress)
{
  return reinterpret_cast<const sockaddr*>(&aAddress);
}

/// @return a socket that is bound to the port; 0 selects a free one
int
Bind(std::uint16_t aPort, std::uint16_t& aBoundPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  static_cast<void>(::bind(socket, Generic(address), sizeof address));
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
  aBoundPort = ntohs(bound.sin_port);
  return socket;
}

bool
SendAll(int aSocket, std::string_view aText)
{
  while (!aText.empty()) {
    const ssize_t sent =
      ::send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aText.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string
Decode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded += static_cast<char>(
        std::stoi(std::string(aText.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

/// Receives a message with a Content-Length.
/// @param aBuffered bytes received so far; keeps those after the message
/// @return its first line and its body, or nothing if the connection has ended
std::optional<std::pair<std::string, std::string>>
Receive(int aSocket, std::string& aBuffered)
{
  for (;;) {
    const std::size_t head = aBuffered.find("\r\n\r\n");
    if (head != std::string::npos) {
      const std::size_t field = aBuffered.find("Content-Length: ");
      const std::size_t length =
        field < head ? std::stoul(aBuffered.substr(field + 16)) : 0;
      if (aBuffered.size() >= head + 4 + length) {
        std::pair message{ aBuffered.substr(0, aBuffered.find("\r\n")),
                           aBuffered.substr(head + 4, length) };
        aBuffered.erase(0, head + 4 + length);
        return message;
      }
    }
    char buffer[16384];
    const ssize_t count = ::recv(aSocket, buffer, sizeof buffer, 0);
    if (count <= 0) {
      return {};
    }
    aBuffered.append(buffer, static_cast<std::size_t>(count));
  }
}

Request
ParseRequest(const std::string& aLine, std::string aBody)
{
  Request request;
  const std::size_t space = aLine.find(' ');
  request.mMethod = aLine.substr(0, space);
  const std::string target =
    aLine.substr(space + 1, aLine.rfind(' ') - space - 1);
  const std::size_t question = target.find('?');
  request.mPath = target.substr(0, question);
  std::string_view query;
  if (question != std::string::npos) {
    query = std::string_view(target).substr(question + 1);
  }
  while (!query.empty()) {
    const std::string_view field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), field.size() + 1));
    const std::size_t equals = field.find('=');
    if (equals != std::string_view::npos) {
      request.mQuery[std::string(field.substr(0, equals))] =
        Decode(field.substr(equals + 1));
    }
  }
  request.mBody = std::move(aBody);
  return request;
}

} // namespace

std::int64_t
SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

Server::Server(Handler aHandler, Opened aOpened)
  : mHandler(std::move(aHandler))
  , mOpened(std::move(aOpened))
{
  mListener = Bind(0, mPort);
  ::listen(mListener, SOMAXCONN);
  mAcceptor = std::thread([this] { Accept(); });
}

Server::~Server()
{
  mStopped = true;
  ::shutdown(mListener, SHUT_RDWR);
  mAcceptor.join();
  ::close(mListener);
  {
    const std::lock_guard lock(mMutex);
    for (const int socket : mSockets) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
Server::Accept()
{
  std::uint64_t number = 0;
  while (!mStopped) {
    const int socket = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mMutex);
    mSockets.push_back(socket);
    mThreads.emplace_back(
      [this, socket, connection = ++number] { Serve(socket, connection); });
  }
}

void
Server::Serve(int aSocket, std::uint64_t aNumber)
{
  if (mOpened) {
    mOpened(aNumber);
  }
  std::string buffered;
  bool silent = false;
  while (auto message = Receive(aSocket, buffered)) {
    if (silent) {
      continue;
    }
    Request request = ParseRequest(message->first, std::move(message->second));
    request.mConnection = aNumber;
    const Response response = mHandler(request);
    if (response.mFate == Response::Fate::Unanswered) {
      silent = true;
      continue;
    }
    if (response.mFate == Response::Fate::Reset) {
      const linger now{ 1, 0 };
      ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      break;
    }
    if (!SendAll(aSocket,
                 "HTTP/1.1 " + std::to_string(response.mStatus) +
                   " Status\r\nContent-Type: application/json\r\n"
                   "Content-Length: " +
                   std::to_string(response.mBody.size()) + "\r\n\r\n" +
                   response.mBody)) {
      break;
    }
  }
  const std::lock_guard lock(mMutex);
  mSockets.remove(aSocket);
  ::close(aSocket);
}

std::uint16_t
FreePort()
{
  std::uint16_t port = 0;
  ::close(Bind(0, port));
  return port;
}

int
Call(std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aHost,
     const std::string& aPath,
     const std::string& aBody,
     std::int64_t aTimeoutMs,
     std::string* aAnswerBody)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const sockaddr_in address = Loopback(aPort);
  int status = 0;
  std::string buffered;
  if (::connect(socket, Generic(address), sizeof address) == 0 &&
      SendAll(socket,
              aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\n\r\n" + aBody)) {
    if (const auto message = Receive(socket, buffered)) {
      status = std::stoi(message->first.substr(message->first.find(' ') + 1));
      if (aAnswerBody != nullptr) {
        *aAnswerBody = message->second;
      }
    }
  }
  ::close(socket);
  return status;
}

} // namespace review
