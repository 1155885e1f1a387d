#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <LibTable/TablePort.h>

namespace paddle {

/// A table service in memory for tests, with the faults they need.
class FakeTable
{
public:
  enum class Answer
  {
    Normal,
    Down,       ///< Nothing takes effect: Unavailable.
    LostAnswer, ///< A transaction takes effect, but ends as Unknown.
    LostRequest ///< A transaction takes no effect and ends as Unknown.
  };

  /// @return a port to this table, which must outlive it
  TablePort Port()
  {
    return TablePort{
      [this](std::span<const std::string> aKeys) { return Read(aKeys); },
      [this](std::string_view aPrefix) { return Scan(aPrefix); },
      [this](const TableTransaction& aChange) { return Transact(aChange); }
    };
  }

  void SetAnswer(Answer aAnswer)
  {
    std::lock_guard lock(mMutex);
    mAnswer = aAnswer;
  }

  /// Runs before each transaction, without the lock; for races.
  void BeforeTransact(std::function<void()> aHook)
  {
    std::lock_guard lock(mMutex);
    mBeforeTransact = std::move(aHook);
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    std::lock_guard lock(mMutex);
    mRows[aKey] = TableRow{ aKey, aValue, ++mVersion };
  }

  std::string Value(const std::string& aKey)
  {
    std::lock_guard lock(mMutex);
    return mRows.contains(aKey) ? mRows[aKey].mValue : "";
  }

  std::map<std::string, TableRow> Rows()
  {
    std::lock_guard lock(mMutex);
    return mRows;
  }

  std::size_t CountPrefix(const std::string& aPrefix)
  {
    std::lock_guard lock(mMutex);
    std::size_t count = 0;
    for (const auto& [key, row] : mRows) {
      count += key.starts_with(aPrefix) ? 1 : 0;
    }
    return count;
  }

private:
  static Error Unavailable()
  {
    return Error{ ErrorKind::Unavailable, "the table service is down" };
  }

  TableRow Row(const std::string& aKey) const
  {
    const auto found = mRows.find(aKey);
    return found == mRows.end() ? TableRow{ aKey, "", 0 } : found->second;
  }

  Outcome<std::vector<TableRow>> Read(std::span<const std::string> aKeys)
  {
    std::lock_guard lock(mMutex);
    if (mAnswer == Answer::Down) {
      return Unavailable();
    }
    std::vector<TableRow> rows;
    for (const std::string& key : aKeys) {
      rows.push_back(Row(key));
    }
    return rows;
  }

  Outcome<std::vector<TableRow>> Scan(std::string_view aPrefix)
  {
    std::lock_guard lock(mMutex);
    if (mAnswer == Answer::Down) {
      return Unavailable();
    }
    std::vector<TableRow> rows;
    for (const auto& [key, row] : mRows) {
      if (key.starts_with(aPrefix)) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  TransactResult Transact(const TableTransaction& aChange)
  {
    std::function<void()> hook;
    {
      std::lock_guard lock(mMutex);
      std::swap(hook, mBeforeTransact);
    }
    if (hook) {
      hook();
    }
    std::lock_guard lock(mMutex);
    if (mAnswer == Answer::Down) {
      return Unavailable();
    }
    if (mAnswer == Answer::LostRequest) {
      return Error{ ErrorKind::Unknown, "no answer" };
    }
    return Commit(aChange);
  }

  TransactResult Commit(const TableTransaction& aChange)
  {
    Conflict conflict;
    for (const RowCondition& condition : aChange.mConditions) {
      if (Row(condition.mKey).mVersion != condition.mVersion) {
        conflict.mRows.push_back(Row(condition.mKey));
      }
    }
    if (!conflict.mRows.empty()) {
      return conflict;
    }
    ++mVersion;
    for (const RowWrite& write : aChange.mWrites) {
      if (write.mValue) {
        mRows[write.mKey] = TableRow{ write.mKey, *write.mValue, mVersion };
      } else {
        mRows.erase(write.mKey);
      }
    }
    if (mAnswer == Answer::LostAnswer) {
      return Error{ ErrorKind::Unknown, "no answer" };
    }
    return Committed{ mVersion };
  }

  std::mutex mMutex;
  std::map<std::string, TableRow> mRows;
  std::uint64_t mVersion = 0;
  Answer mAnswer = Answer::Normal;
  std::function<void()> mBeforeTransact;
};

} // namespace paddle
