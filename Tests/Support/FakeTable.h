#pragma once

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <StandIns/Platform/MemoryPorts.h>

namespace paddle {

/// The stand-in's table in this process, with what tests of changes need.
class FakeTable
{
public:
  PlatformFaults mFaults;

  /// @return a port to this table, which must outlive it
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

  /// Runs once before the next transaction, for races in one thread.
  void BeforeTransact(std::function<void()> aHook)
  {
    std::lock_guard lock(mMutex);
    mBeforeTransact = std::move(aHook);
  }

  /// From now on transactions have no effect and no known outcome.
  void LoseRequests() { mLoseRequests = true; }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    mTable.Transact({ {}, { { aKey, aValue } } });
  }

  /// @return the row's value, empty if there is none
  std::string Value(const std::string& aKey)
  {
    const std::array<std::string, 1> keys{ aKey };
    return mTable.Read(keys).front().mValue;
  }

  /// @return values by key of all rows that begin with the prefix
  std::map<std::string, std::string> Rows(const std::string& aPrefix = "")
  {
    std::map<std::string, std::string> rows;
    for (const TableRow& row : mTable.Scan(aPrefix)) {
      rows[row.mKey] = row.mValue;
    }
    return rows;
  }

private:
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
