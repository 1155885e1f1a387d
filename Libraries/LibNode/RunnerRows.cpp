#include <LibNode/RunnerRows.h>

#include <algorithm>
#include <cstdlib>
#include <json/value.h>
#include <set>

#include <LibBase/JsonReader.h>
#include <LibDispatch/Dispatcher.h>
#include <LibNode/JobRows.h>

namespace paddle {

namespace {

using dispatch::InheritedRunner;

/// A row of the list is filled to this share of the limit, and gets further
/// entries up to the second share, so that longer entries of the same runners
/// fit into it.
constexpr double kRowFill = 11.0 / 12;
constexpr double kRowFillForNew = 10.0 / 12;
/// Entries of each transaction that the commit sequence row takes: a check and
/// a put.
constexpr std::size_t kSequenceEntries = 2;
/// Bytes of the message that are left for that row.
constexpr std::size_t kSequenceBytes = 1000;
/// A record states the end of the leases this much later, so that it need not
/// be written again when the estimate of the store's clock changes.
constexpr std::int64_t kLeasesEndSlackMs = 100;

/// @return the number of a row of the list, 0 for the first one, or nothing if
///         the key is that of another row
std::optional<std::size_t>
NumberOfRow(std::string_view aKey)
{
  constexpr std::string_view kPrefix = kFurtherRunnersPrefix;
  if (aKey == kRunnersKey) {
    return 0;
  }
  if (!aKey.starts_with(kPrefix)) {
    return {};
  }
  const std::string digits(aKey.substr(kPrefix.size()));
  return static_cast<std::size_t>(
    std::strtoul(digits.c_str(), nullptr, 10)); // NOLINT(cert-err34-c)
}

std::string
KeyOfRow(std::size_t aNumber)
{
  return aNumber == 0 ? std::string(kRunnersKey)
                      : kFurtherRunnersPrefix + std::to_string(aNumber);
}

/// @return the entry of a runner without a record and an end of leases
InheritedRunner
PlainEntry(const InheritedRunner& aRunner)
{
  InheritedRunner plain;
  plain.mSpec = aRunner.mSpec;
  return plain;
}

/// The entry that stands for the further rows, see kFurtherRowsId.
InheritedRunner
EntryForFurtherRows()
{
  InheritedRunner entry;
  entry.mSpec.mId = kFurtherRowsId;
  return entry;
}

std::string
JoinEntries(const std::map<std::string, std::string>& aEntries)
{
  std::string text = "{";
  for (const auto& [id, entry] : aEntries) {
    text += text.size() > 1 ? "," : "";
    text += entry;
  }
  return text + "}";
}

std::string
FormatRecord(const RecordRow& aRecord)
{
  Json::Value value(Json::objectValue);
  value["epoch"] = Json::Int64(aRecord.mEpoch);
  value["incarnation"] = Json::Int64(aRecord.mIncarnation);
  value["runs"] = RunsToJson(aRecord.mRuns);
  if (aRecord.mLeasesEndMs > 0) {
    value["leases_end_ms"] = Json::Int64(aRecord.mLeasesEndMs);
  }
  if (aRecord.mFinal) {
    value["final"] = true;
  }
  return WriteJson(value);
}

std::optional<RecordRow>
ParseRecord(std::string_view aText)
{
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value || !(*value)["runs"].isArray()) {
    return {};
  }
  RecordRow record;
  record.mEpoch = (*value)["epoch"].asInt64();
  record.mIncarnation = (*value)["incarnation"].asInt64();
  record.mRuns = RunsFromJson((*value)["runs"]);
  record.mLeasesEndMs = (*value)["leases_end_ms"].asInt64();
  record.mFinal = (*value)["final"].asBool();
  return record;
}

/// @return whether the stored record says the same as the wanted one, or states
///         an end of the leases that is hardly later
bool
Covers(const RecordRow& aStored, const RecordRow& aWanted)
{
  const std::int64_t later = aStored.mLeasesEndMs - aWanted.mLeasesEndMs;
  const auto sameRun = [](const dispatch::PossibleRun& aFirst,
                          const dispatch::PossibleRun& aSecond) {
    return aFirst.mRun == aSecond.mRun &&
           dispatch::FormatTaskName(aFirst.mTask) ==
             dispatch::FormatTaskName(aSecond.mTask);
  };
  return aStored.mEpoch == aWanted.mEpoch &&
         aStored.mIncarnation == aWanted.mIncarnation &&
         aStored.mFinal == aWanted.mFinal && later >= -kLeasesEndSlackMs &&
         later <= kLeasesEndSlackMs &&
         std::equal(aStored.mRuns.begin(),
                    aStored.mRuns.end(),
                    aWanted.mRuns.begin(),
                    aWanted.mRuns.end(),
                    sameRun);
}

/// Collects the changes of a list in the order in which they are to be stored.
class Planner
{
public:
  Planner(const RunnerRows& aStored,
          std::int64_t aEpoch,
          const StoreClock& aClock,
          const StoreKey& aName,
          const StoreLimits& aLimits)
    : mStored(aStored)
    , mEpoch(aEpoch)
    , mClock(aClock)
    , mName(aName)
    , mLimits(aLimits)
  {
  }

