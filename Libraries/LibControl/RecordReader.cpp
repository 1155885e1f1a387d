#include <LibControl/RecordReader.h>

#include <algorithm>
#include <map>

namespace paddle {

namespace {

/// Names of batches by member, in order.
using Batches = std::map<std::string, std::vector<std::string>>;

Outcome<Batches>
ListBatches(const ObjectPort& aObjects, const std::string& aMember)
{
  const std::string root = "record/";
  const auto names =
    aObjects.mList(aMember.empty() ? root : root + aMember + "/");
  if (!Succeeded(names)) {
    return ErrorOf(names);
  }
  Batches batches;
  for (const std::string& name : ValueOf(names)) {
    const std::size_t slash = name.rfind('/');
    if (slash > root.size()) {
      batches[name.substr(root.size(), slash - root.size())].push_back(name);
    }
  }
  return batches;
}

/// Reads the batches of one member from the newest back.
Outcome<Done>
ReadMember(const ObjectPort& aObjects,
           const std::vector<std::string>& aNames,
           const RecordWindow& aWindow,
           const std::function<bool(const DecisionRecord&)>& aWanted,
           RecordsRead& aRead)
{
  std::uint64_t read = 0;
  for (auto name = aNames.rbegin(); name != aNames.rend(); ++name) {
    if (read == aWindow.mMostBatches) {
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
    bool before = false;
    for (DecisionRecord& record : ValueOf(records)) {
      if (record.mTime < aWindow.mSince) {
        before = true;
      } else if (aWanted(record)) {
        aRead.mRecords.push_back(std::move(record));
      }
    }
    if (before) {
      return Done{};
    }
  }
  return Done{};
}

} // namespace

Outcome<RecordsRead>
ReadRecords(const ObjectPort& aObjects,
            const RecordWindow& aWindow,
            const std::function<bool(const DecisionRecord&)>& aWanted)
{
  const Outcome<Batches> batches = ListBatches(aObjects, aWindow.mMember);
  if (!Succeeded(batches)) {
    return ErrorOf(batches);
  }
  RecordsRead read;
  for (const auto& [member, names] : ValueOf(batches)) {
    const Outcome<Done> done =
      ReadMember(aObjects, names, aWindow, aWanted, read);
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
