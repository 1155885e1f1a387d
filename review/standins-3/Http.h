#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
std::int64_t
SteadyMs();
/// Milliseconds since 1970.
std::int64_t
UnixMs();
void
SleepMs(std::int64_t aMs);

/// A request that a stand-in has received.
struct Request
{
  std::string mMethod;
  std::string mPath;                         ///< Without the query.
  std::map<std::string, std::string> mQuery; ///< Decoded values.
  std::string mBody;
  std::uint64_t mConnection = 0; ///< Number of its connection.
};

struct Response
{
  int mStatus = 200;
  std::string mBody;
  /// What happens instead of sending it.
  enum class Fate
  {
    Sent,
    Unanswered, ///< The connection stays open, and nothing is ever sent.
    Reset       ///< The connection is reset.
  };
  Fate mFate = Fate::Sent;
};

/// An HTTP/1.1 server on 127.0.0.1 with a thread for each connection.
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;
  /// Called for each new connection before its first request is read; it may
  /// wait. Its argument is the connection's number.
  using Opened = std::function<void(std::uint64_t)>;

  explicit Server(Handler aHandler, Opened aOpened = nullptr);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return mPort; }

private:
  void Accept();
  void Serve(int aSocket, std::uint64_t aNumber);

  Handler mHandler;
  Opened mOpened;
  int mListener = -1;
  std::uint16_t mPort = 0;
  std::atomic<bool> mStopped = false;
  std::mutex mMutex; ///< Protects the members below.
  std::list<int> mSockets;
  std::vector<std::thread> mThreads;
  std::thread mAcceptor;
};

/// @return a port of 127.0.0.1 that is free now
std::uint16_t
FreePort();

/// Sends a request on a new connection.
/// @return the status of the answer, or 0 if there was none within the time
int
Call(std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aHost,
     const std::string& aPath,
     const std::string& aBody,
     std::int64_t aTimeoutMs,
     std::string* aAnswerBody = nullptr);

} // namespace review