  RunnerListPlan Plan(std::span<const InheritedRunner> aRunners)
  {
    std::vector<InheritedRunner> runners;
    runners.reserve(aRunners.size());
    for (const InheritedRunner& runner : aRunners) {
      const std::size_t size =
        FormatRunnerEntry(PlainEntry(runner), mClock).size();
      if (size + kBraces + 1 > Budget()) {
        mPlan.mEntriesLeftOut.push_back(runner.mSpec.mId);
      } else {
        runners.push_back(runner);
      }
    }
    const std::string whole = FormatRunners(runners, mClock);
    if (whole.size() <= Budget()) {
      RunnerRow row{ whole, {}, {} };
      for (const InheritedRunner& runner : runners) {
        row.mRunners.emplace(runner.mSpec.mId, runner.mSpec.mIncarnation);
      }
      Put(kRunnersKey, std::move(row));
    } else {
      PlanRows(runners);
    }
    RemoveOthers();
    return std::move(mPlan);
  }

private:
  static constexpr std::size_t kBraces = 2;

  /// A row of the new list.
  struct ListRow
  {
    std::map<std::string, std::string> mEntries; ///< Text by id.
    RunnerIncarnations mRunners;
    std::size_t mSize = kBraces;

    void Add(const InheritedRunner& aRunner, std::string aText)
    {
      mSize += aText.size() + 1;
      mRunners[aRunner.mSpec.mId] = aRunner.mSpec.mIncarnation;
      mEntries[aRunner.mSpec.mId] = std::move(aText);
    }
  };

  [[nodiscard]] std::size_t Budget(double aFill = kRowFill) const
  {
    return static_cast<std::size_t>(static_cast<double>(mLimits.mRowBytes) *
                                    aFill);
  }

  void PlanRows(const std::vector<InheritedRunner>& aRunners)
  {
    std::map<std::size_t, ListRow> rows = AssignRows(aRunners);
    ListRow& first = rows[0];
    std::vector<const InheritedRunner*> records;
    std::vector<const InheritedRunner*> leaseEnds;
    for (const InheritedRunner& runner : aRunners) {
      if (runner.mPossibleRuns) {
        records.push_back(&runner);
      } else if (runner.mLeasesExpireAt) {
        leaseEnds.push_back(&runner);
      }
    }
    // A record that has a row of its own stays there, if there is no room for
    // all.
    std::stable_partition(
      records.begin(), records.end(), [&](const InheritedRunner* aRunner) {
        return !mStored.contains(kRecordPrefix + aRunner->mSpec.mId);
      });
    std::erase_if(records, [&](const InheritedRunner* aRunner) {
      return Extend(first, *aRunner);
    });
    std::erase_if(leaseEnds, [&](const InheritedRunner* aRunner) {
      return Extend(first, *aRunner);
    });
    for (const InheritedRunner* runner : records) {
      PutRecord(*runner);
    }
    PutLeaseEnds(leaseEnds);
    // Entries move to later rows only, so that no runner is missing in between.
    // The first row is written last: once it has the entry that stands for the
    // others, they are complete.
    for (auto row = rows.rbegin(); row != rows.rend(); ++row) {
      if (row->first > 0 && row->second.mEntries.empty()) {
        continue;
      }
      Put(KeyOfRow(row->first),
          RunnerRow{ JoinEntries(row->second.mEntries),
                     std::move(row->second.mRunners),
                     {} });
    }
  }

