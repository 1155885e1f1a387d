#pragma once

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <StandIns/Platform/MemoryPorts.h>

namespace paddle {

/// The table of the platform stand-in, in the memory of the test. Tests can run
/// code just before a transaction, or make transactions fail.
class FakeTable
{
public:
  PlatformFaults mFaults; ///< Faults of the stand-in that the port obeys.

  /// @return a port to this table. The table must outlive the port.
  TablePort Port()
  {
    TablePort port = MakeMemoryTablePort(mTable, mFaults, "");
    port.mTransact = [this, commit = port.mTransact](
                       const TableTransaction& aChange) -> TransactResult {
      if (const auto hook = TakeHook()) {
        hook();
      }
      if (mLoseRequests) {
        return Error{ ErrorKind::Unknown, "no answer" };
      }
      return commit(aChange);
    };
    return port;
  }

  /// Calls @p aHook once, just before the next transaction. With it a test of
  /// one thread lets another writer change the table between a read and a
  /// write.
  void BeforeTransact(std::function<void()> aHook)
  {
    std::lock_guard lock(mMutex);
    mBeforeTransact = std::move(aHook);
  }

  /// Makes all later transactions fail as if the request had been lost: nothing
  /// is written, and the caller gets an error of kind Unknown.
  void LoseRequests() { mLoseRequests = true; }

  /// Sets the value of a row, without conditions.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    mTable.Transact({ {}, { { aKey, aValue } } });
  }

  /// @return the value of the row, or an empty string if it does not exist
  std::string Value(const std::string& aKey)
  {
    const std::array<std::string, 1> keys{ aKey };
    return mTable.Read(keys).front().mValue;
  }

  /// @return the values by key of all rows whose key starts with the prefix
  std::map<std::string, std::string> Rows(const std::string& aPrefix = "")
  {
    std::map<std::string, std::string> rows;
    for (const TableRow& row : mTable.Scan(aPrefix)) {
      rows[row.mKey] = row.mValue;
    }
    return rows;
  }

private:
  /// @return the hook for the next transaction, which is then cleared
  std::function<void()> TakeHook()
  {
    std::lock_guard lock(mMutex);
    return std::exchange(mBeforeTransact, nullptr);
  }

  MemoryTable mTable;
  std::mutex mMutex;
  std::function<void()> mBeforeTransact;
  bool mLoseRequests = false;
};

} // namespace paddle
