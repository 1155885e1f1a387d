#include <LibTable/TransactionSettler.h>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

namespace paddle {

namespace {

/// Pause between tries, so that a service that fails at once is not flooded.
constexpr Millis kRetryPauseMs{ 20 };

/// Least time worth giving to a try.
constexpr Millis kLeastTryMs{ 10 };

/// Takes the row of the marker out of @p aRows.
/// @return its version, or 0 if it does not exist
std::uint64_t
TakeMarker(std::vector<TableRow>& aRows, const std::string& aMarker)
{
  const auto found = std::ranges::find(aRows, aMarker, &TableRow::mKey);
  if (found == aRows.end()) {
    return 0;
  }
  const std::uint64_t version = found->mVersion;
  aRows.erase(found);
  return version;
}

/// Settles one transaction; see TransactOnce().
class Settler
{
public:
  Settler(const TableTries& aTries,
          const TableTransaction& aTransaction,
          const std::string& aWriteId,
          Millis aTimeout)
    : mTries(aTries)
    , mTransaction(aTransaction)
    , mMarker(MarkerKey(aWriteId))
    , mTryLimit(std::max(aTimeout / 2, kLeastTryMs))
    , mEnd(std::chrono::steady_clock::now() + aTimeout)
  {
    mTransaction.mConditions.push_back({ mMarker, 0 });
    mTransaction.mWrites.push_back({ mMarker, std::string("1") });
  }

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
        if (Left() < kLeastTryMs) {
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
  Millis Left() const
  {
    return std::chrono::duration_cast<Millis>(mEnd -
                                              std::chrono::steady_clock::now());
  }

  Millis TryLimit() const
  {
    return std::max(std::min(mTryLimit, Left()), kLeastTryMs);
  }

  /// @return the final result, or nothing if the effect must be determined
  std::optional<TransactResult> Send()
  {
    TransactResult result = mTries.mTransact(mTransaction, TryLimit());
    if (auto* conflict = std::get_if<Conflict>(&result)) {
      // An earlier try, or a resend inside the HTTP library, took effect.
      if (const auto version = TakeMarker(conflict->mRows, mMarker)) {
        return Committed{ version };
      }
      return result;
    }
    const auto* error = std::get_if<Error>(&result);
    if (!error) {
      return result;
    }
    const bool surelyWithout = error->mKind == ErrorKind::Unavailable ||
                               error->mKind == ErrorKind::InvalidInput;
    if (surelyWithout && !mMayHaveArrived) {
      return result;
    }
    mMayHaveArrived = true;
    mLastFailure = error->mMessage;
    return std::nullopt;
  }

  /// Reads the marker and the rows of the conditions.
  /// @param aMayResend set if the write has not taken effect but still may
  std::optional<TransactResult> ReadMarker(bool& aMayResend)
  {
    std::vector<std::string> keys;
    for (const RowCondition& condition : mTransaction.mConditions) {
      keys.push_back(condition.mKey);
    }
    Outcome<std::vector<TableRow>> read = mTries.mRead(keys, TryLimit());
    if (!Succeeded(read)) {
      mLastFailure = ErrorOf(read).mMessage;
      return std::nullopt;
    }
    std::vector<TableRow>& rows = ValueOf(read);
    if (const auto version = TakeMarker(rows, mMarker)) {
      return Committed{ version };
    }
    std::erase_if(rows, [this](const TableRow& aRow) { return Holds(aRow); });
    if (!rows.empty()) {
      return Conflict{ std::move(rows) };
    }
    aMayResend = true;
    return std::nullopt;
  }

  bool Holds(const TableRow& aRow) const
  {
    return std::ranges::all_of(mTransaction.mConditions,
                               [&aRow](const RowCondition& aCondition) {
                                 return aCondition.mKey != aRow.mKey ||
                                        aCondition.mVersion == aRow.mVersion;
                               });
  }

  const TableTries& mTries;
  TableTransaction mTransaction;
  std::string mMarker;
  Millis mTryLimit;
  MonotonicTime mEnd;
  bool mMayHaveArrived = false;
  std::string mLastFailure;
};

} // namespace

std::string
MarkerKey(const std::string& aWriteId)
{
  return "write/" + aWriteId;
}

TransactResult
TransactOnce(const TableTries& aTries,
             const TableTransaction& aTransaction,
             const std::string& aWriteId,
             Millis aTimeout)
{
  return Settler(aTries, aTransaction, aWriteId, aTimeout).Run();
}

} // namespace paddle
