#include <LibControl/RecordReader.h>

#include <algorithm>
#include <map>

namespace paddle {

namespace {

/// Object names of the batches of each process, by name of the process; oldest
/// first.
using BatchNamesByMember = std::map<std::string, std::vector<std::string>>;

/// @param aMember name of the process; empty for all processes
Outcome<BatchNamesByMember>
ListBatches(const ObjectPort& aObjects, const std::string& aMember)
{
  const std::string root = "record/";
  const auto names =
    aObjects.mList(aMember.empty() ? root : root + aMember + "/");
  if (!Succeeded(names)) {
    return ErrorOf(names);
  }
  BatchNamesByMember batches;
  for (const std::string& name : ValueOf(names)) {
    const std::size_t slash = name.rfind('/');
    if (slash > root.size()) {
      batches[name.substr(root.size(), slash - root.size())].push_back(name);
    }
  }
  return batches;
}

/// Reads the batches of one process, starting with the newest, until one holds
/// a record from before the window or the limit of batches is reached.
/// @param aNames object names of the batches, oldest first
/// @param aRead receives the records
Outcome<Done>
ReadMemberRecords(const ObjectPort& aObjects,
                  const std::vector<std::string>& aNames,
                  const RecordWindow& aWindow,
                  const std::function<bool(const DecisionRecord&)>& aIsWanted,
                  RecordsRead& aRead)
{
  std::uint64_t read = 0;
  for (auto name = aNames.rbegin(); name != aNames.rend(); ++name) {
    if (read == aWindow.mMaxBatches) {
      aRead.mComplete = false;
      return Done{};
    }
    const auto body = aObjects.mRead(*name);
    if (!Succeeded(body)) {
      return ErrorOf(body);
    }
    ++read;
    ++aRead.mBatches;
    auto records = DecodeRecords(*name, ValueOf(body));
    if (!Succeeded(records)) {
      return ErrorOf(records);
    }
    bool reachedWindowStart = false;
    for (DecisionRecord& record : ValueOf(records)) {
      if (record.mTime < aWindow.mSince) {
        reachedWindowStart = true;
      } else if (aIsWanted(record)) {
        aRead.mRecords.push_back(std::move(record));
      }
    }
    if (reachedWindowStart) {
      return Done{};
    }
  }
  return Done{};
}

} // namespace

Outcome<RecordsRead>
ReadRecords(const ObjectPort& aObjects,
            const RecordWindow& aWindow,
            const std::function<bool(const DecisionRecord&)>& aIsWanted)
{
  const Outcome<BatchNamesByMember> batches =
    ListBatches(aObjects, aWindow.mMember);
  if (!Succeeded(batches)) {
    return ErrorOf(batches);
  }
  RecordsRead read;
  for (const auto& [member, names] : ValueOf(batches)) {
    const Outcome<Done> done =
      ReadMemberRecords(aObjects, names, aWindow, aIsWanted, read);
    if (!Succeeded(done)) {
      return ErrorOf(done);
    }
  }
  std::stable_sort(
    read.mRecords.begin(),
    read.mRecords.end(),
    [](const DecisionRecord& aLeft, const DecisionRecord& aRight) {
      return aLeft.mTime < aRight.mTime;
    });
  return read;
}

} // namespace paddle
