#include "Runner.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace review {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr std::int64_t kMaxHoldMs = 6000;
constexpr Ms kHeartbeat{ 1500 };
constexpr Ms kStopTime{ 50 };
constexpr std::int64_t kPercentPerMs = 100;
/// A task that lasts is at work after this time.
constexpr Ms kStartUp{ 300 };

std::int64_t
NumberOf(const Json& aObject, const char* aName)
{
  const auto found = aObject.FindMember(aName);
  return found != aObject.MemberEnd() && found->value.IsInt64()
           ? found->value.GetInt64()
           : 0;
}

std::string
TextOf(const Json& aObject, const char* aName)
{
  const auto found = aObject.FindMember(aName);
  return found != aObject.MemberEnd() && found->value.IsString()
           ? found->value.GetString()
           : "";
}

/// @return the value of "NAME=value" in a spec
std::string
WordOf(const std::string& aSpec, const std::string& aName)
{
  const std::size_t at = aSpec.find(aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + aName.size() + 1;
  return aSpec.substr(begin, aSpec.find(' ', begin) - begin);
}

/// @return the step's number in a task's name, ID.K.STEP.INDEX
std::string
StepOf(const std::string& aTask)
{
  const std::size_t last = aTask.rfind('.');
  const std::size_t before = aTask.rfind('.', last - 1);
  return aTask.substr(before + 1, last - before - 1);
}

} // namespace

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "we"))
{
  if (mFile == nullptr) {
    std::_Exit(2);
  }
}

Record::~Record()
{
  std::fclose(mFile);
}

std::int64_t
Record::NowMs() const
{
  return std::chrono::duration_cast<Ms>(Clock::now() - mBegin).count();
}

void
Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(mMutex);
  std::fprintf(
    mFile, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000, aLine.c_str());
  std::fflush(mFile);
}

std::shared_ptr<Run>
Runs::Begin(Run aRun)
{
  const std::lock_guard lock(mMutex);
  mRuns.push_back(std::make_shared<Run>(std::move(aRun)));
  return mRuns.back();
}

std::vector<Run>
Runs::Of(const std::string& aSubmission)
{
  const std::lock_guard lock(mMutex);
  std::vector<Run> runs;
  for (const std::shared_ptr<Run>& run : mRuns) {
    if (run->mTask.starts_with(aSubmission + ".")) {
      runs.push_back(*run);
    }
  }
  return runs;
}

void
Runs::Change(const std::function<void()>& aChange)
{
  const std::lock_guard lock(mMutex);
  aChange();
}

Runner::Runner(Spec aSpec, Store& aStore, Runs& aRuns, Record& aRecord)
  : mSpec(std::move(aSpec))
  , mStore(aStore)
  , mRuns(aRuns)
  , mRecord(aRecord)
{
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(Ms(5));
      Tick();
    }
  }).detach();
}

Runner::~Runner()
{
  // The thread of Tick() uses this object until the process ends, see
  // Deployment::Exit().
  std::_Exit(2);
}

std::string
Runner::Address() const
{
  return Ip() + ":" + std::to_string(mPort);
}

void
Runner::SetLate(LateHook aHook)
{
  const std::lock_guard lock(mMutex);
  mLate = std::move(aHook);
}

void
Runner::Boot()
{
  {
    const std::lock_guard lock(mMutex);
    mUp = true;
    mClockBegin = Clock::now();
    mBornMs = std::chrono::duration_cast<Ms>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    mSequence = 0;
    mToken = 0;
    mLeaseMs = 0;
    mLastEnd = 0;
    mActive.clear();
    mEnds.clear();
    mEndedRuns.clear();
  }
  mServer = std::make_unique<HttpServer>(
    [this](const Request& aRequest) { return Handle(aRequest); });
  mServer->Listen(mPort);
  mPort = mServer->Port();
  mRecord.Write("runner " + mSpec.mId + " starts, born " +
                std::to_string(mBornMs));
  Register();
}

void
Runner::Crash()
{
  {
    const std::lock_guard lock(mMutex);
    mUp = false;
    for (auto at = mActive.begin(); at != mActive.end(); ++at) {
      mRuns.Change([&] {
        at->mRun->mEndedMs = mRecord.NowMs();
        at->mRun->mHow = "crashed";
      });
    }
    mActive.clear();
    mEnded.notify_all();
  }
  mRecord.Write("runner " + mSpec.mId + " crashes");
  mServer->Stop();
}

std::int64_t
Runner::ClockMs() const
{
  constexpr std::int64_t kFirstReading = 1000;
  return kFirstReading +
         std::chrono::duration_cast<Ms>(Clock::now() - mClockBegin).count();
}

