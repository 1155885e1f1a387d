#include "Runner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "../../platform/Wire.h"

namespace paddle::soak {

using review::Request;
using review::Response;
using review::SteadyMs;

namespace {

constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kGangTimeoutMs = 3000;
constexpr std::int64_t kHeartbeatMs = 1500;
/// An entry is removed after this time without a heartbeat.
constexpr std::int64_t kEntryLifeMs = 3 * kHeartbeatMs;
constexpr std::size_t kEndsInAnswer = 500;
/// An order that is carried out later than this after its arrival is late.
constexpr std::int64_t kLateMs = 1000;
constexpr std::int64_t kSlowClockPercent = 98;

std::int64_t
Number(const rapidjson::Document& aBody, const char* aName)
{
  return platform::Integer(aBody, aName).value_or(0);
}

/// @return the number after a name in a spec as "ms=300 gang=8", or 0
std::int64_t
InSpec(const std::string& aSpec, const char* aName)
{
  const std::size_t at = aSpec.find(aName);
  return at == std::string::npos
           ? 0
           : std::strtoll(aSpec.c_str() + at + std::strlen(aName), nullptr, 10);
}

std::string
RunText(const std::string& aTask, std::int64_t aRun)
{
  return aTask + " run=" + std::to_string(aRun);
}

} // namespace

Runner::Runner(std::string aId, int aIndex, RunnerWorld& aWorld)
  : mId(std::move(aId))
  , mZone(std::array{ "a", "b", "c" }[static_cast<std::size_t>(aIndex) % 3])
  , mWorld(aWorld)
{
  Boot(review::UnixMs());
  mServer = std::make_unique<review::Server>(
    [this](const Request& aRequest) { return Handle(aRequest); },
    [this](std::uint64_t aConnection) {
      // A connection that is opened while the host has no power stays silent.
      const Lock lock(mMutex);
      mLastConnection = std::max(mLastConnection, aConnection);
      mBootOfConnection[aConnection] = mUp ? mBootNumber : 0;
    });
  mWorker = std::thread([this] { Work(); });
}

Runner::~Runner()
{
  {
    const Lock lock(mMutex);
    mStopped = true;
    mChanged.notify_all();
  }
  mWorker.join();
  mServer.reset();
}

void
Runner::Note(const std::string& aText)
{
  mWorld.mRecord.Write(mId, mId + " " + aText);
}

void
Runner::Boot(std::int64_t aBornMs)
{
  ++mBootNumber;
  mBornMs = aBornMs;
  mClockBaseMs = 1000;
  mSteadyBaseMs = SteadyMs();
  mToken = 0;
  mLeaseEndMs = 0;
  mNextEnd = 1;
  mActive.clear();
  mFinished.clear();
  mHighestEnded.clear();
  mSequence = 0;
  mHeartbeatAtMs = 0;
}

std::int64_t
Runner::ClockMs() const
{
  const std::int64_t passed = SteadyMs() - mSteadyBaseMs;
  return mClockBaseMs +
         (mTrouble.mClockSlow ? passed * kSlowClockPercent / 100 : passed);
}

std::int64_t
Runner::SteadyAt(std::int64_t aClockMs) const
{
  const std::int64_t passed = aClockMs - mClockBaseMs;
  return mSteadyBaseMs +
         (mTrouble.mClockSlow ? passed * 100 / kSlowClockPercent : passed);
}

void
Runner::Register()
{
  mRegistered = true;
  mLastHeartbeatMs = SteadyMs();
  mHeartbeatAtMs = mLastHeartbeatMs + kHeartbeatMs;
  mWorld.mStore.Write(
    "servers",
    mId,
    R"({"service":"desk","address":"127.0.0.1:)" +
      std::to_string(mServer->Port()) + R"(","zone":")" + mZone +
      R"(","version":"v1","slots":8,"state":")" +
      (mTrouble.mDraining ? "draining" : "ready") +
      R"(","cold_remaining_ms":0,"labels":["a","r1-1"],)"
      R"("capacity":{"cpu":16000,"mem_mb":64000,"gpu":0},"born":)" +
      std::to_string(mBornMs) + ",\"seq\":" + std::to_string(++mSequence) +
      "}");
}

void
Runner::Unregister()
{
  mRegistered = false;
  mWorld.mStore.Remove("servers", mId);
  Note("entry removed");
}

