#include <LibTable/TransactionSettler.h>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

namespace paddle {

namespace {

/// Pause after a failed attempt, so that a service that fails at once is not
/// flooded with retries.
constexpr Millis kRetryPauseMs{ 20 };

/// The shortest time-out that an attempt is given. If less time is left, no
/// further attempt is made.
constexpr Millis kMinAttemptTimeMs{ 10 };

/// Removes the marker row from @p aRows.
/// @return the version of the marker row, or 0 if it does not exist
std::uint64_t
ExtractMarkerVersion(std::vector<TableRow>& aRows, const std::string& aMarker)
{
  const auto found = std::ranges::find(aRows, aMarker, &TableRow::mKey);
  if (found == aRows.end()) {
    return 0;
  }
  const std::uint64_t version = found->mVersion;
  aRows.erase(found);
  return version;
}

/// Sends one transaction until its outcome is known; see TransactOnce().
class Settler
{
public:
  Settler(const SingleTableCalls& aCalls,
          const TableTransaction& aTransaction,
          const std::string& aWriteId,
          Millis aTimeout)
    : mCalls(aCalls)
    , mTransaction(aTransaction)
    , mMarker(MarkerKey(aWriteId))
    , mMaxAttemptTime(std::max(aTimeout / 2, kMinAttemptTimeMs))
    , mDeadline(std::chrono::steady_clock::now() + aTimeout)
  {
    mTransaction.mConditions.push_back({ mMarker, 0 });
    mTransaction.mWrites.push_back({ mMarker, std::string("1") });
  }

  /// Sends the transaction, determines the outcome after a lost answer, and
  /// sends it again where that is safe, until the deadline.
  TransactResult Run()
  {
    for (;;) {
      if (std::optional<TransactResult> result = Send()) {
        return std::move(*result);
      }
      std::optional<TransactResult> settled;
      bool mayResend = false;
      while (!settled && !mayResend) {
        std::this_thread::sleep_for(kRetryPauseMs);
        if (TimeLeft() < kMinAttemptTimeMs) {
          return Error{ ErrorKind::Unknown,
                        "the effect of write " + mMarker +
                          " could not be determined: " + mLastFailure };
        }
        settled = ReadMarker(mayResend);
      }
      if (settled) {
        return std::move(*settled);
      }
    }
  }

private:
  Millis TimeLeft() const
  {
    return std::chrono::duration_cast<Millis>(mDeadline -
                                              std::chrono::steady_clock::now());
  }

  /// @return the time-out of the next attempt
  Millis AttemptTimeout() const
  {
    return std::max(std::min(mMaxAttemptTime, TimeLeft()), kMinAttemptTimeMs);
  }

  /// Sends the transaction once.
  /// @return the final result, or nothing if the outcome is still unknown
  std::optional<TransactResult> Send()
  {
    TransactResult result = mCalls.mTransact(mTransaction, AttemptTimeout());
    if (auto* conflict = std::get_if<Conflict>(&result)) {
      // The marker row exists: an earlier attempt was committed, or the HTTP
      // library sent this one twice and the first delivery was committed.
      if (const auto version = ExtractMarkerVersion(conflict->mRows, mMarker)) {
        return Committed{ version };
      }
      return result;
    }
    const auto* error = std::get_if<Error>(&result);
    if (!error) {
      return result;
    }
    const bool hadNoEffect = error->mKind == ErrorKind::Unavailable ||
                             error->mKind == ErrorKind::InvalidInput;
    if (hadNoEffect && !mMayHaveArrived) {
      return result;
    }
    mMayHaveArrived = true;
    mLastFailure = error->mMessage;
    return std::nullopt;
  }

  /// Reads the marker row and the rows of the conditions.
  /// @param aMayResend set if the write was not committed so far but its
  ///                   conditions still hold, so that it may be sent again
  /// @return the final result, or nothing if the outcome is still unknown
  std::optional<TransactResult> ReadMarker(bool& aMayResend)
  {
    std::vector<std::string> keys;
    for (const RowCondition& condition : mTransaction.mConditions) {
      keys.push_back(condition.mKey);
    }
    Outcome<std::vector<TableRow>> read = mCalls.mRead(keys, AttemptTimeout());
    if (!Succeeded(read)) {
      mLastFailure = ErrorOf(read).mMessage;
      return std::nullopt;
    }
    std::vector<TableRow>& rows = ValueOf(read);
    if (const auto version = ExtractMarkerVersion(rows, mMarker)) {
      return Committed{ version };
    }
    std::erase_if(
      rows, [this](const TableRow& aRow) { return MeetsConditions(aRow); });
    if (!rows.empty()) {
      return Conflict{ std::move(rows) };
    }
    aMayResend = true;
    return std::nullopt;
  }

  /// @return whether the row has the version that the conditions require of it
  bool MeetsConditions(const TableRow& aRow) const
  {
    return std::ranges::all_of(mTransaction.mConditions,
                               [&aRow](const RowCondition& aCondition) {
                                 return aCondition.mKey != aRow.mKey ||
                                        aCondition.mVersion == aRow.mVersion;
                               });
  }

  const SingleTableCalls& mCalls;
  TableTransaction mTransaction;
  std::string mMarker;
  Millis mMaxAttemptTime;
  MonotonicTime mDeadline;
  bool mMayHaveArrived = false; ///< An earlier attempt may have been committed.
  std::string mLastFailure;     ///< Message of the last failed call.
};

} // namespace

std::string
MarkerKey(const std::string& aWriteId)
{
  return "write/" + aWriteId;
}

TransactResult
TransactOnce(const SingleTableCalls& aCalls,
             const TableTransaction& aTransaction,
             const std::string& aWriteId,
             Millis aTimeout)
{
  return Settler(aCalls, aTransaction, aWriteId, aTimeout).Run();
}

} // namespace paddle