void
Runner::Register()
{
  std::string entry;
  {
    const std::lock_guard lock(mMutex);
    if (!mUp) {
      return;
    }
    mRegisteredAt = Clock::now();
    entry = "{\"service\":\"" + mSpec.mService + "\",\"address\":\"" +
            Address() + "\",\"zone\":\"" + mSpec.mZone +
            "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,"
            "\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"" +
            mSpec.mKind + "\",\"" + mSpec.mRack +
            "\"],\"clock_ms\":" + std::to_string(ClockMs()) +
            ",\"seq\":" + std::to_string(++mSequence) +
            ",\"born\":" + std::to_string(mBornMs) + "}";
  }
  mStore.Put("servers", mSpec.mId, entry);
}

void
Runner::EndRun(std::list<Active>::iterator aActive, const std::string& aHow)
{
  mRuns.Change([&] {
    aActive->mRun->mEndedMs = mRecord.NowMs();
    aActive->mRun->mHow = aHow;
  });
  mRecord.Write("runner " + mSpec.mId + " ends " + aActive->mRun->mTask +
                " run " + std::to_string(aActive->mRun->mNumber) + " " + aHow);
  std::int64_t& highest = mEndedRuns[aActive->mRun->mTask];
  highest = std::max(highest, aActive->mRun->mNumber);
  mEnds.push_back({ ++mLastEnd, aActive->mRun });
  mActive.erase(aActive);
  mEnded.notify_all();
}

void
Runner::Tick()
{
  bool registers = false;
  {
    const std::lock_guard lock(mMutex);
    if (!mUp) {
      return;
    }
    const auto now = Clock::now();
    registers = now - mRegisteredAt >= kHeartbeat;
    const bool lapsed = ClockMs() >= mLeaseMs;
    for (auto at = mActive.begin(); at != mActive.end();) {
      const auto active = at++;
      if (lapsed) {
        EndRun(active, "lapsed");
      } else if (!active->mLasting && now >= active->mEndsAt) {
        EndRun(active, active->mEnd);
      }
    }
  }
  if (registers) {
    Register();
  }
}

Response
Runner::Handle(const Request& aRequest)
{
  const auto expected = aRequest.mHeaders.find("x-expect-instance");
  if (expected != aRequest.mHeaders.end() && expected->second != mSpec.mId) {
    return { 421, "{}" };
  }
  if (aRequest.mPath == "/savorypaddle/run-start") {
    rapidjson::Document body;
    body.Parse(aRequest.mBody.c_str());
    Ms late{ 0 };
    {
      const std::lock_guard lock(mMutex);
      late = mLate ? mLate(*this, TextOf(body, "task")) : Ms(0);
    }
    if (late > Ms(0)) {
      mRecord.Write("start of " + TextOf(body, "task") + " run " +
                    std::to_string(NumberOf(body, "run")) + " on " + mSpec.mId +
                    " gets no answer and is carried out " +
                    std::to_string(late.count()) + " ms later");
      std::thread([this, late, text = aRequest.mBody] {
        std::this_thread::sleep_for(late);
        const Response answer = Start(text);
        mRecord.Write("the late start on " + mSpec.mId + " was carried out: " +
                      std::to_string(answer.mStatus) + " " + answer.mBody);
      }).detach();
      return { 0, {} };
    }
    return Start(aRequest.mBody);
  }
  if (aRequest.mPath == "/savorypaddle/run-stop") {
    return Stop(aRequest.mBody);
  }
  if (aRequest.mPath == "/savorypaddle/hold") {
    std::this_thread::sleep_for(mSpec.mDelay);
    return Hold(aRequest.mBody);
  }
  if (aRequest.mPath == "/savorypaddle/pace") {
    return { 200, "{\"clock_ms\":" + std::to_string(ClockMs()) + "}" };
  }
  return { aRequest.mPath == "/health" ? 200 : 404, "{}" };
}

Response
Runner::Start(const std::string& aBody)
{
  rapidjson::Document body;
  body.Parse(aBody.c_str());
  const std::lock_guard lock(mMutex);
  const auto answer = [&](int aStatus, const std::string& aReason) {
    const std::string reason =
      aReason.empty() ? "" : ",\"reason\":\"" + aReason + "\"";
    return Response{
      aStatus, "{\"clock_ms\":" + std::to_string(ClockMs()) + reason + "}"
    };
  };
  if (!mUp) {
    return { 0, {} };
  }
  const std::string task = TextOf(body, "task");
  const std::int64_t number = NumberOf(body, "run");
  if (NumberOf(body, "fencing_token") < mToken) {
    return answer(409, "fence");
  }
  mToken = NumberOf(body, "fencing_token");
  const std::int64_t deadline =
    std::min(NumberOf(body, "deadline_ms"), ClockMs() + kMaxHoldMs);
  for (const Active& active : mActive) {
    if (active.mRun->mTask == task && active.mRun->mNumber == number) {
      return answer(200, {});
    }
  }
  const auto ended = mEndedRuns.find(task);
  if (ended != mEndedRuns.end() && number <= ended->second) {
    mLeaseMs = std::max(mLeaseMs, deadline);
    return answer(409, "old");
  }
  if (deadline <= ClockMs()) {
    return answer(409, "late");
  }
  mLeaseMs = std::max(mLeaseMs, deadline);
  const std::string spec = TextOf(body, "spec");
  Active active;
  active.mRun =
    mRuns.Begin({ task, mSpec.mId, number, mRecord.NowMs(), -1, {}, -1 });
  active.mLasting = spec.find("lasting") != std::string::npos;
  const std::string own = WordOf(spec, "work" + StepOf(task));
  const std::string work = own.empty() ? WordOf(spec, "work") : own;
  active.mEndsAt = Clock::now() + Ms(std::atoi(work.c_str()));
  active.mEnd = WordOf(spec, "end");
  mActive.push_back(active);
  mRecord.Write("runner " + mSpec.mId + " starts " + task + " run " +
                std::to_string(number) + " token " + std::to_string(mToken));
  return answer(200, {});
}

