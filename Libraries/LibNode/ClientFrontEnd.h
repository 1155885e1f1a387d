#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include <LibNode/ClientKeys.h>
#include <LibNode/Cluster.h>
#include <LibNode/JobRows.h>
#include <LibNode/NodeContext.h>

namespace paddle {

/// The answer to a client's request.
enum class ClientAnswer
{
  Accepted, ///< The request is stored; also if it had been accepted before.
  /// The job certainly never runs; the client may submit it again.
  NotAccepted,
  /// The job is not stored, and the store does not take it however often the
  /// client submits it.
  Rejected,
  NoSuchRoute, ///< No queue serves the request's host and path.
  NoSuchJob,
  /// The job may be stored: the client must submit it again with the same id.
  Unknown,
  Unavailable, ///< The status of the job can't be read now.
  NoValidKey,  ///< The request has no key of a client account.
  OtherAccount ///< The job belongs to another client account.
};

struct StatusAnswer
{
  ClientAnswer mAnswer = ClientAnswer::Unavailable;
  JobStatus mStatus;
};

/// Serves the requests of clients. Any node can accept a job, cancel it and
/// report its status, because all of this goes through the store only and needs
/// no contact with the owner of the job's shard.
class ClientFrontEnd
{
public:
  /// @param aContext must outlive this object and its calls
  /// @param aView    the node's view of the cluster, which the node updates
  ClientFrontEnd(NodeContext& aContext, const ClusterView& aView);
  ~ClientFrontEnd();
  ClientFrontEnd(const ClientFrontEnd&) = delete;
  ClientFrontEnd& operator=(const ClientFrontEnd&) = delete;

  /// Stores a job for the owner of a shard. The job belongs to the account that
  /// it names.
  /// @param aAnswer is called once the outcome is known, or when the longest
  ///                time that a client waits has passed
  /// @param aCaller learns whether the job's id is taken by a job of another
  ///                account
  void Submit(dispatch::JobSpec aJob,
              std::function<void(ClientAnswer)> aAnswer,
              Caller aCaller = {});
  /// Stores that a job is cancelled; its shard's owner then stops its tasks.
  /// Jobs of other accounts than the caller's are not cancelled.
  void Cancel(const std::string& aJob,
              std::function<void(ClientAnswer)> aAnswer,
              Caller aCaller = {});
  /// Reads the status of a job. That of a job of another account than the
  /// caller's is not told.
  void Status(const std::string& aJob,
              std::function<void(StatusAnswer)> aAnswer,
              Caller aCaller = {});
  /// Counts a submission in the metrics of its account.
  /// @param aAccount empty: none; the submission is not counted
  void CountSubmission(const std::string& aAccount, ClientAnswer aAnswer);
  /// @return the number of accepted jobs of the queue of which no task has been
  ///         started, as the shards' owners last published it; nothing if a
  ///         part of it is older than NodeSettings::mMaxPendingAge, as while an
  ///         owner is late or changes
  [[nodiscard]] std::optional<std::uint64_t> Pending(
    const std::string& aQueue) const;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace paddle
