#include "Runner.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <utility>

#include <rapidjson/document.h>

namespace review {

namespace {

constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kGangTimeoutMs = 3000;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::size_t kEndsInAnswer = 500;

std::int64_t
Number(const rapidjson::Value& aObject, const char* aName)
{
  const auto member = aObject.FindMember(aName);
  return member != aObject.MemberEnd() && member->value.IsInt64()
           ? member->value.GetInt64()
           : 0;
}

std::string
Text(const rapidjson::Value& aObject, const char* aName)
{
  const auto member = aObject.FindMember(aName);
  return member != aObject.MemberEnd() && member->value.IsString()
           ? member->value.GetString()
           : std::string();
}

} // namespace

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "we"))
{
  std::setvbuf(mFile, nullptr, _IOLBF, 0);
}

Record::~Record()
{
  std::fclose(mFile);
}

void
Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(mMutex);
  std::fprintf(mFile,
               "%7.3f %s\n",
               static_cast<double>(SteadyMs() - mBeginMs) / 1000,
               aLine.c_str());
}

std::size_t
Runs::Begin(const std::string& aRunner,
            const std::string& aTask,
            std::int64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  mRuns.push_back({ aRunner, aTask, aNumber, SteadyMs(), 0, {}, 0 });
  return mRuns.size() - 1;
}

void
Runs::End(std::size_t aIndex, const std::string& aHow)
{
  const std::lock_guard lock(mMutex);
  mRuns[aIndex].mEndedMs = SteadyMs();
  mRuns[aIndex].mHow = aHow;
}

void
Runs::Note(std::size_t aIndex)
{
  const std::lock_guard lock(mMutex);
  mRuns[aIndex].mNotedMs = SteadyMs();
}

std::vector<Run>
Runs::All()
{
  const std::lock_guard lock(mMutex);
  return mRuns;
}

std::size_t
Runs::Count()
{
  const std::lock_guard lock(mMutex);
  return mRuns.size();
}

void
Gangs::Join(const std::string& aGang, std::int64_t aSize)
{
  const std::lock_guard lock(mMutex);
  Gang& gang = mGangs[aGang];
  if (++gang.mPresent == aSize && gang.mCompleteMs == 0) {
    gang.mCompleteMs = SteadyMs();
  }
}

void
Gangs::Leave(const std::string& aGang)
{
  const std::lock_guard lock(mMutex);
  --mGangs[aGang].mPresent;
}

std::int64_t
Gangs::CompleteMs(const std::string& aGang)
{
  const std::lock_guard lock(mMutex);
  return mGangs[aGang].mCompleteMs;
}

Runner::Runner(std::string aId,
               std::string aLabel,
               Store& aStore,
               Runs& aRuns,
               Gangs& aGangs,
               Record& aRecord)
  : mId(std::move(aId))
  , mLabel(std::move(aLabel))
  , mStore(aStore)
  , mRuns(aRuns)
  , mGangs(aGangs)
  , mRecord(aRecord)
{
  Boot();
  mServer = std::make_unique<Server>(
    [this](const Request& aRequest) { return Handle(aRequest); },
    [this](std::uint64_t aConnection) {
      // A connection that is opened while the host has no power stays silent.
      const std::lock_guard lock(mMutex);
      mBootOfConnection[aConnection] = mUp ? mBootNumber : 0;
    });
  Register();
  mWorker = std::thread([this] { Work(); });
}

Runner::~Runner()
{
  {
    const std::lock_guard lock(mMutex);
    mStopped = true;
    mEnded.notify_all();
  }
  mWorker.join();
  mServer.reset();
  for (std::thread& thread : mLateOrders) {
    thread.join();
  }
}

void
Runner::Boot()
{
  ++mBootNumber;
  mBornMs = UnixMs();
  mClockZeroMs = SteadyMs() - 1000;
  mToken = 0;
  mLeaseEndMs = 0;
  mLapsed = false;
  mNextEnd = 1;
  mActive.clear();
  mFinished.clear();
  mHighestEnded.clear();
  mSequence = 0;
}

std::int64_t
Runner::ClockMs() const
{
  return SteadyMs() - mClockZeroMs;
}

void
Runner::Register()
{
  mStore.Write("servers",
               mId,
               R"({"service":"desk","address":"127.0.0.1:)" +
                 std::to_string(mServer->Port()) +
                 R"(","zone":"a","version":"v1","slots":8,"state":"ready",)"
                 R"("cold_remaining_ms":0,"labels":[")" +
                 mLabel +
                 R"(","r1-1"],)"
                 R"("capacity":{"cpu":16000,"mem_mb":64000,"gpu":0},"born":)" +
                 std::to_string(mBornMs) +
                 ",\"seq\":" + std::to_string(++mSequence) + "}");
}

void
Runner::Disrupt(Disruption aDisruption)
{
  const std::lock_guard lock(mMutex);
  mDisruption = std::move(aDisruption);
}