Response
Runner::Stop(const std::string& aBody)
{
  rapidjson::Document body;
  body.Parse(aBody.c_str());
  std::unique_lock lock(mMutex);
  if (NumberOf(body, "fencing_token") < mToken) {
    return { 409,
             "{\"clock_ms\":" + std::to_string(ClockMs()) +
               ",\"reason\":\"fence\"}" };
  }
  mToken = NumberOf(body, "fencing_token");
  const std::string task = TextOf(body, "task");
  const std::int64_t number = NumberOf(body, "run");
  std::int64_t& highest = mEndedRuns[task];
  highest = std::max(highest, number);
  for (auto at = mActive.begin(); at != mActive.end(); ++at) {
    if (at->mRun->mTask == task && at->mRun->mNumber <= number) {
      at->mLasting = false;
      at->mEndsAt = Clock::now() + kStopTime;
      at->mEnd = "stopped";
    }
  }
  mRecord.Write("runner " + mSpec.mId + " gets the stop of " + task + " run " +
                std::to_string(number));
  return { 200, "{\"clock_ms\":" + std::to_string(ClockMs()) + "}" };
}

Response
Runner::Hold(const std::string& aBody)
{
  rapidjson::Document body;
  body.Parse(aBody.c_str());
  std::unique_lock lock(mMutex);
  if (NumberOf(body, "fencing_token") < mToken) {
    return { 409,
             "{\"clock_ms\":" + std::to_string(ClockMs()) +
               ",\"reason\":\"fence\"}" };
  }
  mToken = NumberOf(body, "fencing_token");
  const std::int64_t deadline =
    std::min(NumberOf(body, "deadline_ms"), ClockMs() + kMaxHoldMs);
  mLeaseMs = std::max(mLeaseMs, deadline);
  const std::int64_t seen = NumberOf(body, "last_seen");
  std::erase_if(mEnds, [&](const End& aEnd) {
    if (aEnd.mNumber > seen) {
      return false;
    }
    mRuns.Change([&] { aEnd.mRun->mNotedMs = mRecord.NowMs(); });
    mRecord.Write("the end of " + aEnd.mRun->mTask + " run " +
                  std::to_string(aEnd.mRun->mNumber) + " on " + mSpec.mId +
                  " is taken note of");
    return true;
  });
  const std::int64_t born = mBornMs;
  if (!mActive.empty() && NumberOf(body, "wait_ms") > 0) {
    mEnded.wait_for(lock, Ms(NumberOf(body, "wait_ms")), [&] {
      return !mEnds.empty() || !mUp || mBornMs != born;
    });
  }
  if (!mUp || mBornMs != born) {
    return { 0, {} };
  }
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("clock_ms");
  writer.Int64(ClockMs());
  writer.Key("born");
  writer.Int64(mBornMs);
  writer.Key("running");
  writer.StartArray();
  for (const Active& active : mActive) {
    writer.StartArray();
    writer.String(active.mRun->mTask.c_str());
    writer.Int64(active.mRun->mNumber);
    writer.String("");
    const std::int64_t age = mRecord.NowMs() - active.mRun->mBeganMs;
    writer.Int64(active.mLasting ? (age >= kStartUp.count() ? kPercentPerMs : 0)
                                 : 1);
    writer.Int64(1);
    writer.EndArray();
  }
  writer.EndArray();
  writer.Key("finished");
  writer.StartArray();
  for (const End& end : mEnds) {
    writer.StartArray();
    writer.Int64(end.mNumber);
    writer.String(end.mRun->mTask.c_str());
    writer.Int64(end.mRun->mNumber);
    writer.String(end.mRun->mHow.c_str());
    writer.String("");
    writer.EndArray();
  }
  writer.EndArray();
  writer.EndObject();
  return { 200, buffer.GetString() };
}

} // namespace review