  /// Spreads the entries, without records and ends of leases, over rows. A
  /// runner stays in its row.
  std::map<std::size_t, ListRow> AssignRows(
    const std::vector<InheritedRunner>& aRunners)
  {
    std::map<std::size_t, ListRow> rows;
    std::vector<std::pair<const InheritedRunner*, std::string>> entries;
    std::size_t size = kBraces;
    for (const InheritedRunner& runner : aRunners) {
      entries.emplace_back(&runner,
                           FormatRunnerEntry(PlainEntry(runner), mClock));
      size += entries.back().second.size() + 1;
    }
    if (size <= Budget()) {
      for (auto& [runner, text] : entries) {
        rows[0].Add(*runner, std::move(text));
      }
      return rows;
    }
    InheritedRunner further = EntryForFurtherRows();
    rows[0].Add(further, FormatRunnerEntry(further, mClock));
    rows[0].mRunners.clear();
    std::map<std::string_view, std::size_t> rowOf;
    for (const auto& [key, row] : mStored) {
      const std::optional<std::size_t> number = NumberOfRow(key);
      for (const auto& [id, incarnation] : row.mRunners) {
        const auto found = rowOf.emplace(id, *number).first;
        found->second = std::min(found->second, *number);
      }
    }
    // The first row after the one in which an entry no longer fits.
    std::vector<std::pair<std::size_t, std::size_t>> unplaced;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      const auto found = rowOf.find(entries[i].first->mSpec.mId);
      if (found == rowOf.end()) {
        unplaced.emplace_back(0, i);
      } else if (!AddIfRoom(rows[found->second], entries[i], Budget())) {
        unplaced.emplace_back(found->second + 1, i);
      }
    }
    std::size_t from = 0;
    for (const auto& [first, i] : unplaced) {
      std::size_t number = std::max(first, from);
      // An entry that exceeds the share for new ones gets a row of its own.
      while (!AddIfRoom(
        rows[number],
        entries[i],
        Budget(rows[number].mRunners.empty() ? kRowFill : kRowFillForNew))) {
        ++number;
      }
      // Rows before this one are nearly full.
      from = first == 0 ? number : from;
    }
    return rows;
  }

  static bool AddIfRoom(ListRow& aRow,
                        std::pair<const InheritedRunner*, std::string>& aEntry,
                        std::size_t aBudget)
  {
    if (aRow.mSize + aEntry.second.size() + 1 > aBudget) {
      return false;
    }
    aRow.Add(*aEntry.first, std::move(aEntry.second));
    return true;
  }

  /// Adds the record, or the end of the leases, to the runner's entry in the
  /// first row if that has room for it.
  bool Extend(ListRow& aFirst, const InheritedRunner& aRunner) const
  {
    const auto entry = aFirst.mEntries.find(aRunner.mSpec.mId);
    if (entry == aFirst.mEntries.end()) {
      return false;
    }
    std::string text = FormatRunnerEntry(aRunner, mClock);
    const std::size_t size = aFirst.mSize + text.size() - entry->second.size();
    if (size > Budget()) {
      return false;
    }
    aFirst.mSize = size;
    entry->second = std::move(text);
    return true;
  }

  void PutRecord(const InheritedRunner& aRunner)
  {
    const std::string key = kRecordPrefix + aRunner.mSpec.mId;
    RecordRow record;
    record.mEpoch = mEpoch;
    record.mIncarnation = aRunner.mSpec.mIncarnation;
    record.mRuns = *aRunner.mPossibleRuns;
    record.mLeasesEndMs = LeasesEndMs(aRunner);
    record.mFinal = aRunner.mRecordFinal;
    const auto stored = mStored.find(key);
    if (stored != mStored.end() && stored->second.mRecord &&
        Covers(*stored->second.mRecord, record)) {
      mKept.insert(key);
      return;
    }
    std::string text = FormatRecord(record);
    if (text.size() > mLimits.mRowBytes || key.size() > mLimits.mNameBytes) {
      // A later owner waits for the end of the leases instead.
      ++mPlan.mRecordsLeftOut;
      return;
    }
    Put(key, RunnerRow{ std::move(text), {}, std::move(record) });
  }

  /// @return the end of the runner's leases on the store's clock; 0: not known
  [[nodiscard]] std::int64_t LeasesEndMs(const InheritedRunner& aRunner) const
  {
    const std::optional<std::int64_t> end =
      aRunner.mLeasesExpireAt
        ? LatestStoreTime(mClock, *aRunner.mLeasesExpireAt)
        : std::nullopt;
    return end ? *end + kLeasesEndSlackMs : 0;
  }

