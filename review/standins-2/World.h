#pragma once

#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "Http.h"

/// Stand-ins for the platform's store, the operator, the runners and the
/// clients of a small deployment, as the users' pages describe them, and the
/// node processes that run beside them.
namespace review {

/// @return milliseconds of the steady clock
std::int64_t
NowMs();
/// @return Unix milliseconds
std::int64_t
UnixMs();
void
SleepMs(std::int64_t aMs);

/// Writes lines with the time since the start to the record.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Write(const std::string& aLine);

private:
  std::mutex mMutex;
  std::FILE* mFile;
  std::int64_t mBegan = NowMs();
};

/// The platform's store: rows, transactions, reads and the feed of changes.
class Store
{
public:
  struct Row
  {
    std::string mValue; ///< In base64, as it was sent.
    std::int64_t mVersion = 0;
  };

  HttpResponse Handle(const HttpRequest& aRequest);
  /// Writes a row of the operator or of a runner.
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aText);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct Change
  {
    std::int64_t mVersion;
    RowKey mKey;
    std::string mValue;
    bool mRemoved;
  };

  HttpResponse Transact(const std::string& aBody);
  HttpResponse Get(const HttpRequest& aRequest);
  HttpResponse Feed(const HttpRequest& aRequest);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::int64_t mVersion = 100;
  std::map<RowKey, Row> mRows;
  std::vector<Change> mChanges;
};

/// What a runner does with a task, which its image would decide.
struct TaskPlan
{
  std::int64_t mDurationMs = 500; ///< 0: the task lasts.
  std::string mLabel;             ///< Label that the runner must have.
  int mGang = 0;                  ///< Number of members; 0: no gang.
};

/// A task that a runner has begun.
struct StartSeen
{
  std::string mTask;
  std::int64_t mRun = 0;
  std::int64_t mAtMs = 0;
  std::string mRunner;
  std::int64_t mBorn = 0;
  std::vector<std::string> mLabels; ///< Of the runner, at that time.
  std::string mPayload;
  std::string mSaved;
};

/// An end of a run that the system has taken note of.
struct EndSeen
{
  std::string mTask;
  std::int64_t mRun = 0;
  std::string mHow;
  std::int64_t mEndedMs = 0;
  std::int64_t mSeenMs = 0;
  std::string mRunner;
  bool mLapsed = false; ///< The runner's lease has lapsed in between.
};

struct Capacity
{
  int mCpu = 16000;
  int mMemoryMb = 64000;
};

class World;

/// A runner: it starts and stops what it is told to, and keeps its leases.
class Runner
{
public:
  Runner(World& aWorld,
         std::string aId,
         std::string aZone,
         std::vector<std::string> aLabels,
         Capacity aCapacity);
  [[nodiscard]] const std::string& Id() const { return mId; }
  [[nodiscard]] const std::string& Zone() const { return mZone; }
  /// The process is gone: connections are reset, and nothing runs any more.
  void Crash();
  /// The process starts again under its id, and registers itself at once.
  void Restart(std::vector<std::string> aLabels);
  /// Removes the entry of a runner that is gone, as the platform does after
  /// three ping intervals of silence.
  void Unlist();
  /// From now on, looks at the runner are answered late, by a time between the
  /// two.
  void AnswerLate(int aLeastMs, int aMostMs);
  /// @return names of the tasks that run now
  std::set<std::string> Running();
  /// Ends tasks whose time is over. To be called every few milliseconds.
  void Tick();

private:
  struct Run
  {
    std::int64_t mRun = 0;
    std::int64_t mBegunMs = 0; ///< Since when it works; 0: a gang waits.
    std::int64_t mStartedMs = 0;
    std::int64_t mStopAtMs = 0; ///< 0: it is not being stopped.
  };
  struct End
  {
    std::int64_t mNumber;
    std::string mTask;
    std::int64_t mRun;
    std::string mHow;
    std::int64_t mEndedMs;
  };