void
Runner::CutPower()
{
  const std::lock_guard lock(mMutex);
  mUp = false;
  for (const auto& [task, active] : mActive) {
    mRuns.End(active.mIndex, "crashed");
    if (!active.mGang.empty()) {
      mGangs.Leave(active.mGang);
    }
  }
  mActive.clear();
  mEnded.notify_all();
  mRecord.Write("power lost " + mId);
}

void
Runner::LosePower(std::int64_t aForMs)
{
  CutPower();
  SleepMs(aForMs);
  const std::lock_guard lock(mMutex);
  Boot();
  mUp = true;
  Register();
  mRecord.Write("power back " + mId + " born=" + std::to_string(mBornMs));
}

void
Runner::LosePowerForGood()
{
  CutPower();
  const std::lock_guard lock(mMutex);
  mLateOrders.emplace_back([this] {
    for (std::int64_t passed = 0; passed < 3 * kHeartbeatMs;
         passed += kStepMs) {
      SleepMs(kStepMs);
      const std::lock_guard late(mMutex);
      if (mStopped) {
        return;
      }
    }
    mStore.Remove("servers", mId);
    mRecord.Write("not listed any more " + mId);
  });
}

void
Runner::EndRun(const std::string& aTask, const std::string& aHow)
{
  const Active active = mActive.at(aTask);
  mActive.erase(aTask);
  if (!active.mGang.empty()) {
    mGangs.Leave(active.mGang);
  }
  std::int64_t& highest = mHighestEnded[aTask];
  highest = std::max(highest, active.mNumber);
  mFinished.push_back(
    { mNextEnd++, aTask, active.mNumber, aHow, active.mIndex });
  mRuns.End(active.mIndex, aHow);
  mRecord.Write("end " + aTask + " run=" + std::to_string(active.mNumber) +
                " on " + mId + " how=" + aHow +
                " number=" + std::to_string(mNextEnd - 1));
  mEnded.notify_all();
}

void
Runner::Work()
{
  for (;;) {
    SleepMs(kStepMs);
    const std::lock_guard lock(mMutex);
    if (mStopped) {
      return;
    }
    if (!mUp) {
      continue;
    }
    const std::int64_t now = SteadyMs();
    if (now >= mRegisterAtMs) {
      mRegisterAtMs = now + kHeartbeatMs;
      Register();
    }
    const std::map<std::string, Active> active = mActive;
    for (const auto& [task, run] : active) {
      const std::int64_t completeMs =
        run.mGang.empty() ? run.mStartedMs : mGangs.CompleteMs(run.mGang);
      if (completeMs == 0 && now >= run.mStartedMs + kGangTimeoutMs) {
        EndRun(task, "alone");
      } else if (completeMs != 0 && now >= completeMs + run.mWorkMs) {
        EndRun(task, "done");
      }
    }
    if (ClockMs() >= mLeaseEndMs && !(mActive.empty() && mFinished.empty())) {
      mLapsed = true;
      const std::map<std::string, Active> left = mActive;
      for (const auto& [task, run] : left) {
        EndRun(task, "lapsed");
      }
    }
  }
}

Response
Runner::Answer(int aStatus, const std::string& aReason) const
{
  std::string body = "{\"clock_ms\":" + std::to_string(ClockMs());
  if (!aReason.empty()) {
    body += ",\"reason\":\"" + aReason + "\"";
  }
  return { aStatus, body + "}" };
}

void
Runner::ExtendLease(std::int64_t aEndMs)
{
  mLeaseEndMs = std::max(mLeaseEndMs, std::min(aEndMs, ClockMs() + kMaxHoldMs));
}

Response
Runner::Handle(const Request& aRequest)
{
  std::unique_lock lock(mMutex);
  if (!mUp) {
    return { 0, {}, Response::Fate::Unanswered };
  }
  if (mBootOfConnection[aRequest.mConnection] != mBootNumber) {
    return { 0, {}, Response::Fate::Reset };
  }
  const std::int64_t boot = mBootNumber;
  const Lateness lateness = mDisruption ? mDisruption(aRequest) : Lateness{};
  if (lateness.mLate) {
    mRecord.Write("unanswered " + mId + " " + aRequest.mPath + " " +
                  aRequest.mBody + " carried out after " +
                  std::to_string(lateness.mDelayMs) + " ms");
    mLateOrders.emplace_back([this, aRequest, boot, lateness] {
      for (std::int64_t passed = 0; passed < lateness.mDelayMs;
           passed += kStepMs) {
        SleepMs(kStepMs);
        const std::lock_guard late(mMutex);
        if (mStopped) {
          return;
        }
      }
      std::unique_lock late(mMutex);
      if (boot == mBootNumber && mUp) {
        CarryOut(aRequest, late);
      }
    });
    return { 0, {}, Response::Fate::Unanswered };
  }
  if (const std::int64_t roundTripMs = mRoundTripMs; roundTripMs > 0) {
    lock.unlock();
    SleepMs(roundTripMs);
    lock.lock();
  }
  Response response = CarryOut(aRequest, lock);
  if (!mUp || boot != mBootNumber) {
    response.mFate = Response::Fate::Unanswered;
  }
  return response;
}

