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

/// Age of the configuration above which this process logs that it may be
/// missing accepted changes.
constexpr Millis kStaleAge{ 5000 };

/// The revision that one read returned. Its age counts from when the read was
/// sent, because the row may have changed at any time after that.
struct RevisionRead
{
  std::uint64_t mRevision = 0;
  MonotonicTime mSentAt;
};

/// A configuration and when the read was sent that last confirmed it.
struct Snapshot
{
  Configuration mConfiguration;
  MonotonicTime mSentAt;
};

/// Reads the row "config/revision".
Outcome<RevisionRead>
ReadRevision(const TablePort& aTable)
{
  const MonotonicTime sentAt = Clock::now();
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
  return RevisionRead{ ValueOf(revision), sentAt };
}

/// Reads all rows of the configuration, then the revision again. Every change
/// raises the revision, so rows that were read between two reads of the same
/// revision belong together. Otherwise the rows are read again.
/// @param aRevision the revision that was read before the call
/// @param aPrevious supplies documents whose rows are damaged; may be null
Outcome<Snapshot>
ReadSnapshot(const TablePort& aTable,
             std::uint64_t aRevision,
             const Configuration* aPrevious)
{
  constexpr int kMaxReadAttempts = 3;
  for (int i = 0; i < kMaxReadAttempts; ++i) {
    const auto documents = aTable.mScan(kDocumentPrefix);
    if (!Succeeded(documents)) {
      return ErrorOf(documents);
    }
    const auto dataCentres = aTable.mScan(kDataCentrePrefix);
    if (!Succeeded(dataCentres)) {
      return ErrorOf(dataCentres);
    }
    const Outcome<RevisionRead> revisionAfter = ReadRevision(aTable);
    if (!Succeeded(revisionAfter)) {
      return ErrorOf(revisionAfter);
    }
    if (ValueOf(revisionAfter).mRevision != aRevision) {
      aRevision = ValueOf(revisionAfter).mRevision;
      continue;
    }
    std::vector<std::string> problems;
    Snapshot snapshot{ BuildConfiguration(aRevision,
                                          ValueOf(documents),
                                          ValueOf(dataCentres),
                                          aPrevious,
                                          problems),
                       ValueOf(revisionAfter).mSentAt };
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
  Millis mPollInterval; ///< Wait between a poll and the next.
  mutable std::mutex mMutex;
  std::condition_variable_any mWakeUp; ///< Lets a stop end the wait.
  /// The newest configuration read; null before the first read.
  std::shared_ptr<const Configuration> mCurrent;
  /// When the read was sent that last confirmed mCurrent.
  MonotonicTime mSentAt;
  MonotonicTime mStartedAt = Clock::now();
  bool mStaleReported = false; ///< Whether the log last said "config_stale".
  /// The last member, so that it is joined before the others are destroyed.
  std::jthread mThread;

  /// Polls until a stop is requested; the body of mThread.
  void Run(const std::stop_token& aStop);
  /// Reads the revision and, if it is new, the whole configuration.
  Outcome<Done> Poll();
  /// Makes a new configuration the current one.
  void Apply(Snapshot aSnapshot);
  /// Records that a read sent at @p aSentAt returned the current revision.
  void ConfirmCurrent(MonotonicTime aSentAt);
  /// Logs when the configuration becomes stale and when it is fresh again.
  void ReportAge(const Outcome<Done>& aPollResult);
  /// @return the age of mCurrent or, before the first read, the time since the
  ///         start; the caller holds mMutex
  [[nodiscard]] Millis CurrentAge() const;
};

void
ConfigFollower::State::Run(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    ReportAge(Poll());
    std::unique_lock lock(mMutex);
    mWakeUp.wait_for(lock, aStop, mPollInterval, [] { return false; });
  }
}

Outcome<Done>
ConfigFollower::State::Poll()
{
  const Outcome<RevisionRead> read = ReadRevision(mTable);
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  // Only this thread changes mCurrent, so it can read mCurrent without the
  // lock.
  const std::uint64_t revision = ValueOf(read).mRevision;
  if (mCurrent && revision == mCurrent->mRevision) {
    ConfirmCurrent(ValueOf(read).mSentAt);
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
    return Error{ ErrorKind::Unavailable,
                  "the table service returned an older revision" };
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
  mSentAt = aSnapshot.mSentAt;
}

void
ConfigFollower::State::ConfirmCurrent(MonotonicTime aSentAt)
{
  std::lock_guard lock(mMutex);
  mSentAt = aSentAt;
}

Millis
ConfigFollower::State::CurrentAge() const
{
  const MonotonicTime since = mCurrent ? mSentAt : mStartedAt;
  // The age is rounded up, because it must never be given as smaller than it
  // is.
  return std::chrono::ceil<Millis>(Clock::now() - since);
}

void
ConfigFollower::State::ReportAge(const Outcome<Done>& aPollResult)
{
  std::unique_lock lock(mMutex);
  const Millis age = CurrentAge();
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
  const std::string problem = Succeeded(aPollResult)
                                ? "the previous poll took too long"
                                : ErrorOf(aPollResult).mMessage;
  LogEvent(LogLevel::Warning,
           "config_stale",
           { { "age_ms", age.count() }, { "problem", problem } });
}

ConfigFollower::ConfigFollower(TablePort aTable, Millis aPollInterval)
  : mState(std::make_unique<State>())
{
  mState->mTable = std::move(aTable);
  mState->mPollInterval = aPollInterval;
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
  return mState->CurrentAge();
}

bool
ConfigFollower::ConfirmedInService(std::string_view aDataCentre,
                                   Millis aMaxAge) const
{
  std::lock_guard lock(mState->mMutex);
  if (!mState->mCurrent || mState->CurrentAge() > aMaxAge) {
    return false;
  }
  const auto found = mState->mCurrent->mDataCentres.find(aDataCentre);
  return found != mState->mCurrent->mDataCentres.end() &&
         found->second.mState == DataCentreState::InService;
}

} // namespace paddle