  void PutLeaseEnds(const std::vector<const InheritedRunner*>& aRunners)
  {
    std::size_t number = 0;
    std::map<std::string, std::string> entries;
    std::size_t size = 0;
    const std::string head =
      "{\"epoch\":" + std::to_string(mEpoch) + ",\"ends\":";
    const auto put = [&] {
      Put(kLeaseEndsPrefix + std::to_string(number++),
          RunnerRow{ head + JoinEntries(entries) + "}", {}, {} });
      entries.clear();
      size = 0;
    };
    for (const InheritedRunner* runner : aRunners) {
      const std::int64_t end = LeasesEndMs(*runner);
      if (end == 0) {
        ++mPlan.mLeaseEndsLeftOut;
        continue;
      }
      Json::Value value(Json::objectValue);
      value[runner->mSpec.mId].append(Json::Int64(runner->mSpec.mIncarnation));
      value[runner->mSpec.mId].append(Json::Int64(end));
      std::string text = WriteJson(value);
      text = text.substr(1, text.size() - kBraces);
      if (!entries.empty() &&
          head.size() + size + text.size() + 1 + kBraces > Budget()) {
        put();
      }
      size += text.size() + 1;
      entries.emplace(runner->mSpec.mId, std::move(text));
    }
    if (!entries.empty()) {
      put();
    }
  }

  /// Removes the rows of the stored list that the new one does not have.
  void RemoveOthers()
  {
    for (const auto& [key, row] : mStored) {
      if (!mKept.contains(key)) {
        Add({ key, std::nullopt });
      }
    }
  }

  void Put(const std::string& aKey, RunnerRow aRow)
  {
    mKept.insert(aKey);
    const auto stored = mStored.find(aKey);
    if (stored == mStored.end() || stored->second.mText != aRow.mText) {
      Add({ aKey, std::move(aRow) });
    }
  }

  void Add(RunnerRowChange aChange)
  {
    const std::size_t bytes =
      MessageBytes(MakeTransaction({ &aChange, 1 }, mName));
    if (mPlan.mSteps.empty() ||
        mPlan.mSteps.back().size() + kSequenceEntries >= mLimits.mEntries ||
        mStepBytes + bytes + kSequenceBytes > mLimits.mMessageBytes) {
      mPlan.mSteps.emplace_back();
      mStepBytes = 0;
    }
    mStepBytes += bytes;
    mPlan.mSteps.back().push_back(std::move(aChange));
  }

  const RunnerRows& mStored;
  std::int64_t mEpoch;
  const StoreClock& mClock;
  const StoreKey& mName;
  const StoreLimits& mLimits;
  RunnerListPlan mPlan;
  std::set<std::string> mKept; ///< Keys of the rows of the new list.
  std::size_t mStepBytes = 0;  ///< Of the message of the last step.
};

/// Applies the rows with ends of leases to the runners that state none.
void
AddLeaseEnds(const RunnerRows& aRows,
             std::int64_t aRecordsSince,
             const StoreClock& aClock,
             std::map<std::string, InheritedRunner>& aRunners)
{
  for (const auto& [key, row] : aRows) {
    if (!key.starts_with(kLeaseEndsPrefix)) {
      continue;
    }
    const std::optional<Json::Value> value = ParseJsonObject(row.mText);
    if (!value || (*value)["epoch"].asInt64() < aRecordsSince ||
        !(*value)["ends"].isObject()) {
      continue;
    }
    const Json::Value& ends = (*value)["ends"];
    for (const std::string& id : ends.getMemberNames()) {
      const auto runner = aRunners.find(id);
      const Json::Value& end = ends[id];
      if (runner != aRunners.end() && end.isArray() && end.size() == 2 &&
          end[0].asInt64() == runner->second.mSpec.mIncarnation &&
          !runner->second.mPossibleRuns && !runner->second.mLeasesExpireAt) {
        runner->second.mLeasesExpireAt = TimeReached(aClock, end[1].asInt64());
      }
    }
  }
}

} // namespace

bool
IsRunnerRow(std::string_view aKey)
{
  return NumberOfRow(aKey).has_value() || aKey.starts_with(kRecordPrefix) ||
         aKey.starts_with(kLeaseEndsPrefix);
}

