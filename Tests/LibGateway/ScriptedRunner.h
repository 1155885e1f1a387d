#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace paddle {

/// A runner on plain sockets whose answers a test determines, also malformed
/// ones. It serves one request per connection.
class ScriptedRunner
{
public:
  /// Receives the bytes of a request and returns the bytes of the answer. If
  /// they are empty, the connection is closed without an answer.
  using Script = std::function<std::string(const std::string& aRequest)>;

  /// Starts to listen on a port of 127.0.0.1.
  /// @param aScript called for each request, on a thread of its own
  ScriptedRunner(std::uint16_t aPort, Script aScript);
  ~ScriptedRunner();
  ScriptedRunner(const ScriptedRunner&) = delete;
  ScriptedRunner& operator=(const ScriptedRunner&) = delete;

  /// @return the number of requests that arrived, not counting health probes
  [[nodiscard]] int Arrivals() const { return mArrivals; }
  /// @return the number of health probes that arrived
  [[nodiscard]] int Probes() const { return mProbes; }

private:
  void Accept();
  void Serve(int aConnection);

  Script mScript;
  int mListener;
  std::atomic<int> mArrivals{ 0 };
  std::atomic<int> mProbes{ 0 };
  std::mutex mMutex;
  std::list<std::thread> mConnections;
  std::thread mThread;
};

/// @return the value of a header in the bytes of a request; empty if it is
///         absent
std::string
HeaderOf(const std::string& aRequest, const std::string& aName);

/// @return the bytes of a complete answer with the request's id
std::string
AnswerTo(const std::string& aRequest, const std::string& aBody);

} // namespace paddle