void
Runner::Disrupt(const std::string& aText,
                const std::function<void(Disruption&)>& aChange)
{
  const Lock lock(mMutex);
  Advance();
  mClockBaseMs = ClockMs(); // Its rate may change.
  mSteadyBaseMs = SteadyMs();
  aChange(mTrouble);
  mHeartbeatAtMs = 0;
  Note(aText);
}

void
Runner::EndProcess(const char* aHow)
{
  Advance();
  mUp = false;
  const std::int64_t now = SteadyMs();
  for (const auto& [task, active] : mActive) {
    mWorld.mRecord.EndRun(active.mIndex, aHow, now);
    mWorld.mRecord.Write(
      task, "end " + RunText(task, active.mNumber) + " on " + mId + " " + aHow);
    if (!active.mGang.empty()) {
      mWorld.mGangs.Leave(active.mGang, false, now);
    }
  }
  mActive.clear();
  mFinished.clear();
  mChanged.notify_all();
}

void
Runner::CutPower()
{
  const Lock lock(mMutex);
  EndProcess("crashed");
  Note("power lost");
}

void
Runner::Restart(std::int64_t aClockBackMs)
{
  const Lock lock(mMutex);
  Boot(aClockBackMs > 0 ? mBornMs - aClockBackMs : review::UnixMs());
  mTrouble.mSilentUntilMs = 0;
  mUp = true;
  Register();
  Note("restarted, born=" + std::to_string(mBornMs) +
       (aClockBackMs > 0 ? ", lower than before" : ""));
}

void
Runner::Leave(bool aRemoveEntry)
{
  const Lock lock(mMutex);
  if (mUp) {
    EndProcess("crashed");
  }
  mLeft = true;
  mTrouble.mDelayUntilMs = 0;
  Note("left for good");
  if (aRemoveEntry) {
    Unregister();
  }
}

void
Runner::ResetConnections()
{
  const Lock lock(mMutex);
  mResetUpTo = mLastConnection;
  Note("connections reset");
  mChanged.notify_all();
}

void
Runner::EndRun(const std::string& aTask,
               const std::string& aHow,
               std::int64_t aAtMs)
{
  const Active active = mActive.at(aTask);
  mActive.erase(aTask);
  if (!active.mGang.empty()) {
    mWorld.mGangs.Leave(active.mGang, aHow == "done", aAtMs);
  }
  std::int64_t& highest = mHighestEnded[aTask];
  highest = std::max(highest, active.mNumber);
  mFinished.push_back(
    { mNextEnd++, aTask, active.mNumber, aHow, active.mIndex, false });
  mWorld.mRecord.EndRun(active.mIndex, aHow, aAtMs);
  mWorld.mRecord.Write(aTask,
                       "end " + RunText(aTask, active.mNumber) + " on " + mId +
                         " " + aHow +
                         " number=" + std::to_string(mNextEnd - 1));
  mChanged.notify_all();
}

void
Runner::Advance()
{
  if (!mUp) {
    return;
  }
  const std::int64_t now = SteadyMs();
  const std::int64_t leaseEndMs = SteadyAt(mLeaseEndMs);
  const std::map<std::string, Active> active = mActive;
  for (const auto& [task, run] : active) {
    std::int64_t dueMs = run.mStartedMs + run.mWorkMs;
    const char* how = "done";
    if (!run.mGang.empty()) {
      const Gangs::State gang = mWorld.mGangs.Of(run.mGang);
      dueMs = gang.mCompleteMs + run.mWorkMs;
      if (gang.mCompleteMs == 0) {
        dueMs = run.mStartedMs + kGangTimeoutMs;
        how = "alone";
      } else if (gang.mBrokenMs != 0) {
        dueMs = std::max(gang.mBrokenMs, run.mStartedMs);
        how = "broken";
      }
    }
    if (dueMs <= now && dueMs <= leaseEndMs) {
      EndRun(task, how, dueMs);
    }
  }
  if (ClockMs() < mLeaseEndMs) {
    return;
  }
  for (End& end : mFinished) {
    if (!end.mLapsed) {
      end.mLapsed = true;
      mWorld.mRecord.Write(end.mTask,
                           "lease lapsed on " + mId + " after the end of " +
                             RunText(end.mTask, end.mRun));
    }
  }
  const std::map<std::string, Active> left = mActive;
  for (const auto& [task, run] : left) {
    EndRun(task, "lapsed", std::max(leaseEndMs, run.mStartedMs));
    mFinished.back().mLapsed = true;
  }
}