Response
Runner::CarryOut(const Request& aRequest, std::unique_lock<std::mutex>& aLock)
{
  if (aRequest.mPath == "/savorypaddle/run-start") {
    return Start(aRequest.mBody);
  }
  if (aRequest.mPath == "/savorypaddle/run-stop") {
    return Stop(aRequest.mBody);
  }
  if (aRequest.mPath == "/savorypaddle/hold") {
    return Hold(aRequest.mBody, aLock);
  }
  return Answer(200); // The pace has no effect here.
}

Response
Runner::Start(const std::string& aBody)
{
  rapidjson::Document body;
  body.Parse(aBody.c_str());
  const std::string task = Text(body, "task");
  const std::int64_t run = Number(body, "run");
  const std::int64_t leaseEnd = Number(body, "deadline_ms");
  if (Number(body, "fencing_token") < mToken) {
    return Answer(409, "fence");
  }
  mToken = Number(body, "fencing_token");
  ExtendLease(leaseEnd);
  const auto active = mActive.find(task);
  if (active != mActive.end() && active->second.mNumber == run) {
    return Answer(200);
  }
  const auto ended = mHighestEnded.find(task);
  if (active != mActive.end() ||
      (ended != mHighestEnded.end() && run <= ended->second)) {
    return Answer(409, "old");
  }
  if (leaseEnd <= ClockMs()) {
    return Answer(409, "late");
  }
  const std::string spec = Text(body, "spec");
  const auto number = [&](const char* aName) {
    const std::size_t at = spec.find(aName);
    return at == std::string::npos
             ? 0
             : std::strtoll(
                 spec.c_str() + at + std::strlen(aName), nullptr, 10);
  };
  Active& started = mActive[task];
  started = { mRuns.Begin(mId, task, run), run, number("ms="), {}, SteadyMs() };
  if (const std::int64_t members = number("gang="); members > 0) {
    started.mGang = task.substr(0, task.rfind('.')) + "/" + std::to_string(run);
    mGangs.Join(started.mGang, members);
  }
  mRecord.Write("start " + task + " run=" + std::to_string(run) + " on " + mId);
  return Answer(200);
}

Response
Runner::Stop(const std::string& aBody)
{
  rapidjson::Document body;
  body.Parse(aBody.c_str());
  const std::string task = Text(body, "task");
  const std::int64_t run = Number(body, "run");
  if (Number(body, "fencing_token") < mToken) {
    return Answer(409, "fence");
  }
  mToken = Number(body, "fencing_token");
  std::int64_t& highest = mHighestEnded[task];
  highest = std::max(highest, run);
  const auto active = mActive.find(task);
  if (active != mActive.end() && active->second.mNumber <= run) {
    EndRun(task, "stopped");
  }
  return Answer(200);
}

Response
Runner::Hold(const std::string& aBody, std::unique_lock<std::mutex>& aLock)
{
  rapidjson::Document body;
  body.Parse(aBody.c_str());
  if (Number(body, "fencing_token") < mToken) {
    return Answer(409, "fence");
  }
  mToken = Number(body, "fencing_token");
  ExtendLease(Number(body, "deadline_ms"));
  const std::int64_t lastSeen = Number(body, "last_seen");
  std::erase_if(mFinished, [&](const End& aEnd) {
    if (aEnd.mNumber > lastSeen) {
      return false;
    }
    if (!mLapsed) {
      mRuns.Note(aEnd.mIndex);
    }
    mRecord.Write("noted " + aEnd.mTask + " run=" + std::to_string(aEnd.mRun) +
                  " on " + mId + " number=" + std::to_string(aEnd.mNumber) +
                  " last_seen=" + std::to_string(lastSeen) +
                  (mLapsed ? " lapsed" : ""));
    return true;
  });
  mLapsed = mLapsed && !mFinished.empty();
  const std::int64_t boot = mBootNumber;
  const std::int64_t until =
    SteadyMs() + std::min(kMaxWaitMs, Number(body, "wait_ms"));
  while (mFinished.empty() && SteadyMs() < until && mUp && !mStopped &&
         boot == mBootNumber) {
    mEnded.wait_for(aLock, std::chrono::milliseconds(until - SteadyMs() + 1));
  }
  std::string running;
  for (const auto& [task, active] : mActive) {
    running += std::string(running.empty() ? "" : ",") + "[\"" + task + "\"," +
               std::to_string(active.mNumber) + ",\"\",100,0]";
  }
  std::string finished;
  for (std::size_t i = 0; i < std::min(kEndsInAnswer, mFinished.size()); ++i) {
    const End& end = mFinished[i];
    finished += std::string(finished.empty() ? "" : ",") + "[" +
                std::to_string(end.mNumber) + ",\"" + end.mTask + "\"," +
                std::to_string(end.mRun) + ",\"" + end.mHow + "\",\"\"]";
  }
  return { 200,
           "{\"clock_ms\":" + std::to_string(ClockMs()) +
             ",\"born\":" + std::to_string(mBornMs) + ",\"running\":[" +
             running + "],\"finished\":[" + finished + "]}" };
}

} // namespace review
