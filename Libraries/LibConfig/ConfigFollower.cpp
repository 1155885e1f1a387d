#include <LibConfig/ConfigFollower.h>

#include <array>
#include <condition_variable>
#include <mutex>
#include <stop_token>
#include <thread>

#include <LibBase/Log.h>
#include <LibConfig/ConfigRows.h>

namespace paddle {

namespace {

using Clock = std::chrono::steady_clock;

/// Beyond this age a process reports that it may miss changes (design,
/// section 8).
constexpr Millis kStaleAge{ 5000 };

/// The revision at the moment of one read, timed from when it was sent.
struct RevisionRead
{
  std::uint64_t mRevision = 0;
  MonotonicTime mSent;
};

/// A configuration that is known to have held at a point in time.
struct Snapshot
{
  Configuration mConfiguration;
  MonotonicTime mSent;
};

Outcome<RevisionRead>
ReadRevision(const TablePort& aTable)
{
  const MonotonicTime sent = Clock::now();
  const std::array<std::string, 1> keys{ kRevisionKey };
  const Outcome<std::vector<TableRow>> rows = aTable.mRead(keys);
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  if (ValueOf(rows).size() != 1) {
    return Error{ ErrorKind::Internal,
                  "reading config/revision returned " +
                    std::to_string(ValueOf(rows).size()) + " rows" };
  }
  const Outcome<std::uint64_t> revision = ParseRevision(ValueOf(rows)[0]);
  if (!Succeeded(revision)) {
    return ErrorOf(revision);
  }
  return RevisionRead{ ValueOf(revision), sent };
}

/// Reads all rows between two reads of the same revision. Every change raises
/// the revision, so the rows then belong together.
Outcome<Snapshot>
ReadSnapshot(const TablePort& aTable,
             std::uint64_t aRevision,
             const Configuration* aFormer)
{
  constexpr int kTries = 3;
  for (int i = 0; i < kTries; ++i) {
    const auto documents = aTable.mScan(kDocumentPrefix);
    if (!Succeeded(documents)) {
      return ErrorOf(documents);
    }
    const auto dataCentres = aTable.mScan(kDataCentrePrefix);
    if (!Succeeded(dataCentres)) {
      return ErrorOf(dataCentres);
    }
    const Outcome<RevisionRead> after = ReadRevision(aTable);
    if (!Succeeded(after)) {
      return ErrorOf(after);
    }
    if (ValueOf(after).mRevision != aRevision) {
      aRevision = ValueOf(after).mRevision;
      continue;
    }
    std::vector<std::string> problems;
    Snapshot snapshot{
      BuildConfiguration(
        aRevision, ValueOf(documents), ValueOf(dataCentres), aFormer, problems),
      ValueOf(after).mSent
    };
    for (const std::string& problem : problems) {
      LogEvent(LogLevel::Error,
               "config_row_refused",
               { { "revision", aRevision }, { "problem", problem } });
    }
    return snapshot;
  }
  return Error{ ErrorKind::Unavailable,
                "the configuration changed during each of 3 reads" };
}

} // namespace

struct ConfigFollower::State
{
  TablePort mTable;
  Millis mPoll;
  mutable std::mutex mMutex;
  std::condition_variable_any mWake;
  std::shared_ptr<const Configuration> mCurrent;
  MonotonicTime mSent; ///< Of the read that last confirmed mCurrent.
  MonotonicTime mStarted = Clock::now();
  bool mStaleReported = false;
  std::jthread mThread; ///< Last, so that it ends before the rest.

  void Run(const std::stop_token& aStop);
  Outcome<Done> Poll();
  void Apply(Snapshot aSnapshot);
  void Confirm(MonotonicTime aSent);
  void ReportAge(const Outcome<Done>& aPolled);
  [[nodiscard]] Millis AgeNow() const;
};

void
ConfigFollower::State::Run(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    ReportAge(Poll());
    std::unique_lock lock(mMutex);
    mWake.wait_for(lock, aStop, mPoll, [] { return false; });
  }
}