void
Runner::CarryOutLateOrders(Lock& aLock)
{
  while (!mLateOrders.empty() && mLateOrders.begin()->first <= SteadyMs()) {
    const Order order = std::move(mLateOrders.begin()->second);
    mLateOrders.erase(mLateOrders.begin());
    const bool sameProcess = order.mBoot == mBootNumber;
    if (mUp && (sameProcess || mWorld.mOrdersOutliveProcess)) {
      const Response response = CarryOut(order, aLock);
      if (!sameProcess) {
        Note("a late order reached another process: " + order.mRequest.mPath +
             " " + order.mRequest.mBody + " " + response.mBody);
      }
    }
  }
}

void
Runner::Work()
{
  Lock lock(mMutex);
  while (!mStopped) {
    mChanged.wait_for(lock, std::chrono::milliseconds(kStepMs));
    const std::int64_t now = SteadyMs();
    if (mUp && now >= mHeartbeatAtMs && now >= mTrouble.mNoHeartbeatUntilMs) {
      Register();
    }
    if (mRegistered && now >= mLastHeartbeatMs + kEntryLifeMs) {
      Unregister();
    }
    Advance();
    CarryOutLateOrders(lock);
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

bool
Runner::TakeToken(std::int64_t aToken)
{
  const bool isHigh = aToken >= mToken;
  mToken = std::max(mToken, aToken);
  return isHigh;
}

Response
Runner::Handle(const Request& aRequest)
{
  Lock lock(mMutex);
  Order order{ aRequest, SteadyMs(), mBootNumber, false };
  const auto interrupted = [&] {
    return !mUp || mStopped || order.mBoot != mBootNumber ||
           aRequest.mConnection <= mResetUpTo;
  };
  if (!mLeft && !mUp) {
    return { 0, {}, Response::Fate::Unanswered };
  }
  if (mLeft || mBootOfConnection[aRequest.mConnection] != mBootNumber ||
      aRequest.mConnection <= mResetUpTo) {
    return { 0, {}, Response::Fate::Reset };
  }
  if (order.mSentMs < mTrouble.mDelayUntilMs &&
      mWorld.mDice.Chance(mTrouble.mDelayPercent)) {
    const std::int64_t delayMs = mWorld.mDice.Between(2000, 12000);
    const std::string text = mId + " leaves unanswered for " +
                             std::to_string(delayMs) +
                             " ms: " + aRequest.mPath + " " + aRequest.mBody;
    rapidjson::Document body;
    platform::ParseJson(aRequest.mBody, body);
    mWorld.mRecord.Write(platform::Text(body, "task").value_or(mId), text);
    order.mLate = true;
    mLateOrders.emplace(order.mSentMs + delayMs, std::move(order));
    return { 0, {}, Response::Fate::Unanswered };
  }
  const auto awaitEndOfSilence = [&] {
    while (SteadyMs() < mTrouble.mSilentUntilMs && !interrupted()) {
      mChanged.wait_for(lock, std::chrono::milliseconds(kStepMs * 4));
    }
  };
  awaitEndOfSilence();
  // An order that was not read before the connection was reset is lost.
  if (interrupted()) {
    return { 0, {}, Response::Fate::Reset };
  }
  order.mLate = SteadyMs() > order.mSentMs + kLateMs;
  Response response = CarryOut(order, lock);
  awaitEndOfSilence();
  if (aRequest.mConnection <= mResetUpTo) {
    response.mFate = Response::Fate::Reset;
  } else if (interrupted() || SteadyMs() < mTrouble.mLoseAnswersUntilMs) {
    response.mFate = Response::Fate::Unanswered;
  }
  return response;
}

Response
Runner::CarryOut(const Order& aOrder, Lock& aLock)
{
  Advance();
  const std::string& path = aOrder.mRequest.mPath;
  if (path == "/savorypaddle/run-start") {
    return Start(aOrder);
  }
  if (path == "/savorypaddle/run-stop") {
    return Stop(aOrder);
  }
  if (path == "/savorypaddle/hold") {
    return Hold(aOrder, aLock);
  }
  return Answer(200); // The pace has no effect here.
}

Response
Runner::Start(const Order& aOrder)
{
  rapidjson::Document body;
  platform::ParseJson(aOrder.mRequest.mBody, body);
  const std::string task = platform::Text(body, "task").value_or("");
  const std::string spec = platform::Text(body, "spec").value_or("");
  const std::int64_t run = Number(body, "run");
  const std::int64_t token = Number(body, "fencing_token");
  const std::int64_t leaseEnd = Number(body, "deadline_ms");
  const std::string text = "start " + RunText(task, run) + " on " + mId +
                           " token=" + std::to_string(token) +
                           (aOrder.mLate ? " carried out late" : "");
  const auto reject = [&](const char* aReason) {
    mWorld.mRecord.Write(task, text + " rejected: " + aReason);
    return Answer(409, aReason);
  };
  if (!TakeToken(token)) {
    return reject("fence");
  }
  ExtendLease(leaseEnd);
  const auto active = mActive.find(task);
  if (active != mActive.end() && active->second.mNumber == run) {
    return Answer(200);
  }
  const auto ended = mHighestEnded.find(task);
  if (active != mActive.end() ||
      (ended != mHighestEnded.end() && run <= ended->second)) {
    return reject("old");
  }
  if (leaseEnd <= ClockMs()) {
    return reject("late");
  }
  Run started{
    mId, task, run, token, aOrder.mSentMs, SteadyMs(), aOrder.mLate
  };
  Active& added = mActive[task];
  added = { 0, run, InSpec(spec, "ms="), {}, started.mStartedMs };
  if (const std::int64_t members = InSpec(spec, "gang="); members > 0) {
    added.mGang = task.substr(0, task.rfind('.')) + "/" + std::to_string(run);
    mWorld.mGangs.Join(added.mGang, members, added.mStartedMs);
  }
  added.mIndex = mWorld.mRecord.BeginRun(std::move(started));
  mWorld.mRecord.Write(task, text);
  return Answer(200);
}

Response
Runner::Stop(const Order& aOrder)
{
  rapidjson::Document body;
  platform::ParseJson(aOrder.mRequest.mBody, body);
  const std::string task = platform::Text(body, "task").value_or("");
  const std::int64_t run = Number(body, "run");
  const bool valid = TakeToken(Number(body, "fencing_token"));
  mWorld.mRecord.Write(task,
                       "stop " + RunText(task, run) + " on " + mId + " token=" +
                         std::to_string(Number(body, "fencing_token")) +
                         (aOrder.mLate ? " carried out late" : "") +
                         (valid ? "" : " rejected: fence"));
  if (!valid) {
    return Answer(409, "fence");
  }
  std::int64_t& highest = mHighestEnded[task];
  highest = std::max(highest, run);
  const auto active = mActive.find(task);
  if (active != mActive.end() && active->second.mNumber <= run) {
    EndRun(task, "stopped", SteadyMs());
  }
  return Answer(200);
}

Response
Runner::Hold(const Order& aOrder, Lock& aLock)
{
  rapidjson::Document body;
  platform::ParseJson(aOrder.mRequest.mBody, body);
  if (!TakeToken(Number(body, "fencing_token"))) {
    return Answer(409, "fence");
  }
  ExtendLease(Number(body, "deadline_ms"));
  const std::int64_t lastSeen = Number(body, "last_seen");
  std::erase_if(mFinished, [&](const End& aEnd) {
    if (aEnd.mNumber > lastSeen) {
      return false;
    }
    if (!aEnd.mLapsed) {
      mWorld.mRecord.NoteRun(aEnd.mIndex);
    }
    mWorld.mRecord.Write(aEnd.mTask,
                         "noted " + RunText(aEnd.mTask, aEnd.mRun) + " " +
                           aEnd.mHow + " on " + mId +
                           " number=" + std::to_string(aEnd.mNumber) +
                           " last_seen=" + std::to_string(lastSeen) +
                           (aEnd.mLapsed ? " after a lapse" : "") +
                           (aOrder.mLate ? " by a late renewal" : ""));
    return true;
  });
  const std::int64_t boot = mBootNumber;
  const std::int64_t until =
    SteadyMs() + std::min(kMaxWaitMs, Number(body, "wait_ms"));
  while (!aOrder.mLate && mFinished.empty() && mUp && !mStopped &&
         boot == mBootNumber && aOrder.mRequest.mConnection > mResetUpTo) {
    const std::int64_t left = until - SteadyMs();
    if (left <= 0) {
      break;
    }
    mChanged.wait_for(aLock, std::chrono::milliseconds(left));
  }
  return { 200, ListOfRuns() };
}

std::string
Runner::ListOfRuns() const
{
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
  return "{\"clock_ms\":" + std::to_string(ClockMs()) +
         ",\"born\":" + std::to_string(mBornMs) + ",\"running\":[" + running +
         "],\"finished\":[" + finished + "]}";
}

} // namespace paddle::soak
