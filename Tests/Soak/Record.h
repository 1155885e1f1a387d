#pragma once

#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace paddle::soak {

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

/// A time in which a node or the store was in trouble.
struct TroubleTime
{
  std::string mName; ///< Of the node, or "store".
  std::int64_t mFromMs = 0;
  std::int64_t mUntilMs = INT64_MAX;
};

/// What the stand-ins have seen: the runs in the order of their starts, the
/// times of trouble, and the lines of record.txt, which are also kept by what
/// they are about.
class Record
{
public:
  struct Line
  {
    std::int64_t mAtMs = 0; ///< Steady clock.
    std::string mText;
  };

  /// @param aPath of record.txt; it is replaced
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  [[nodiscard]] bool IsOpen() const { return mFile != nullptr; }
  /// @param aSubject id of a task, job or runner, "nodes" or "store"; empty for
  ///                 a line that belongs to no history
  void Write(const std::string& aSubject, const std::string& aText);
  /// @return the lines about the subjects, in the order of their times
  std::vector<Line> About(const std::vector<std::string>& aSubjects);
  /// @return the time as record.txt shows it
  [[nodiscard]] std::string Time(std::int64_t aAtMs) const;

  /// @return the index of the run
  std::size_t BeginRun(Run aRun);
  void EndRun(std::size_t aIndex, const std::string& aHow, std::int64_t aAtMs);
  void NoteRun(std::size_t aIndex);
  std::vector<Run> Runs();

  void BeginTrouble(const std::string& aName);
  /// Ends the latest trouble of the name.
  void EndTrouble(const std::string& aName);
  std::vector<TroubleTime> Trouble();

private:
  std::int64_t mBeginMs;
  std::FILE* mFile;
  std::mutex mMutex; ///< Protects the members below.
  std::map<std::string, std::vector<Line>> mBySubject;
  std::vector<Run> mRuns;
  std::vector<TroubleTime> mTrouble;
};

} // namespace paddle::soak