  HttpResponse Handle(const HttpRequest& aRequest);
  HttpResponse Start(const HttpRequest& aRequest);
  HttpResponse Stop(const HttpRequest& aRequest);
  HttpResponse Hold(const HttpRequest& aRequest);
  void EndRun(const std::string& aTask, const std::string& aHow);
  void Extend(std::int64_t aDeadlineMs);
  [[nodiscard]] std::int64_t ClockMs() const;
  [[nodiscard]] HttpResponse Answer(int aStatus, const char* aReason) const;
  void Register();

  World& mWorld;
  std::string mId;
  std::string mZone;
  int mPort = 0;
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::vector<std::string> mLabels;
  Capacity mCapacity;
  bool mAlive = true;
  int mLeastDelayMs = 0;
  int mMostDelayMs = 0;
  std::int64_t mBorn = 0;
  std::int64_t mClockBase = 0;
  std::int64_t mSequence = 0;
  std::int64_t mRegisteredMs = 0;
  std::int64_t mFence = 0;
  std::int64_t mLeaseEnd = 0;
  std::int64_t mLapsedMs = 0; ///< When its lease was last found lapsed.
  std::int64_t mLastEnd = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::int64_t> mClosedRuns;
  std::vector<End> mEnds;
};

/// The whole deployment.
class World
{
public:
  /// @param aRecord path of the record
  explicit World(const std::string& aRecord);

  Runner& AddRunner(const std::string& aZone,
                    const std::vector<std::string>& aLabels,
                    Capacity aCapacity = {});
  /// Starts a node process, as the deploy file says.
  void AddNode(const std::string& aZone);
  /// Writes the configuration with one queue.
  void PutConfiguration();
  void Evacuate(const std::string& aZone);
  void EndEvacuation(const std::string& aZone);
  /// Waits until all nodes are ready.
  /// @return whether they are
  bool AwaitReady(std::int64_t aTimeoutMs);
  /// Kills all node processes.
  void EndNodes();
  /// Kills all node processes and ends this one.
  [[noreturn]] void End(int aStatus);
  void KillNode(std::size_t aNode);
  /// Starts a killed node process again.
  void RestartNode(std::size_t aNode);

  /// Hands a submission in; repeats it as clients do.
  /// @param aMore further members of the submission
  /// @return whether it was accepted
  bool Submit(const std::string& aId,
              const std::string& aSteps,
              const std::string& aSpec = "work",
              const std::string& aMore = {});
  /// @return the state that a node gives, or the status if it gives none
  std::string State(const std::string& aId);

  /// Sets what tasks of a step do.
  void Plan(const std::string& aId, int aStep, const TaskPlan& aPlan);
  TaskPlan PlanOf(const std::string& aTask);
  void NoteStart(const StartSeen& aStart);
  /// Notes the end of a run that the system has taken note of.
  void NoteSeenEnd(const EndSeen& aEnd);
  std::vector<EndSeen> SeenEnds();
  std::vector<StartSeen> Starts();
  /// @return members of the gang that are present on all runners
  int GangPresent(const std::string& aStepPrefix);
  void AddGangMember(const std::string& aStepPrefix, int aChange);
  /// @return names of the tasks of a submission that run now
  std::set<std::string> RunningOf(const std::string& aId);

  Record mRecord;
  Store mStore;
  int mLinkMbps = 1000; ///< Of the nodes that are added from now on.

private:
  struct Node
  {
    std::string mName;
    int mFront = 0;
    int mReady = 0;
    int mPid = 0;
    std::string mSettings; ///< Path of its settings file.
  };
  void Spawn(Node& aNode);

  std::mutex mMutex;
  int mStorePort = 0;
  std::string mFolder;
  std::vector<Runner*> mRunners; ///< Never destroyed.
  std::vector<Node> mNodes;
  std::map<std::string, TaskPlan> mPlans; ///< By ID.K.STEP without K.
  std::vector<StartSeen> mStarts;
  std::vector<EndSeen> mSeenEnds;
  std::map<std::string, int> mGangs;
  std::size_t mNextNode = 0;
};

} // namespace review