Outcome<Done>
ConfigFollower::State::Poll()
{
  const Outcome<RevisionRead> read = ReadRevision(mTable);
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  // Only this thread changes mCurrent, so it may read it without the lock.
  const std::uint64_t revision = ValueOf(read).mRevision;
  if (mCurrent && revision == mCurrent->mRevision) {
    Confirm(ValueOf(read).mSent);
    return Done{};
  }
  if (mCurrent && revision < mCurrent->mRevision) {
    return Error{ ErrorKind::Unavailable,
                  "read revision " + std::to_string(revision) + " after " +
                    std::to_string(mCurrent->mRevision) };
  }
  Outcome<Snapshot> snapshot = ReadSnapshot(mTable, revision, mCurrent.get());
  if (!Succeeded(snapshot)) {
    return ErrorOf(snapshot);
  }
  if (mCurrent &&
      ValueOf(snapshot).mConfiguration.mRevision <= mCurrent->mRevision) {
    return Error{ ErrorKind::Unavailable, "read an older revision" };
  }
  Apply(std::move(ValueOf(snapshot)));
  return Done{};
}

void
ConfigFollower::State::Apply(Snapshot aSnapshot)
{
  LogEvent(
    LogLevel::Info,
    "config_applied",
    { { "revision", aSnapshot.mConfiguration.mRevision },
      { "services", aSnapshot.mConfiguration.mServices.size() },
      { "data_centres", aSnapshot.mConfiguration.mDataCentres.size() } });
  auto current =
    std::make_shared<const Configuration>(std::move(aSnapshot.mConfiguration));
  std::lock_guard lock(mMutex);
  mCurrent = std::move(current);
  mSent = aSnapshot.mSent;
}

void
ConfigFollower::State::Confirm(MonotonicTime aSent)
{
  std::lock_guard lock(mMutex);
  mSent = aSent;
}

Millis
ConfigFollower::State::AgeNow() const
{
  const MonotonicTime since = mCurrent ? mSent : mStarted;
  // Rounded up: an age must never look smaller than it is.
  return std::chrono::ceil<Millis>(Clock::now() - since);
}

void
ConfigFollower::State::ReportAge(const Outcome<Done>& aPolled)
{
  std::unique_lock lock(mMutex);
  const Millis age = AgeNow();
  const bool stale = age > kStaleAge;
  if (stale == mStaleReported) {
    return;
  }
  mStaleReported = stale;
  lock.unlock();
  if (!stale) {
    LogEvent(LogLevel::Info, "config_fresh", { { "age_ms", age.count() } });
    return;
  }
  const std::string problem = Succeeded(aPolled)
                                ? "the poll before took too long"
                                : ErrorOf(aPolled).mMessage;
  LogEvent(LogLevel::Warning,
           "config_stale",
           { { "age_ms", age.count() }, { "problem", problem } });
}

ConfigFollower::ConfigFollower(TablePort aTable, Millis aPoll)
  : mState(std::make_unique<State>())
{
  mState->mTable = std::move(aTable);
  mState->mPoll = aPoll;
  mState->mThread =
    std::jthread([state = mState.get()](const std::stop_token& aStop) {
      state->Run(aStop);
    });
}

ConfigFollower::~ConfigFollower() = default;

std::shared_ptr<const Configuration>
ConfigFollower::Current() const
{
  std::lock_guard lock(mState->mMutex);
  return mState->mCurrent;
}

std::optional<Millis>
ConfigFollower::Age() const
{
  std::lock_guard lock(mState->mMutex);
  if (!mState->mCurrent) {
    return std::nullopt;
  }
  return mState->AgeNow();
}

bool
ConfigFollower::ProvenInService(std::string_view aDataCentre,
                                Millis aOldest) const
{
  std::lock_guard lock(mState->mMutex);
  if (!mState->mCurrent || mState->AgeNow() > aOldest) {
    return false;
  }
  const auto found = mState->mCurrent->mDataCentres.find(aDataCentre);
  return found != mState->mCurrent->mDataCentres.end() &&
         found->second.mState == DataCentreState::InService;
}

} // namespace paddle
