#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <LibNode/StorePort.h>

namespace paddle {

/// A linearizable table store in this process. Calls wait until Run(), so that
/// tests decide what happens between a call and its answer.
class FakeStore
{
public:
  StorePort Port();

  /// Serves the calls made so far, and those that their answers lead to.
  /// Followers without news wait on.
  void Run();

  /// @return the value, or an empty text if the row does not exist
  [[nodiscard]] std::string Value(const std::string& aTable,
                                  const std::string& aKey) const;
  [[nodiscard]] std::size_t Rows(const std::string& aTable) const;

  /// Carries the next transactions out without answering them.
  int mLoseAnswers = 0;
  /// Keeps the next transactions to be carried out by RunLate(), unanswered.
  int mDelay = 0;
  /// Refuses every call without doing anything.
  bool mRefuses = false;
  /// Refuses transactions that touch this part, as a slow store does whose
  /// queue for the part is full.
  std::optional<std::string> mRefusedPart;
  /// Serves nothing until this is reset.
  bool mPaused = false;
  /// Followers are told that the history is gone, once.
  bool mForget = false;
  /// Reads are taken at once but answered only by ReleaseReads().
  bool mHoldReads = false;

  void RunLate();
  void ReleaseReads();

  int mTransactions = 0;

private:
  struct Row
  {
    std::string mValue;
    std::int64_t mVersion = 0;
  };
  struct Follower
  {
    std::string mTable;
    std::int64_t mAfter = 0;
    ReadHandler mDone;
  };

  TransactionOutcome Apply(const StoreTransaction& aTransaction);
  ReadOutcome Read(const std::string& aTable,
                   const std::string& aPart,
                   const std::string& aFrom,
                   const std::string& aTo) const;
  void ServeFollowers();

  /// By table, part and key.
  using RowName = std::tuple<std::string, std::string, std::string>;
  std::map<RowName, Row> mRows;
  std::vector<StoreRow> mHistory;
  std::int64_t mVersion = 0;
  std::deque<std::function<void()>> mCalls;
  std::vector<std::function<void()>> mHeldReads;
  std::vector<StoreTransaction> mLate;
  std::vector<Follower> mFollowers;
};

} // namespace paddle
