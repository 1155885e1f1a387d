#pragma once

#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace paddle::soak {

/// What the stand-ins have seen: the lines of record.txt, and the same lines by
/// what they are about, for the history of a breach.
class Record
{
public:
  struct Line
  {
    std::int64_t mAtMs = 0; ///< Steady clock.
    std::string mText;
  };

  /// @param aPath of the file; it is replaced
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  [[nodiscard]] bool IsOpen() const { return mFile != nullptr; }
  /// @param aSubject id of a task or runner, "nodes" or "store"
  void Write(const std::string& aSubject, const std::string& aText);
  /// Writes a line that belongs to no history.
  void Print(const std::string& aText);
  /// @return the lines about any of the subjects, in the order of their times
  std::vector<Line> About(const std::vector<std::string>& aSubjects);
  /// @return the time as record.txt shows it
  [[nodiscard]] std::string Time(std::int64_t aAtMs) const;

private:
  void Put(std::int64_t aAtMs, const std::string& aText);

  std::int64_t mBeginMs;
  std::FILE* mFile;
  std::mutex mMutex; ///< Protects the members below.
  std::map<std::string, std::vector<Line>> mBySubject;
};

/// One run of a task, as its runner has seen it.
struct Run
{
  std::string mRunner;
  std::string mTask;
  std::int64_t mNumber = 0;
  std::int64_t mToken = 0;     ///< Of its start order.
  std::int64_t mSentMs = 0;    ///< When its start order arrived.
  std::int64_t mStartedMs = 0; ///< When that was carried out.
  bool mLate = false;          ///< The order was carried out late.
  std::int64_t mEndedMs = 0;   ///< 0: it has not ended.
  std::string mHow = {};       ///< How it ended; "crashed" with its runner.
  /// When its end was taken note of; 0: it was not, or the lease lapsed in
  /// between.
  std::int64_t mNotedMs = 0;
};

/// All runs on all runners, in the order of their starts.
class Runs
{
public:
  /// @return the index of the run
  std::size_t Begin(Run aRun);
  void End(std::size_t aIndex, const std::string& aHow, std::int64_t aAtMs);
  void Note(std::size_t aIndex);
  [[nodiscard]] std::vector<Run> All();

private:
  std::mutex mMutex;
  std::vector<Run> mRuns;
};

/// A time in which a node or the store was in trouble.
struct TroubleTime
{
  std::string mName; ///< Of the node, or "store".
  std::int64_t mFromMs = 0;
  std::int64_t mUntilMs = INT64_MAX;
};

/// The times of trouble of the nodes and the store.
class TroubleTimes
{
public:
  void Begin(const std::string& aName);
  /// Ends the latest trouble of the name.
  void End(const std::string& aName);
  [[nodiscard]] std::vector<TroubleTime> All();

private:
  std::mutex mMutex;
  std::vector<TroubleTime> mTimes;
};

} // namespace paddle::soak
