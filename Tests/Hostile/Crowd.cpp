#include "Crowd.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

namespace paddle {

namespace {

/// A crowd of which no client could send anything for this long has finished.
constexpr int kBlockedMs = 500;
/// Longest wait for a byte of an answer. It only ends a test that fails.
constexpr timeval kAnswerWait{ 30, 0 };

/// Progress of one client.
struct Sending
{
  std::string mPending; ///< Being sent.
  std::size_t mBlocks = 0;
  std::size_t mSentBytes = 0;
  bool mFinished = false;
};

/// Sends as much as the kernel takes at once of a client's head or block.
void
SendSome(int aDescriptor,
         std::size_t aClient,
         const HostileInput& aInput,
         Sending& aSending)
{
  if (aSending.mPending.empty()) {
    if (aSending.mSentBytes >= aInput.mMaxBytes) {
      aSending.mFinished = true;
      return;
    }
    aSending.mPending = aInput.mBlock(aClient, aSending.mBlocks++);
  }
  const ssize_t count = ::send(aDescriptor,
                               aSending.mPending.data(),
                               aSending.mPending.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
  if (count <= 0) {
    aSending.mFinished = true; // Disconnected.
    return;
  }
  aSending.mSentBytes += static_cast<std::size_t>(count);
  aSending.mPending.erase(0, static_cast<std::size_t>(count));
}

} // namespace

Crowd::Crowd(std::uint16_t aPort, std::size_t aClients)
{
  for (std::size_t i = 0; i < aClients; ++i) {
    mClients.push_back(ConnectTo(aPort));
  }
}

void
Crowd::Send(const HostileInput& aInput)
{
  std::vector<Sending> sendings(mClients.size());
  std::vector<pollfd> polled(mClients.size());
  for (std::size_t i = 0; i < mClients.size(); ++i) {
    sendings[i].mPending = aInput.mHead;
    polled[i].fd = mClients[i].Descriptor(); // Ignored if it is negative.
    polled[i].events = POLLOUT;
  }
  while (::poll(polled.data(), polled.size(), kBlockedMs) > 0) {
    for (std::size_t i = 0; i < mClients.size(); ++i) {
      if (polled[i].revents != 0) {
        SendSome(polled[i].fd, i, aInput, sendings[i]);
      }
      if (sendings[i].mFinished) {
        polled[i].fd = -1;
      }
    }
  }
}

int
StatusOfRequest(std::uint16_t aPort, const std::string& aTarget)
{
  const Socket client = ConnectTo(aPort);
  ::setsockopt(client.Descriptor(),
               SOL_SOCKET,
               SO_RCVTIMEO,
               &kAnswerWait,
               sizeof kAnswerWait);
  SendAll(client, "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n");
  std::string answer;
  while (answer.find("\r\n\r\n") == std::string::npos) {
    char buffer[4096];
    const ssize_t count = ::recv(client.Descriptor(), buffer, sizeof buffer, 0);
    if (count <= 0) {
      return 0;
    }
    answer.append(buffer, static_cast<std::size_t>(count));
  }
  return std::stoi(answer.substr(answer.find(' ') + 1));
}

} // namespace paddle
