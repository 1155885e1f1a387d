#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace paddle {

/// A runner over plain sockets that misbehaves as a test says. Each
/// connection carries one request.
class ScriptedRunner
{
public:
  /// Gets the request's bytes and returns the bytes to answer with; an empty
  /// string closes the connection without an answer.
  using Script = std::function<std::string(const std::string& aRequest)>;

  ScriptedRunner(std::uint16_t aPort, Script aScript);
  ~ScriptedRunner();
  ScriptedRunner(const ScriptedRunner&) = delete;
  ScriptedRunner& operator=(const ScriptedRunner&) = delete;

  /// @return the number of requests that arrived, without health probes
  [[nodiscard]] int Arrivals() const { return mArrivals; }
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

/// @return the value of a header in a request's bytes, or empty
std::string
HeaderOf(const std::string& aRequest, const std::string& aName);

/// @return a complete answer that echoes the request's id
std::string
AnswerTo(const std::string& aRequest, const std::string& aBody);

} // namespace paddle
