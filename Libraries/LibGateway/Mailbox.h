#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include <LibHttp/HttpMessage.h>
#include <LibRouting/RoutingActions.h>

namespace paddle {

/// Send the request to this runner.
struct RunnerCommand
{
  Endpoint mRunner;
  std::string mShard;
  std::uint64_t mEpoch = 0;
  MonotonicTime mTryDeadline{};
};

/// Forward the request to this peer.
struct PeerCommand
{
  std::string mPeer;
};

/// Answer the caller without an answer of a runner.
struct GiveUpCommand
{
  Explanation mExplanation;
};

using Command = std::variant<RunnerCommand, PeerCommand, GiveUpCommand>;

/// What identifies a request in its decision records.
struct RequestLabel
{
  std::string mRequestId;
  std::string mService;
  std::string mCustomer;
};

/// Carries commands from the routing thread to the HTTP thread of a request.
/// There is at most one command at a time, because the routing thread waits
/// for the end of a try before it decides again.
class Mailbox
{
public:
  explicit Mailbox(RequestLabel aLabel)
    : mLabel(std::move(aLabel))
  {
  }

  void Put(Command aCommand)
  {
    {
      std::lock_guard lock(mMutex);
      mCommand = std::move(aCommand);
    }
    mAvailable.notify_one();
  }

  /// Waits for the next command; one always comes, because the routing thread
  /// refuses every request whose deadline passes.
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
