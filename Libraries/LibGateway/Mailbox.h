#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include <LibHttp/HttpMessage.h>
#include <LibRouting/RoutingActions.h>

namespace paddle {

/// Tells the HTTP thread to send the request to a runner.
struct RunnerCommand
{
  Endpoint mRunner;
  std::string mShard;       ///< The shard that the runner belongs to.
  std::uint64_t mEpoch = 0; ///< The shard's epoch when the slot was assigned.
  MonotonicTime mTryDeadline{}; ///< The wait for the answer ends then.
};

/// Tells the HTTP thread to forward the request to a peer gateway.
struct PeerCommand
{
  std::string mPeer; ///< The member name of the peer.
};

/// Tells the HTTP thread to end the request without a runner's answer.
struct EndWithoutAnswerCommand
{
  Explanation mExplanation;
};

using Command =
  std::variant<RunnerCommand, PeerCommand, EndWithoutAnswerCommand>;

/// Identifies a request in its decision records.
struct RequestLabel
{
  std::string mRequestId;
  std::string mService;
  std::string mClientAccount;
};

/// Passes commands from the routing thread to the HTTP thread of one request.
/// It holds at most one command, because the routing thread waits for the
/// result of a try before it sends the next command.
class Mailbox
{
public:
  explicit Mailbox(RequestLabel aLabel)
    : mLabel(std::move(aLabel))
  {
  }

  /// Stores the next command and wakes the HTTP thread.
  void Put(Command aCommand)
  {
    {
      std::lock_guard lock(mMutex);
      mCommand = std::move(aCommand);
    }
    mAvailable.notify_one();
  }

  /// Waits for the next command and removes it. The wait always ends, because
  /// the routing thread refuses a request whose deadline has passed.
  Command Take()
  {
    std::unique_lock lock(mMutex);
    mAvailable.wait(lock, [this] { return mCommand.has_value(); });
    Command command = std::move(*mCommand);
    mCommand.reset();
    return command;
  }

  [[nodiscard]] const RequestLabel& Label() const { return mLabel; }

private:
  const RequestLabel mLabel;
  std::mutex mMutex;
  std::condition_variable mAvailable;
  std::optional<Command> mCommand;
};

} // namespace paddle
