#include "Check.h"

#include <algorithm>
#include <cstdlib>
#include <map>

namespace paddle::soak {

namespace {

/// A node is in touch if neither it nor the store had trouble for this long.
constexpr std::int64_t kInTouchMs = 4000;
/// The second part of the rule allows starts for this long after a noted end.
constexpr std::int64_t kNotedMs = 1000;
/// Answers to clients and orders to runners are seen by different threads.
constexpr std::int64_t kObservationMs = 100;
/// A history shows what happened to runners and nodes this long before the
/// first start.
constexpr std::int64_t kHistoryMs = 15000;
constexpr std::size_t kMaxHistories = 40;

/// @return the name of the job of a task
std::string
JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

std::string
NameOf(const Run& aRun)
{
  return aRun.mTask + " run=" + std::to_string(aRun.mNumber) + " on " +
         aRun.mRunner;
}

class Checker
{
public:
  Checker(StoreGate& aStore, Record& aRecord)
    : mStore(aStore)
    , mRecord(aRecord)
    , mTrouble(aRecord.Trouble())
  {
  }

  /// Checks the runs of one task, or of all members of a gang.
  void Check(const std::vector<Run>& aRuns, const Job& aJob)
  {
    mBreaches.clear();
    const Verdict before = mVerdict;
    for (const Run& later : aRuns) {
      for (const Run& earlier : aRuns) {
        if (&earlier != &later) {
          CheckPair(earlier, later, aJob);
        }
      }
      if (aJob.mCompletedMs != 0 && !later.mLate &&
          later.mSentMs > aJob.mCompletedMs + kObservationMs) {
        AddUnlessOutOfTouch(
          later,
          "was started " + std::to_string(later.mSentMs - aJob.mCompletedMs) +
            " ms after its job was shown as completed");
      }
    }
    if (mVerdict.mBroken + mVerdict.mExcused !=
        before.mBroken + before.mExcused) {
      WriteHistory(aRuns, aJob);
    }
  }

  [[nodiscard]] Verdict Result() const { return mVerdict; }

private:
  void CheckPair(const Run& aEarlier, const Run& aLater, const Job& aJob)
  {
    const bool sameTask = aEarlier.mTask == aLater.mTask;
    const std::string other =
      "run=" + std::to_string(aEarlier.mNumber) + " on " + aEarlier.mRunner;
    if (!aJob.mSpeculative && sameTask && &aEarlier < &aLater &&
        (aEarlier.mEndedMs == 0 || aLater.mStartedMs < aEarlier.mEndedMs) &&
        (aLater.mEndedMs == 0 || aLater.mEndedMs > aEarlier.mStartedMs)) {
      Add(aLater, "worked at the same time as " + other);
    }
    if (aEarlier.mHow != "done" || aEarlier.mNotedMs == 0 ||
        (!sameTask && aEarlier.mNumber == aLater.mNumber)) {
      return;
    }
    if (!aJob.mSpeculative && aLater.mStartedMs >= aEarlier.mEndedMs) {
      Add(aLater,
          "was started " +
            std::to_string(aLater.mStartedMs - aEarlier.mEndedMs) +
            " ms after the end as done of " + other + ", noted " +
            std::to_string(aLater.mStartedMs - aEarlier.mNotedMs) +
            " ms before (below 0: after) the start");
    }
    if (!aLater.mLate && aLater.mSentMs > aEarlier.mNotedMs + kNotedMs) {
      AddUnlessOutOfTouch(
        aLater,
        "was started " + std::to_string(aLater.mSentMs - aEarlier.mNotedMs) +
          " ms after the end as done of " + other + " had been noted");
    }
  }

  /// @return the trouble of the sender of the start order, empty if it was in
  ///         touch
  std::string TroubleOfSender(const Run& aRun)
  {
    const std::set<std::string> owners = mStore.OwnersWith(aRun.mToken);
    for (const TroubleTime& time : mTrouble) {
      if ((time.mName == "store" || owners.empty() ||
           owners.contains(time.mName)) &&
          time.mFromMs <= aRun.mSentMs &&
          time.mUntilMs >= aRun.mSentMs - kInTouchMs) {
        return time.mName + " from" + mRecord.Time(time.mFromMs) + " to" +
               (time.mUntilMs == INT64_MAX ? " the end"
                                           : mRecord.Time(time.mUntilMs));
      }
    }
    return {};
  }

