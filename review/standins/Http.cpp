#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kChunkBytes = 16384;

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  return aText;
}

std::string
Decode(const std::string& aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded += static_cast<char>(
        std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

bool
WriteAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Takes the head of a message from the buffer.
/// @return the first line, or nothing if the head is not complete
std::optional<std::string>
TakeHead(std::string& aBuffer, std::map<std::string, std::string>& aHeaders)
{
  const std::size_t end = aBuffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return {};
  }
  const std::string head = aBuffer.substr(0, end + 2);
  aBuffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  std::string first = head.substr(0, at);
  at += 2;
  while (at < head.size()) {
    const std::size_t next = head.find("\r\n", at);
    const std::string line = head.substr(at, next - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      aHeaders[Lower(line.substr(0, colon))] = line.substr(value);
    }
    at = next + 2;
  }
  return first;
}

std::size_t
BodyLength(const std::map<std::string, std::string>& aHeaders)
{
  const auto found = aHeaders.find("content-length");
  return found == aHeaders.end()
           ? 0
           : static_cast<std::size_t>(std::atoll(found->second.c_str()));
}

/// Reads more bytes.
/// @return whether some arrived before the end of the time
bool
ReadMore(int aSocket, std::string& aBuffer, Clock::time_point aUntil)
{
  const auto left =
    std::chrono::duration_cast<Ms>(aUntil - Clock::now()).count();
  pollfd entry{ aSocket, POLLIN, 0 };
  if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  std::string chunk(kChunkBytes, '\0');
  const ssize_t count = recv(aSocket, chunk.data(), chunk.size(), 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(chunk, 0, static_cast<std::size_t>(count));
  return true;
}

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, Ip().c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  return address;
}

} // namespace

std::string
Ip()
{
  constexpr int kValues = 250;
  const int id = getpid();
  return "127." + std::to_string(1 + id / kValues % kValues) + "." +
         std::to_string(1 + id % kValues) + ".1";
}

HttpServer::HttpServer(Handler aHandler)
  : mHandler(std::move(aHandler))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

void
HttpServer::Listen(int aPort)
{
  mStopped = false;
  mListening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(mListening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(aPort);
  if (bind(mListening,
           reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(mListening, SOMAXCONN) != 0) {
    std::_Exit(2);
  }
  socklen_t size = sizeof(address);
  getsockname(mListening, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
  ++mThreads;
  std::thread([this, listening = mListening] {
    for (;;) {
      const int accepted = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        break;
      }
      const int noDelay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
      const std::lock_guard lock(mMutex);
      if (mStopped) {
        close(accepted);
        break;
      }
      mSockets.insert(accepted);
      ++mThreads;
      std::thread([this, accepted] {
        Serve(accepted);
        {
          const std::lock_guard served(mMutex);
          mSockets.erase(accepted);
          close(accepted);
        }
        --mThreads;
      }).detach();
    }
    --mThreads;
  }).detach();
}

void
HttpServer::Stop()
{
  if (mListening < 0) {
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    mStopped = true;
    shutdown(mListening, SHUT_RDWR);
    for (const int open : mSockets) {
      shutdown(open, SHUT_RDWR);
    }
  }
  while (mThreads > 0) {
    std::this_thread::sleep_for(Ms(1));
  }
  close(mListening);
  mListening = -1;
}

void
HttpServer::Serve(int aSocket)
{
  std::string buffer;
  const auto forever = Clock::now() + std::chrono::hours(1);
  while (!mStopped) {
    Request request;
    std::optional<std::string> first;
    while (!(first = TakeHead(buffer, request.mHeaders))) {
      if (!ReadMore(aSocket, buffer, forever)) {
        return;
      }
    }
    const std::size_t length = BodyLength(request.mHeaders);
    while (buffer.size() < length) {
      if (!ReadMore(aSocket, buffer, forever)) {
        return;
      }
    }
    request.mBody = buffer.substr(0, length);
    buffer.erase(0, length);
    const std::size_t space = first->find(' ');
    request.mMethod = first->substr(0, space);
    request.mTarget = first->substr(space + 1, first->rfind(' ') - space - 1);
    const std::size_t mark = request.mTarget.find('?');
    request.mPath = request.mTarget.substr(0, mark);
    std::string query =
      mark == std::string::npos ? "" : request.mTarget.substr(mark + 1);
    while (!query.empty()) {
      const std::string pair = query.substr(0, query.find('&'));
      query.erase(0, std::min(query.size(), pair.size() + 1));
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        request.mQuery[pair.substr(0, equals)] =
          Decode(pair.substr(equals + 1));
      }
    }
    const Response response = mHandler(request);
    if (response.mStatus == 0) {
      while (ReadMore(aSocket, buffer, forever)) {
        buffer.clear();
      }
      return;
    }
    const bool sent = WriteAll(aSocket,
                               "HTTP/1.1 " + std::to_string(response.mStatus) +
                                 " Answer\r\nContent-Type: application/json\r\n"
                                 "Content-Length: " +
                                 std::to_string(response.mBody.size()) +
                                 "\r\n\r\n" + response.mBody);
    if (!sent) {
      return;
    }
  }
}

Response
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aHost,
     const std::string& aBody,
     Ms aTimeout)
{
  const auto until = Clock::now() + aTimeout;
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address =
    Loopback(std::atoi(aAddress.c_str() + aAddress.rfind(':') + 1));
  if (connect(connection,
              reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(connection);
    return { 0, {} };
  }
  std::string text =
    aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
    "\r\nX-Request-Deadline: " + std::to_string(aTimeout.count()) + "\r\n";
  if (!aBody.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text +=
    "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  Response response{ 0, {} };
  std::string buffer;
  std::map<std::string, std::string> headers;
  std::optional<std::string> first;
  bool alive = WriteAll(connection, text);
  while (alive && !(first = TakeHead(buffer, headers))) {
    alive = ReadMore(connection, buffer, until);
  }
  while (alive && buffer.size() < BodyLength(headers)) {
    alive = ReadMore(connection, buffer, until);
  }
  close(connection);
  if (alive) {
    response.mStatus = std::atoi(first->c_str() + first->find(' ') + 1);
    response.mBody = buffer;
  }
  return response;
}

Channel::Channel(const std::string& aAddress)
  : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address =
    Loopback(std::atoi(aAddress.c_str() + aAddress.rfind(':') + 1));
  if (connect(
        mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    std::_Exit(2);
  }
  const int noDelay = 1;
  setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
}

Channel::~Channel()
{
  close(mSocket);
}

void
Channel::Send(const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aHost)
{
  WriteAll(mSocket,
           aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
             "\r\nContent-Length: 0\r\n\r\n");
}

Response
Channel::Receive(Ms aTimeout)
{
  const auto until = Clock::now() + aTimeout;
  std::map<std::string, std::string> headers;
  std::optional<std::string> first;
  while (!(first = TakeHead(mBuffer, headers))) {
    if (!ReadMore(mSocket, mBuffer, until)) {
      return { 0, {} };
    }
  }
  const std::size_t length = BodyLength(headers);
  while (mBuffer.size() < length) {
    if (!ReadMore(mSocket, mBuffer, until)) {
      return { 0, {} };
    }
  }
  Response response{ std::atoi(first->c_str() + first->find(' ') + 1),
                     mBuffer.substr(0, length) };
  mBuffer.erase(0, length);
  return response;
}

int
FreePort()
{
  constexpr int kFirst = 20000;
  static std::atomic<int> sCount{ 0 };
  return kFirst + sCount++;
}

} // namespace review
