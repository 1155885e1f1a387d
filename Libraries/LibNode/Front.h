#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

#include <LibNode/Cluster.h>
#include <LibNode/JobRows.h>
#include <LibNode/NodeContext.h>

namespace paddle {

/// What a client is told about its request.
enum class ClientAnswer
{
  Accepted,    ///< Stored; also when the job was accepted before.
  NotAccepted, ///< It certainly never runs; the client may come back.
  NoSuchJob,
  Unknown,    ///< It may be stored: the client must ask again with the same id.
  Unavailable ///< The state can't be read now.
};

struct StatusAnswer
{
  ClientAnswer mAnswer = ClientAnswer::Unavailable;
  JobStatus mStatus;
};

/// Serves clients: any node accepts, cancels and reports any job, through the
/// store alone.
class Front
{
public:
  Front(NodeContext& aContext, const ClusterView& aView);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  void Submit(dispatch::JobSpec aJob,
              std::function<void(ClientAnswer)> aAnswer);
  void Cancel(const std::string& aJob,
              std::function<void(ClientAnswer)> aAnswer);
  void Status(const std::string& aJob,
              std::function<void(StatusAnswer)> aAnswer);
  /// @return accepted jobs of the queue of which nothing has started
  [[nodiscard]] std::uint64_t Pending(const std::string& aQueue) const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace paddle