  void Add(const Run& aRun, const std::string& aText)
  {
    ++mVerdict.mBroken;
    mBreaches.push_back("TWICE " + NameOf(aRun) + " " + aText);
  }

  void AddUnlessOutOfTouch(const Run& aRun, const std::string& aText)
  {
    if (TroubleOfSender(aRun).empty()) {
      Add(aRun, aText + " by a node in touch");
      return;
    }
    ++mVerdict.mExcused;
    mBreaches.push_back("excused " + NameOf(aRun) + " " + aText);
  }

  void WriteRun(const Run& aRun)
  {
    std::string owners;
    for (const std::string& owner : mStore.OwnersWith(aRun.mToken)) {
      owners += " " + owner;
    }
    const std::string trouble = TroubleOfSender(aRun);
    const auto time = [&](std::int64_t aAtMs) {
      return aAtMs == 0 ? std::string(" never") : mRecord.Time(aAtMs);
    };
    mRecord.Write(
      {},
      "  " + aRun.mTask + " run=" + std::to_string(aRun.mNumber) + " on " +
        aRun.mRunner + " token=" + std::to_string(aRun.mToken) + " by" +
        owners + (trouble.empty() ? " in touch" : " trouble: " + trouble) +
        "; sent" + time(aRun.mSentMs) + " started" + time(aRun.mStartedMs) +
        (aRun.mLate ? " late" : "") + " ended" + time(aRun.mEndedMs) + " " +
        aRun.mHow + " noted" + time(aRun.mNotedMs));
  }

  void WriteHistory(const std::vector<Run>& aRuns, const Job& aJob)
  {
    for (const std::string& breach : mBreaches) {
      mRecord.Write({}, breach);
    }
    if (++mHistories > kMaxHistories) {
      return;
    }
    std::set<std::string> subjects{ aJob.mId, "nodes", "store" };
    std::int64_t beginMs = INT64_MAX;
    std::int64_t endMs = 0;
    for (const Run& run : aRuns) {
      subjects.insert(run.mTask);
      subjects.insert(run.mRunner);
      beginMs = std::min(beginMs, run.mSentMs);
      endMs = std::max({ endMs, run.mStartedMs, run.mEndedMs, run.mNotedMs });
      WriteRun(run);
    }
    for (const Record::Line& line :
         mRecord.About({ subjects.begin(), subjects.end() })) {
      if (line.mAtMs >= beginMs - kHistoryMs && line.mAtMs <= endMs + 1000) {
        mRecord.Write({}, "  |" + mRecord.Time(line.mAtMs) + " " + line.mText);
      }
    }
  }

  StoreGate& mStore;
  Record& mRecord;
  const std::vector<TroubleTime> mTrouble;
  Verdict mVerdict;
  std::vector<std::string> mBreaches; ///< Of the runs that are checked.
  std::size_t mHistories = 0;
};

} // namespace

Verdict
CheckRuns(const std::vector<Job>& aJobs, StoreGate& aStore, Record& aRecord)
{
  std::map<std::string, const Job*> jobs;
  for (const Job& job : aJobs) {
    jobs[job.mId] = &job;
  }
  // Runs by task, those of a gang by its step.
  std::map<std::string, std::vector<Run>> groups;
  for (const Run& run : aRecord.Runs()) {
    const Job& job = *jobs.at(JobOf(run.mTask));
    groups[job.mGang ? run.mTask.substr(0, run.mTask.rfind('.')) : run.mTask]
      .push_back(run);
  }
  Checker checker(aStore, aRecord);
  for (const auto& [name, runs] : groups) {
    checker.Check(runs, *jobs.at(JobOf(name)));
  }
  return checker.Result();
}

} // namespace paddle::soak
