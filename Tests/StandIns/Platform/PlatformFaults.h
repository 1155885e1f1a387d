#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Time.h>

namespace paddle {

/// How requests of a partitioned member fail. They have no effect.
enum class PartitionMode
{
  Refuse, ///< The request fails at once.
  Silent  ///< The request gets no answer until its sender times out.
};

/// What the stand-in does with a request.
enum class RequestHandling
{
  Serve,  ///< Serves the request.
  Refuse, ///< Fails the request at once, without effect.
  Silent  ///< Leaves the request without an answer and without effect.
};

/// The faults that are now injected into a platform stand-in. Safe for use
/// from several threads.
class PlatformFaults
{
public:
  /// Starts or ends an outage, during which each request fails as unavailable.
  void SetOutage(bool aOn);

  /// Delays each request by @p aDelay before it takes effect.
  void SetDelay(Millis aDelay);

  /// Drops the answers of the next @p aCount transactions that take effect, so
  /// that their senders do not know the outcome.
  void LoseAnswers(unsigned aCount);

  /// Simulates a network partition between the platform and exactly these
  /// members; an empty list ends the partition.
  void PartitionMembers(const std::vector<std::string>& aMembers,
                        PartitionMode aMode);

  /// @param aMember name of the sender, empty if it is not known
  /// @return how its requests are handled; only the partition is considered,
  ///         not an outage
  [[nodiscard]] RequestHandling HandlingInPartition(
    std::string_view aMember) const;

  [[nodiscard]] bool Outage() const;

  [[nodiscard]] Millis Delay() const;

  /// Uses up one of the answers that LoseAnswers() announced, if any is left.
  /// @return whether the answer of the present transaction must be dropped
  bool ConsumeLostAnswer();

private:
  mutable std::mutex mMutex;
  bool mOutage = false;
  Millis mDelay{ 0 };
  unsigned mAnswersToLose = 0; ///< Still to be dropped.
  std::map<std::string, PartitionMode, std::less<>> mPartitionedMembers;
};

} // namespace paddle