RunnerRow
ParseRunnerRow(std::string_view aKey, std::string aText)
{
  RunnerRow row{ std::move(aText), {}, {} };
  if (NumberOfRow(aKey)) {
    for (const InheritedRunner& runner : ParseRunners(row.mText, {})) {
      if (runner.mSpec.mId != kFurtherRowsId) {
        row.mRunners.emplace(runner.mSpec.mId, runner.mSpec.mIncarnation);
      }
    }
  } else if (aKey.starts_with(kRecordPrefix)) {
    row.mRecord = ParseRecord(row.mText);
  }
  return row;
}

std::vector<InheritedRunner>
InheritedRunners(const RunnerRows& aRows,
                 std::int64_t aRecordsSince,
                 const StoreClock& aClock)
{
  std::map<std::string, InheritedRunner> runners;
  // The first row sorts before the further ones.
  for (const auto& [key, row] : aRows) {
    const std::optional<std::size_t> number = NumberOfRow(key);
    if (!number) {
      continue;
    }
    for (InheritedRunner& runner : ParseRunners(row.mText, aClock)) {
      if (runner.mSpec.mId == kFurtherRowsId) {
        continue;
      }
      if (*number > 0) {
        runner = PlainEntry(runner);
      }
      // An earlier version that owned the shard in between has written the
      // first row only, and may have left the same runners in others.
      const auto known = runners.find(runner.mSpec.mId);
      if (known == runners.end() ||
          known->second.mSpec.mIncarnation < runner.mSpec.mIncarnation) {
        runners.insert_or_assign(runner.mSpec.mId, runner);
      }
    }
  }
  for (auto& [id, runner] : runners) {
    const auto row = aRows.find(kRecordPrefix + id);
    if (runner.mPossibleRuns || row == aRows.end() || !row->second.mRecord) {
      continue;
    }
    const RecordRow& record = *row->second.mRecord;
    if (record.mEpoch < aRecordsSince ||
        record.mIncarnation != runner.mSpec.mIncarnation) {
      continue;
    }
    runner.mPossibleRuns = record.mRuns;
    runner.mLeasesExpireAt = record.mLeasesEndMs > 0
                               ? TimeReached(aClock, record.mLeasesEndMs)
                               : std::nullopt;
    runner.mRecordFinal = record.mFinal;
  }
  AddLeaseEnds(aRows, aRecordsSince, aClock, runners);
  std::vector<InheritedRunner> list;
  list.reserve(runners.size());
  for (auto& [id, runner] : runners) {
    list.push_back(std::move(runner));
  }
  return list;
}

RunnerIncarnations
IncarnationsOf(const RunnerRows& aRows)
{
  RunnerIncarnations all;
  for (const auto& [key, row] : aRows) {
    for (const auto& [id, incarnation] : row.mRunners) {
      std::int64_t& known = all.emplace(id, incarnation).first->second;
      known = std::max(known, incarnation);
    }
  }
  return all;
}

RunnerIncarnations
IncarnationsInFirstRow(const RunnerRows& aRows)
{
  const auto row = aRows.find(kRunnersKey);
  return row == aRows.end() ? RunnerIncarnations{} : row->second.mRunners;
}

RunnerListPlan
PlanRunnerList(const RunnerRows& aStored,
               std::span<const InheritedRunner> aRunners,
               std::int64_t aEpoch,
               const StoreClock& aClock,
               const StoreKey& aName,
               const StoreLimits& aLimits)
{
  return Planner(aStored, aEpoch, aClock, aName, aLimits).Plan(aRunners);
}

void
ApplyChanges(RunnerRows& aRows, std::span<const RunnerRowChange> aChanges)
{
  for (const RunnerRowChange& change : aChanges) {
    if (change.mRow) {
      aRows[change.mKey] = *change.mRow;
    } else {
      aRows.erase(change.mKey);
    }
  }
}

StoreTransaction
MakeTransaction(std::span<const RunnerRowChange> aChanges,
                const StoreKey& aName)
{
  StoreTransaction transaction;
  for (const RunnerRowChange& change : aChanges) {
    if (change.mRow) {
      transaction.mPuts.push_back({ aName.mTable,
                                    aName.mPartition,
                                    change.mKey,
                                    change.mRow->mText,
                                    0,
                                    false });
    } else {
      transaction.mRemovals.push_back(
        { aName.mTable, aName.mPartition, change.mKey });
    }
  }
  return transaction;
}

} // namespace paddle
