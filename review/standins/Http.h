#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

/// Blocking HTTP/1.1 for the stand-ins of the review: a server with a thread
/// for each connection, and a client that opens a connection for each call.
namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Request
{
  std::string mMethod;
  std::string mTarget;
  std::string mPath;                           ///< Target without its query.
  std::map<std::string, std::string> mQuery;   ///< Decoded.
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;
};

/// Status 0: the connection delivers nothing more, but stays open.
struct Response
{
  int mStatus = 200;
  std::string mBody;
};

/// @return this process's own address of 127.0.0.0/8, so that cases that run
///         side by side don't take each other's ports
std::string
Ip();

using Handler = std::function<Response(const Request&)>;

class HttpServer
{
public:
  explicit HttpServer(Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on Ip().
  /// @param aPort 0: any free one
  void Listen(int aPort);
  /// Closes all connections and the listening socket.
  void Stop();
  [[nodiscard]] int Port() const { return mPort; }
  [[nodiscard]] std::string Address() const
  {
    return Ip() + ":" + std::to_string(mPort);
  }

private:
  void Serve(int aSocket);

  Handler mHandler;
  std::mutex mMutex;
  std::set<int> mSockets;
  std::atomic<int> mThreads{ 0 };
  std::atomic<bool> mStopped{ false };
  int mListening = -1;
  int mPort = 0;
};

/// @return the answer; status 0: there was none within the time
Response
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aHost,
     const std::string& aBody,
     Ms aTimeout);

/// A client's channel, which stays open for several requests.
class Channel
{
public:
  explicit Channel(const std::string& aAddress);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Sends a request without a body; it doesn't wait for the answer.
  void Send(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aHost);
  /// @return the next answer; status 0: there was none within the time
  Response Receive(Ms aTimeout);

private:
  int mSocket = -1;
  std::string mBuffer;
};

/// @return a port of Ip() that nothing else uses: one below those that the
///         system gives out
int
FreePort();

} // namespace review
