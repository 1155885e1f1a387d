#include "Store.h"

#include <algorithm>
#include <chrono>
#include <sys/socket.h>

#include "../../platform/Wire.h"

namespace paddle {

namespace {

/// Time after which a call that waits for changes is answered without any.
constexpr std::chrono::milliseconds kChangeWait{ 200 };

std::int64_t
ClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

/// @return whether the call's target has this text
bool
Has(const std::string& aTarget, const char* aText)
{
  return aTarget.find(aText) != std::string::npos;
}

/// Receives one request.
/// @param aBuffered bytes received so far; keeps those after the request
/// @return the target, or an empty text if the connection was closed
std::string
ReceiveTarget(int aDescriptor, std::string& aBuffered)
{
  for (;;) {
    const std::size_t end = aBuffered.find("\r\n\r\n");
    const std::size_t length = aBuffered.find("Content-Length: ");
    if (end != std::string::npos && length < end) {
      const std::size_t size =
        end + 4 + std::stoul(aBuffered.substr(length + 16));
      if (aBuffered.size() >= size) {
        const std::size_t target = aBuffered.find(' ') + 1;
        std::string text =
          aBuffered.substr(target, aBuffered.find(' ', target) - target);
        aBuffered.erase(0, size);
        return text;
      }
    }
    char buffer[16384];
    const ssize_t count = ::recv(aDescriptor, buffer, sizeof buffer, 0);
    if (count <= 0) {
      return {};
    }
    aBuffered.append(buffer, static_cast<std::size_t>(count));
  }
}

} // namespace

Store::Store(std::string aConfiguration)
  : mConfiguration(std::move(aConfiguration))
  , mAcceptor([this] { Accept(); })
{
}

Store::~Store()
{
  mStopped = true;
  ::shutdown(mListener.Descriptor(), SHUT_RDWR);
  mAcceptor.join();
  {
    const std::lock_guard lock(mMutex);
    for (const int descriptor : mDescriptors) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
Store::AnswerRunnerReads(HostileAnswer aAnswer)
{
  const std::lock_guard lock(mMutex);
  mHostileAnswer = std::move(aAnswer);
  mIsHostile = true;
}

void
Store::Accept()
{
  while (!mStopped) {
    const int descriptor =
      ::accept4(mListener.Descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    const std::lock_guard lock(mMutex);
    mDescriptors.push_back(descriptor);
    mThreads.emplace_back([this, descriptor] { Serve(descriptor); });
  }
}

void
Store::Serve(int aDescriptor)
{
  const Socket socket(aDescriptor);
  std::string buffered;
  while (!mStopped) {
    const std::string target = ReceiveTarget(aDescriptor, buffered);
    if (target.empty()) {
      break;
    }
    if (mHoldsJobStates && Has(target, "rows-get?table=jobs")) {
      continue;
    }
    if (mIsHostile && Has(target, "rows-get?table=servers")) {
      HostileAnswer answer;
      {
        const std::lock_guard lock(mMutex);
        answer = mHostileAnswer;
      }
      bool open = SendAll(socket, answer.mHead);
      for (std::size_t sent = 0; open && sent < answer.mMaxBytes;
           sent += answer.mBlock.size()) {
        open = SendAll(socket, answer.mBlock);
      }
      ++mHostileAnswers;
      break;
    }
    if (!SendAll(socket, AnswerTo(target))) {
      break;
    }
  }
  const std::lock_guard lock(mMutex);
  std::erase(mDescriptors, aDescriptor);
}

std::string
Store::AnswerTo(const std::string& aTarget) const
{
  if (Has(aTarget, "rows-feed")) {
    std::this_thread::sleep_for(kChangeWait);
  }
  std::string body = "{";
  if (Has(aTarget, "rows-get?table=op")) {
    body +=
      R"("rows":[{"table":"op","part":"","key":"config","ver":1,"value":")" +
      platform::EncodeBase64(mConfiguration) + "\"}],";
  } else {
    body += R"("rows":[],)";
  }
  body += "\"ver\":1,\"now_ms\":" + std::to_string(ClockMs()) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

} // namespace paddle
