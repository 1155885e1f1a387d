#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Sockets.h"

namespace paddle {

/// What a hostile peer sends instead of an answer.
struct HostileAnswer
{
  std::string mHead;         ///< Sent first.
  std::string mBlock;        ///< Repeated after it.
  std::size_t mMaxBytes = 0; ///< Sent at most; then the connection is closed.
};

/// Takes the place of the platform's store: it knows one configuration row and
/// takes, without keeping them, all rows that are written. It can hold back the
/// reads of job states, and send hostile answers to the reads of the runners.
class Store
{
public:
  /// @param aConfiguration value of the configuration row
  explicit Store(std::string aConfiguration);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return PortOf(mListener); }

  /// Leaves reads of job states without an answer, until ReleaseJobStates().
  void HoldJobStates() { mHoldsJobStates = true; }
  /// Answers later reads of job states.
  void ReleaseJobStates() { mHoldsJobStates = false; }

  /// Answers all later reads of the runners like this.
  void AnswerRunnerReads(HostileAnswer aAnswer);

  /// @return the number of hostile answers that have been sent, in whole or
  ///         until the node has closed the connection
  [[nodiscard]] std::size_t HostileAnswers() const { return mHostileAnswers; }

private:
  void Accept();
  /// Serves the calls on one connection until it is closed.
  void Serve(int aDescriptor);
  /// @return the answer to a call, as it is sent
  [[nodiscard]] std::string AnswerTo(const std::string& aTarget) const;

  std::string mConfiguration;
  Socket mListener = ListenOnFreePort();
  std::atomic<bool> mStopped = false;
  std::atomic<bool> mHoldsJobStates = false;
  std::atomic<bool> mIsHostile = false;
  std::atomic<std::size_t> mHostileAnswers = 0;
  std::mutex mMutex; ///< Protects the members below.
  HostileAnswer mHostileAnswer;
  std::vector<int> mDescriptors;
  std::vector<std::thread> mThreads;
  std::thread mAcceptor;
};

} // namespace paddle
